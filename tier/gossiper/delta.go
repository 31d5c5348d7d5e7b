package gossiper

import (
	"hash/crc32"
	"strings"

	"cicadagrade.example/tier"
)

// addMissing adds to out what the sender of m lacks, up to budget bytes.
func (g *Gossiper) addMissing(out, m *Message, from *record, budget int) {
	for _, d := range g.missingWrites(m, from) {
		if d.origin == "" {
			budget = g.addSuspicions(out, d, from, budget)
			budget = g.addSharedEntries(out, d, budget)
			continue
		}
		budget = g.addDelta(out, g.records[d.origin], d.version, from, budget)
	}
}

// addDelta adds the entries that an origin wrote above a version, in the order of
// writing, and a digest that says up to which version they are complete. A peer in
// another data centre learns only that VMs of its own data centre exist, because it
// receives their entries from its own peers. It returns the budget that is left.
func (g *Gossiper) addDelta(out *Message, r *record, version uint64, from *record, budget int) int {
	remote := g.isRemote(from)
	if remote && r.vm.DataCentre() == from.vm.DataCentre() {
		if e := r.entry(keyVM); version == 0 && e.size() <= budget {
			out.entries = append(out.entries, e)
			budget -= e.size()
		}
		return budget
	}
	watermark := NewDigest(r.vm.Name(), r.incarnation, version)
	budget -= watermark.size() + maxVarint
	complete := true
	for _, e := range r.entriesAfter(version) {
		if remote && strings.HasPrefix(e.key, keyLink) {
			continue
		}
		if complete = e.size() <= budget; !complete {
			break
		}
		out.entries = append(out.entries, e)
		budget -= e.size()
		watermark.version = min(e.version, r.contiguousVersion)
	}
	if complete {
		watermark.version = r.contiguousVersion
	}
	if watermark.version > version {
		out.digests = append(out.digests, watermark)
	}
	if e := r.statusEntry(statusSuspect); version == 0 && r.suspectVersion > 0 && e.size() <= budget {
		out.entries = append(out.entries, e)
		budget -= e.size()
	}
	return budget
}

// addSuspicions adds the recent suspicions if the sender's checksum of them differs.
func (g *Gossiper) addSuspicions(out *Message, theirs Digest, from *record, budget int) int {
	if theirs.incarnation == g.suspicionChecksum() {
		return budget
	}
	for _, name := range g.visibleNames(from) {
		r := g.records[name]
		e := r.statusEntry(statusSuspect)
		if r != from && g.recentlySuspected(r) && e.size() <= budget {
			out.entries = append(out.entries, e)
			budget -= e.size()
		}
	}
	return budget
}

// recentlySuspected reports whether a suspicion is still compared with those of peers.
func (g *Gossiper) recentlySuspected(r *record) bool {
	return r.suspectVersion > 0 && g.now-r.suspectSince < tier.Minute
}

// suspicionChecksum is equal on two VMs that recently suspected the same VMs.
func (g *Gossiper) suspicionChecksum() tier.Incarnation {
	var sum uint32
	for name, r := range g.records {
		if g.recentlySuspected(r) {
			sum ^= crc32.ChecksumIEEE([]byte(name))
		}
	}
	return tier.Incarnation(sum)
}

func (g *Gossiper) addSharedEntries(out *Message, theirs Digest, budget int) int {
	if theirs.version == g.sharedChecksum() {
		return budget
	}
	keys := sortedKeys(g.sharedEntries)
	start := 0
	if len(keys) > 0 {
		start = g.rng.IntN(len(keys))
	}
	for i := range keys {
		e := g.sharedEntries[keys[(start+i)%len(keys)]]
		if e.size() <= budget {
			out.entries = append(out.entries, e)
			budget -= e.size()
		}
	}
	return budget
}

// missingWrites compares the digests of a request with the records held here. Each
// result names an origin and the version above which the sender lacks its writes.
func (g *Gossiper) missingWrites(m *Message, from *record) []Digest {
	var out []Digest
	listed := map[string]bool{}
	var listedNames []string
	for _, d := range m.digests {
		if d.origin == "" {
			if d.version != g.sharedChecksum() || d.incarnation != g.suspicionChecksum() {
				out = append(out, d)
			}
			continue
		}
		listedNames = append(listedNames, d.origin)
		if listed[d.origin] {
			continue
		}
		listed[d.origin] = true
		if r, ok := g.records[d.origin]; ok && r.aheadOf(d) {
			if d.incarnation < r.incarnation {
				d.version = 0
			}
			out = append(out, d)
		}
	}
	if len(listedNames) < 2 {
		return out
	}
	knownEnd := len(out)
	for _, name := range g.visibleNames(from) {
		r := g.records[name]
		if !listed[name] && inNameRange(name, listedNames[0], listedNames[len(listedNames)-1]) && r.vmKnown && !r.dead {
			out = append(out, NewDigest(name, r.incarnation, 0))
		}
	}
	unknown := out[knownEnd:]
	g.rng.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return out
}

// aheadOf reports whether the record holds writes that a peer with digest d lacks.
func (r *record) aheadOf(d Digest) bool {
	if r.dead || !r.vmKnown {
		return false
	}
	return d.incarnation < r.incarnation || d.incarnation == r.incarnation && d.version < r.contiguousVersion
}

// inNameRange reports whether a name lies in the range from first to last. The names
// form a ring: the range wraps around if last sorts before first, and is the whole
// ring if both are equal.
func inNameRange(name, first, last string) bool {
	if first < last {
		return first <= name && name <= last
	}
	return name >= first || name <= last
}
