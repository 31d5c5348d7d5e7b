package gossiper

import (
	"hash/crc32"
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// record finds or adds the record of a VM.
func (g *Gossiper) record(name string, i tier.Incarnation) *record {
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
	g.ranks, g.others = nil, nil
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

// apply takes one entry from a peer; news is sent on n times.
func (g *Gossiper) apply(e Entry, n int) {
	if !valid(e) {
		return
	}
	switch {
	case e.origin == "":
		g.takeShared(e, n)
	case e.origin == g.name:
		g.hearSelf(e)
	case e.key == statusSuspect || e.key == statusDead:
		g.hearStatus(e)
	default:
		g.takeEntry(e, n)
	}
}

// valid bounds what is taken from outside.
func valid(e Entry) bool {
	if e.incarnation > maxNumber || e.version > maxNumber || len(e.key) > MaxKey || len(e.value) > MaxValue {
		return false
	}
	return e.version > 0 && (e.origin == "" || tier.ValidName(e.origin))
}

// hearSelf takes what peers say of this VM: another life, a suspicion, or
// writes that it does not know.
func (g *Gossiper) hearSelf(e Entry) {
	switch {
	case e.incarnation < g.own.incarnation:
	case e.incarnation > g.own.incarnation && g.settled():
		g.hearLaterLife(e)
	case e.incarnation > g.own.incarnation:
		g.renew(e.incarnation)
	case e.key == statusDead:
		g.renew(e.incarnation)
	case e.key == statusSuspect:
		g.refute(e.version)
	case e.version > g.own.highest:
		g.renew(e.incarnation)
	}
}

// settledAfter is how long after its start a VM may still hear of its former
// lives, which can be later ones where a clock went back.
const settledAfter = 10 * tier.Second

func (g *Gossiper) settled() bool { return g.now-g.begun >= settledAfter }

// hearLaterLife takes what peers say of a later life of this VM's name. Another
// address shows that another VM has it, as when this one was paused or cut off
// and replaced; what is not of the VM itself shows nothing.
func (g *Gossiper) hearLaterLife(e Entry) {
	if e.key != keyVM || g.replaced {
		return
	}
	v, _, err := decodeVM(e.origin, e.incarnation, e.value)
	if err != nil {
		return
	}
	if v.Address() == g.own.vm.Address() {
		g.renew(e.incarnation)
		return
	}
	g.replaced, g.replacedBy = true, v
	g.actions = append(g.actions, &Replaced{by: v})
}

func (g *Gossiper) takeEntry(e Entry, n int) {
	r, ok := g.records[e.origin]
	if !ok && len(g.records) >= maxRecords {
		return
	}
	if !ok {
		r = g.record(e.origin, e.incarnation)
	}
	if e.incarnation < r.incarnation {
		return
	}
	if e.incarnation > r.incarnation {
		g.newLife(r, e.incarnation)
	}
	if !r.take(e) {
		return
	}
	if r.suspectAt > 0 && e.version > r.suspectAt {
		g.clear(r)
	}
	g.news.add(e.origin, e.key, n)
	g.hurry()
	if e.key == keyVM {
		g.takeVM(r, e)
	} else {
		g.doubt(r, e)
		g.changed(e.origin, e.key, e.value)
	}
	g.show(r)
}

// clear ends a suspicion or a death that a newer write refuted.
func (g *Gossiper) clear(r *record) {
	r.suspectAt = 0
	r.dead = false
	g.ranks, g.others = nil, nil
	g.settleAddress(r)
}

// newLife voids what a VM's former life published.
func (g *Gossiper) newLife(r *record, i tier.Incarnation) {
	old := r.entries
	r.reset(i)
	g.ranks, g.others = nil, nil
	for _, k := range sortedKeys(old) {
		if k != keyVM {
			g.changed(r.vm.Name(), k, nil)
		}
	}
}

func (g *Gossiper) takeVM(r *record, e Entry) {
	v, lowest, err := decodeVM(e.origin, e.incarnation, e.value)
	if err != nil {
		return
	}
	r.advance(max(min(lowest, e.version), 1) - 1)
	moved := v.Address() != r.vm.Address()
	r.vm = v
	r.known = true
	g.ranks, g.others = nil, nil
	if moved {
		g.settleAddress(r)
	}
	if v.DataCentre() != g.home {
		g.trim(v.DataCentre())
	}
}

// settleAddress declares dead whoever had the address before.
func (g *Gossiper) settleAddress(r *record) {
	for _, name := range g.names {
		o := g.records[name]
		if o == r || o.dead || !o.known || !r.known || o.vm.Address() != r.vm.Address() {
			continue
		}
		switch {
		case o.incarnation < r.incarnation && o != g.own:
			g.bury(o)
		case o.incarnation > r.incarnation:
			g.bury(r)
		}
	}
}

// trim keeps the few VMs of another data centre that are its contacts or next
// to become so.
func (g *Gossiper) trim(dataCentre string) {
	kept := g.ranked(dataCentre)
	for _, r := range kept[min(len(kept), g.remoteKept):] {
		r.dead = true
		g.show(r)
		g.forgetRecord(r.vm.Name())
	}
}

// ranked lists the members of a data centre that are not dead, contacts
// first.
func (g *Gossiper) ranked(dataCentre string) []*record {
	if list, ok := g.ranks[dataCentre]; ok {
		return list
	}
	type scored struct {
		*record
		score uint64
	}
	var list []scored
	for _, name := range g.names {
		r := g.records[name]
		if r.known && !r.dead && r.vm.DataCentre() == dataCentre {
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
	if g.ranks == nil {
		g.ranks = map[string][]*record{}
	}
	g.ranks[dataCentre] = out
	return out
}

// takeShared keeps the highest shared value of a key.
func (g *Gossiper) takeShared(e Entry, n int) {
	held, ok := g.shared[e.key]
	if ok && !newer(e, held) {
		return
	}
	if !ok && len(g.shared) >= maxKeys {
		return
	}
	g.shared[e.key] = e
	g.news.add("", e.key, n)
	g.hurry()
	g.changed("", e.key, e.value)
}

func newer(a, b Entry) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.version > b.version
}

// sharedSum is alike on two VMs that hold the same shared values.
func (g *Gossiper) sharedSum() uint64 {
	var sum uint32
	var b []byte
	for k, e := range g.shared {
		b = append(b[:0], k...)
		for shift := 0; shift < 64; shift += 8 {
			b = append(b, byte(e.incarnation>>shift), byte(e.version>>shift))
		}
		sum ^= crc32.ChecksumIEEE(b)
	}
	return uint64(sum)
}

func reserved(key string) bool {
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
