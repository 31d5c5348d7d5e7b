package gossiper

import (
	"hash/crc32"
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// findOrAddRecord returns the record of a VM, and adds it if there is none.
func (g *Gossiper) findOrAddRecord(name string, i tier.Incarnation) *record {
	if r, ok := g.records[name]; ok {
		return r
	}
	r := newRecord(name, i)
	g.records[name] = r
	at, _ := slices.BinarySearch(g.names, name)
	g.names = slices.Insert(g.names, at, name)
	return r
}

func (g *Gossiper) forgetRecord(name string) {
	delete(g.records, name)
	g.generation++
	g.rankedByDataCentre, g.cachedPeers = nil, nil
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

// applyEntry applies an entry from a peer. If it is new, it is pushed on the given
// number of times.
func (g *Gossiper) applyEntry(e Entry, transmits int) {
	if !validEntry(e) {
		return
	}
	switch {
	case e.origin == "":
		g.applyShared(e, transmits)
	case e.origin == g.name:
		g.applyEntryAboutSelf(e)
	case e.key == statusSuspect || e.key == statusDead:
		g.applySuspicion(e)
	default:
		g.applyPeerEntry(e, transmits)
	}
}

// validEntry checks the limits of an entry that comes from outside.
func validEntry(e Entry) bool {
	if e.incarnation > maxCounter || e.version > maxCounter || len(e.key) > MaxKeyBytes || len(e.value) > MaxValueBytes {
		return false
	}
	return e.version > 0 && (e.origin == "" || tier.ValidName(e.origin))
}

// applyEntryAboutSelf handles what peers say about this VM: another incarnation, a
// suspicion, or writes that it does not know.
func (g *Gossiper) applyEntryAboutSelf(e Entry) {
	switch {
	case e.incarnation < g.self.incarnation:
	case e.incarnation > g.self.incarnation && g.pastFormerIncarnations():
		g.handleLaterIncarnation(e)
	case e.incarnation > g.self.incarnation:
		g.raiseIncarnation(e.incarnation)
	case e.key == statusDead:
		g.raiseIncarnation(e.incarnation)
	case e.key == statusSuspect:
		g.refute(e.version)
	case e.version > g.self.highestVersion:
		g.raiseIncarnation(e.incarnation)
	}
}

// formerIncarnationWindow is how long after its start a VM may still hear of its
// former incarnations. Their numbers can be higher than the present one if the clock
// was set back.
const formerIncarnationWindow = 10 * tier.Second

func (g *Gossiper) pastFormerIncarnations() bool { return g.now-g.startedAt >= formerIncarnationWindow }

// handleLaterIncarnation handles an entry under this VM's name with a later
// incarnation. If the address differs, another VM has taken the name, for instance
// because this one was paused or cut off and replaced. Only the VM's own entry carries
// an address; other keys are ignored.
func (g *Gossiper) handleLaterIncarnation(e Entry) {
	if e.key != keyVM || g.replaced {
		return
	}
	v, _, err := decodeVM(e.origin, e.incarnation, e.value)
	if err != nil {
		return
	}
	if v.Address() == g.self.vm.Address() {
		g.raiseIncarnation(e.incarnation)
		return
	}
	g.replaced, g.replacedBy = true, v
	g.actions = append(g.actions, &Replaced{by: v})
}

func (g *Gossiper) applyPeerEntry(e Entry, transmits int) {
	r, ok := g.records[e.origin]
	if !ok && len(g.records) >= maxRecords {
		return
	}
	if !ok {
		r = g.findOrAddRecord(e.origin, e.incarnation)
	}
	if e.incarnation < r.incarnation {
		return
	}
	if e.incarnation > r.incarnation {
		g.startIncarnation(r, e.incarnation)
	}
	if !r.store(e) {
		return
	}
	if r.suspectVersion > 0 && e.version > r.suspectVersion {
		g.clearSuspicion(r)
	}
	g.broadcasts.enqueue(e.origin, e.key, transmits)
	g.scheduleFastRound()
	if e.key == keyVM {
		g.applyVMEntry(r, e)
	} else {
		g.recheckLink(r, e)
		g.emitEntryChanged(e.origin, e.key, e.value)
	}
	g.emitMemberChange(r)
}

// clearSuspicion ends a suspicion, or the state dead, after a newer write refuted it.
func (g *Gossiper) clearSuspicion(r *record) {
	r.suspectVersion = 0
	r.dead = false
	g.rankedByDataCentre, g.cachedPeers = nil, nil
	g.resolveAddressConflict(r)
}

// startIncarnation discards what a VM published under its former incarnation.
func (g *Gossiper) startIncarnation(r *record, i tier.Incarnation) {
	formerEntries := r.entries
	r.reset(i)
	g.rankedByDataCentre, g.cachedPeers = nil, nil
	for _, k := range sortedKeys(formerEntries) {
		if k != keyVM {
			g.emitEntryChanged(r.vm.Name(), k, nil)
		}
	}
}

func (g *Gossiper) applyVMEntry(r *record, e Entry) {
	v, lowest, err := decodeVM(e.origin, e.incarnation, e.value)
	if err != nil {
		return
	}
	r.advanceContiguous(max(min(lowest, e.version), 1) - 1)
	moved := v.Address() != r.vm.Address()
	r.vm = v
	r.vmKnown = true
	g.rankedByDataCentre, g.cachedPeers = nil, nil
	if moved {
		g.resolveAddressConflict(r)
	}
	if v.DataCentre() != g.localDataCentre {
		g.trimRemoteMembers(v.DataCentre())
	}
}

// resolveAddressConflict declares dead the VM with the lower incarnation when two VMs
// have the same address.
func (g *Gossiper) resolveAddressConflict(r *record) {
	for _, name := range g.names {
		o := g.records[name]
		if o == r || o.dead || !o.vmKnown || !r.vmKnown || o.vm.Address() != r.vm.Address() {
			continue
		}
		switch {
		case o.incarnation < r.incarnation && o != g.self:
			g.declareDead(o)
		case o.incarnation > r.incarnation:
			g.declareDead(r)
		}
	}
}

// trimRemoteMembers keeps only the first few VMs of another data centre: its contacts
// and the next in rank.
func (g *Gossiper) trimRemoteMembers(dataCentre string) {
	ranked := g.rankedMembers(dataCentre)
	for _, r := range ranked[min(len(ranked), g.maxRemoteMembers):] {
		r.dead = true
		g.emitMemberChange(r)
		g.forgetRecord(r.vm.Name())
	}
}

// rankedMembers lists the members of a data centre that are not dead in rank order;
// the first ones are its contacts. All VMs compute the same order.
func (g *Gossiper) rankedMembers(dataCentre string) []*record {
	if list, ok := g.rankedByDataCentre[dataCentre]; ok {
		return list
	}
	type scored struct {
		*record
		score uint64
	}
	var list []scored
	for _, name := range g.names {
		r := g.records[name]
		if r.vmKnown && !r.dead && r.vm.DataCentre() == dataCentre {
			list = append(list, scored{record: r, score: picker.Score("contact", dataCentre, name)})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]*record, len(list))
	for i, s := range list {
		out[i] = s.record
	}
	if g.rankedByDataCentre == nil {
		g.rankedByDataCentre = map[string][]*record{}
	}
	g.rankedByDataCentre[dataCentre] = out
	return out
}

// applyShared keeps the shared entry with the highest (epoch, revision) of a key.
func (g *Gossiper) applyShared(e Entry, transmits int) {
	held, ok := g.sharedEntries[e.key]
	if ok && !isNewer(e, held) {
		return
	}
	if !ok && len(g.sharedEntries) >= maxKeys {
		return
	}
	g.sharedEntries[e.key] = e
	g.broadcasts.enqueue("", e.key, transmits)
	g.scheduleFastRound()
	g.emitEntryChanged("", e.key, e.value)
}

func isNewer(a, b Entry) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.version > b.version
}

// sharedChecksum is equal on two VMs that hold the same versions of the shared
// entries.
func (g *Gossiper) sharedChecksum() uint64 {
	var sum uint32
	var b []byte
	for k, e := range g.sharedEntries {
		b = append(b[:0], k...)
		for shift := 0; shift < 64; shift += 8 {
			b = append(b, byte(e.incarnation>>shift), byte(e.version>>shift))
		}
		sum ^= crc32.ChecksumIEEE(b)
	}
	return uint64(sum)
}

func isReservedKey(key string) bool {
	return key == keyVM || strings.HasPrefix(key, keyLink) || strings.HasPrefix(key, "~")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
