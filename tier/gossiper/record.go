package gossiper

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Keys that the gossiper itself writes. The statuses are said by peers about
// an origin; the others are written by the origin.
const (
	keyVM         = "vm"
	keyLink       = "link/"
	statusSuspect = "~suspect"
	statusDead    = "~dead"
)

type written struct {
	version uint64
	value   []byte
}

// record is what is held of one VM.
type record struct {
	vm          tier.VM
	known       bool // its own entry has been read
	incarnation tier.Incarnation
	version     uint64 // held without a gap up to here
	highest     uint64
	entries     map[string]written

	suspectAt    uint64 // the version that a suspicion names, 0 for none
	suspectSince tier.Millis
	dead         bool
	deadSince    tier.Millis
	shown        tier.VM // as last told to the shell
}

func newRecord(name string, i tier.Incarnation) *record {
	r := &record{vm: tier.NewVM(name, "", "")}
	r.reset(i)
	return r
}

// reset starts a new life, which voids what the former one wrote.
func (r *record) reset(i tier.Incarnation) {
	r.incarnation = i
	r.version, r.highest = 0, 0
	r.entries = map[string]written{}
	r.suspectAt = 0
	r.dead = false
	r.vm = r.vm.With(tier.WithIncarnation(i), tier.WithVMState(tier.VMJoining))
}

// take stores a written value and reports whether it is news. It advances the
// gapless version only when nothing is missing below.
func (r *record) take(e Entry) bool {
	if e.version <= r.entries[e.key].version {
		return false
	}
	if _, ok := r.entries[e.key]; !ok && len(r.entries) >= maxKeys {
		return false
	}
	r.entries[e.key] = written{version: e.version, value: e.value}
	r.highest = max(r.highest, e.version)
	r.advance(r.version)
	return true
}

// advance takes note that nothing is missing up to a version, and goes on over
// what is held above it.
func (r *record) advance(version uint64) {
	r.version = max(r.version, min(version, r.highest))
	for r.holds(r.version + 1) {
		r.version++
	}
}

// lowest is the lowest version that was not overwritten, once the entry of
// that key is written again.
func (r *record) lowest(key string) uint64 {
	low := r.highest + 1
	for k, w := range r.entries {
		if k != key {
			low = min(low, w.version)
		}
	}
	return low
}

func (r *record) holds(version uint64) bool {
	if version > r.highest {
		return false
	}
	for _, w := range r.entries {
		if w.version == version {
			return true
		}
	}
	return false
}

// state is the VM with the state that peers see.
func (r *record) state() tier.VM {
	if r.dead {
		return r.vm.With(tier.WithVMState(tier.VMDead))
	}
	return r.vm
}

// entry is a held value as it goes to a peer.
func (r *record) entry(key string) Entry {
	w := r.entries[key]
	return NewEntry(r.vm.Name(), r.incarnation, w.version, key, w.value)
}

// since lists what was written above a version, in the order of writing.
func (r *record) since(version uint64) []Entry {
	var out []Entry
	for k, w := range r.entries {
		if w.version > version {
			out = append(out, r.entry(k))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(int64(a.version) - int64(b.version)) })
	return out
}

func (r *record) status(key string) Entry {
	return NewEntry(r.vm.Name(), r.incarnation, max(r.suspectAt, 1), key, nil)
}

// vmJSON is a VM's state, data centre and address, and the lowest version of
// what it has written and not overwritten.
type vmJSON [4]string

func encodeVM(v tier.VM, lowest uint64) []byte {
	b, _ := json.Marshal(vmJSON{v.State().String(), v.DataCentre(), v.Address(), strconv.FormatUint(lowest, 10)})
	return b
}

// decodeVM reads what a VM says of itself.
func decodeVM(name string, i tier.Incarnation, b []byte) (tier.VM, uint64, error) {
	var j vmJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return tier.VM{}, 0, errors.Wrap(err, "decodeVM")
	}
	var l []tier.FieldProblem
	check := func(ok bool, path, value, allowed string) {
		if !ok {
			l = append(l, tier.NewFieldProblem(path, value, allowed))
		}
	}
	said := []tier.VMState{tier.VMJoining, tier.VMLive, tier.VMLeaving}
	state := slices.IndexFunc(said, func(s tier.VMState) bool { return s.String() == j[0] })
	check(state >= 0, "state", j[0], "joining, live or leaving")
	check(tier.ValidName(j[1]), "data-centre", j[1], "a name")
	address, err := netip.ParseAddrPort(j[2])
	check(err == nil && address.Port() > 0, "address", j[2], "an IP number and port")
	lowest, err := strconv.ParseUint(j[3], 10, 62)
	check(err == nil, "lowest-version", j[3], "a version")
	if err := tier.NewInvalidError("VM "+name, l); err != nil {
		return tier.VM{}, 0, errors.Wrap(err, "decodeVM")
	}
	return tier.NewVM(name, j[1], j[2], tier.WithIncarnation(i), tier.WithVMState(said[state])), lowest, nil
}
