package gossiper

import (
	"hash/crc32"
	"strings"

	"cicadagrade.example/tier"
)

// fillIn adds what the sender of m lacks, as far as there is room.
func (g *Gossiper) fillIn(out, m *Message, from *record, room int) {
	for _, d := range g.wanted(m, from) {
		if d.origin == "" {
			room = g.fillStatus(out, d, from, room)
			room = g.fillShared(out, d, room)
			continue
		}
		room = g.fillDelta(out, g.records[d.origin], d.version, from, room)
	}
}

// fillDelta adds what an origin wrote above a version, in that order, and how
// far that reaches. A peer elsewhere is only told that VMs of its own data
// centre exist, since it hears of them at home.
func (g *Gossiper) fillDelta(out *Message, r *record, version uint64, from *record, room int) int {
	foreign := g.foreign(from)
	if foreign && r.vm.DataCentre() == from.vm.DataCentre() {
		if e := r.entry(keyVM); version == 0 && e.size() <= room {
			out.entries = append(out.entries, e)
			room -= e.size()
		}
		return room
	}
	mark := NewDigest(r.vm.Name(), r.incarnation, version)
	room -= mark.size() + maxVarint
	whole := true
	for _, e := range r.since(version) {
		if foreign && strings.HasPrefix(e.key, keyLink) {
			continue
		}
		if whole = e.size() <= room; !whole {
			break
		}
		out.entries = append(out.entries, e)
		room -= e.size()
		mark.version = min(e.version, r.version)
	}
	if whole {
		mark.version = r.version
	}
	if mark.version > version {
		out.digests = append(out.digests, mark)
	}
	if e := r.status(statusSuspect); version == 0 && r.suspectAt > 0 && e.size() <= room {
		out.entries = append(out.entries, e)
		room -= e.size()
	}
	return room
}

// fillStatus adds the suspicions of late when the sender holds others.
func (g *Gossiper) fillStatus(out *Message, d Digest, from *record, room int) int {
	if d.incarnation == g.statusSum() {
		return room
	}
	for _, name := range g.offered(from) {
		r := g.records[name]
		e := r.status(statusSuspect)
		if r != from && g.suspectedLately(r) && e.size() <= room {
			out.entries = append(out.entries, e)
			room -= e.size()
		}
	}
	return room
}

// suspectedLately reports whether a suspicion is still compared with peers.
func (g *Gossiper) suspectedLately(r *record) bool {
	return r.suspectAt > 0 && g.now-r.suspectSince < tier.Minute
}

// statusSum is alike on two VMs that suspected the same VMs of late.
func (g *Gossiper) statusSum() tier.Incarnation {
	var sum uint32
	for name, r := range g.records {
		if g.suspectedLately(r) {
			sum ^= crc32.ChecksumIEEE([]byte(name))
		}
	}
	return tier.Incarnation(sum)
}

func (g *Gossiper) fillShared(out *Message, d Digest, room int) int {
	if d.version == g.sharedSum() {
		return room
	}
	keys := sortedKeys(g.shared)
	start := 0
	if len(keys) > 0 {
		start = g.random.IntN(len(keys))
	}
	for i := range keys {
		e := g.shared[keys[(start+i)%len(keys)]]
		if e.size() <= room {
			out.entries = append(out.entries, e)
			room -= e.size()
		}
	}
	return room
}

// wanted compares the digests of a request with the table: each result names
// an origin and the version above which the sender lacks its writes.
func (g *Gossiper) wanted(m *Message, from *record) []Digest {
	var out []Digest
	listed := map[string]bool{}
	var arc []string
	for _, d := range m.digests {
		if d.origin == "" {
			if d.version != g.sharedSum() || d.incarnation != g.statusSum() {
				out = append(out, d)
			}
			continue
		}
		arc = append(arc, d.origin)
		if listed[d.origin] {
			continue
		}
		listed[d.origin] = true
		if r, ok := g.records[d.origin]; ok && r.lacks(d) {
			if d.incarnation < r.incarnation {
				d.version = 0
			}
			out = append(out, d)
		}
	}
	if len(arc) < 2 {
		return out
	}
	listedEnd := len(out)
	for _, name := range g.offered(from) {
		r := g.records[name]
		if !listed[name] && within(name, arc[0], arc[len(arc)-1]) && r.known && !r.dead {
			out = append(out, NewDigest(name, r.incarnation, 0))
		}
	}
	unknown := out[listedEnd:]
	g.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return out
}

// lacks reports whether a peer with that digest lacks writes held here.
func (r *record) lacks(d Digest) bool {
	if r.dead || !r.known {
		return false
	}
	return d.incarnation < r.incarnation || d.incarnation == r.incarnation && d.version < r.version
}

// within reports whether a name lies on the arc of the circle of names that
// goes from first up to last; it is the whole circle when they are alike.
func within(name, first, last string) bool {
	if first < last {
		return first <= name && name <= last
	}
	return name >= first || name <= last
}
