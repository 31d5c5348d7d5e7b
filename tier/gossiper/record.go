package gossiper

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Keys that the gossiper itself writes. A status key says what a peer believes about
// the origin; the other keys are written by the origin itself.
const (
	keyVM         = "vm"
	keyLink       = "link/"
	statusSuspect = "~suspect"
	statusDead    = "~dead"
)

type versionedValue struct {
	version uint64
	value   []byte
}

// record holds what is known of one VM.
type record struct {
	vm                tier.VM
	vmKnown           bool // the VM's own entry has been read
	incarnation       tier.Incarnation
	contiguousVersion uint64 // no write up to here is missing
	highestVersion    uint64 // highest write heard of
	entries           map[string]versionedValue

	suspectVersion uint64 // version named by the suspicion, 0 for none
	suspectSince   tier.Millis
	dead           bool
	deadSince      tier.Millis
	lastReported   tier.VM // as in the last MemberChanged
}

func newRecord(name string, i tier.Incarnation) *record {
	r := &record{vm: tier.NewVM(name, "", "")}
	r.reset(i)
	return r
}

// reset starts a new incarnation, which discards the entries of the former one.
func (r *record) reset(i tier.Incarnation) {
	r.incarnation = i
	r.contiguousVersion, r.highestVersion = 0, 0
	r.entries = map[string]versionedValue{}
	r.suspectVersion = 0
	r.dead = false
	r.vm = r.vm.With(tier.WithIncarnation(i), tier.WithVMState(tier.VMJoining))
}

// store stores an entry and reports whether it is newer than the one held. It advances
// the contiguous version only if no write below it is missing.
func (r *record) store(e Entry) bool {
	if e.version <= r.entries[e.key].version {
		return false
	}
	if _, ok := r.entries[e.key]; !ok && len(r.entries) >= maxKeys {
		return false
	}
	r.entries[e.key] = versionedValue{version: e.version, value: e.value}
	r.highestVersion = max(r.highestVersion, e.version)
	r.advanceContiguous(r.contiguousVersion)
	return true
}

// advanceContiguous notes that no write up to a version is missing, and moves on over
// the writes held directly above it.
func (r *record) advanceContiguous(version uint64) {
	r.contiguousVersion = max(r.contiguousVersion, min(version, r.highestVersion))
	for r.holdsVersion(r.contiguousVersion + 1) {
		r.contiguousVersion++
	}
}

// lowestVersion returns the lowest version in use once the entry of that key is
// written again. All writes below it were overwritten.
func (r *record) lowestVersion(key string) uint64 {
	lowest := r.highestVersion + 1
	for k, w := range r.entries {
		if k != key {
			lowest = min(lowest, w.version)
		}
	}
	return lowest
}

func (r *record) holdsVersion(version uint64) bool {
	if version > r.highestVersion {
		return false
	}
	for _, w := range r.entries {
		if w.version == version {
			return true
		}
	}
	return false
}

// vmWithState returns the VM, in the state dead if it was declared dead.
func (r *record) vmWithState() tier.VM {
	if r.dead {
		return r.vm.With(tier.WithVMState(tier.VMDead))
	}
	return r.vm
}

// entry returns a held value as it is sent to peers.
func (r *record) entry(key string) Entry {
	w := r.entries[key]
	return NewEntry(r.vm.Name(), r.incarnation, w.version, key, w.value)
}

// entriesAfter lists the entries above a version in the order of writing.
func (r *record) entriesAfter(version uint64) []Entry {
	var out []Entry
	for k, w := range r.entries {
		if w.version > version {
			out = append(out, r.entry(k))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(int64(a.version) - int64(b.version)) })
	return out
}

func (r *record) statusEntry(key string) Entry {
	return NewEntry(r.vm.Name(), r.incarnation, max(r.suspectVersion, 1), key, nil)
}

// vmJSON is the encoded entry of a VM: state, data centre, address, and the lowest
// version that it has not overwritten.
type vmJSON [4]string

func encodeVM(v tier.VM, lowest uint64) []byte {
	b, _ := json.Marshal(vmJSON{v.State().String(), v.DataCentre(), v.Address(), strconv.FormatUint(lowest, 10)})
	return b
}

// decodeVM decodes the entry that a VM writes about itself.
func decodeVM(name string, i tier.Incarnation, b []byte) (tier.VM, uint64, error) {
	var fields vmJSON
	if err := json.Unmarshal(b, &fields); err != nil {
		return tier.VM{}, 0, errors.Wrap(err, "decodeVM")
	}
	var problems []tier.FieldProblem
	check := func(ok bool, path, value, allowed string) {
		if !ok {
			problems = append(problems, tier.NewFieldProblem(path, value, allowed))
		}
	}
	allowedStates := []tier.VMState{tier.VMJoining, tier.VMLive, tier.VMLeaving}
	state := slices.IndexFunc(allowedStates, func(s tier.VMState) bool { return s.String() == fields[0] })
	check(state >= 0, "state", fields[0], "joining, live or leaving")
	check(tier.ValidName(fields[1]), "data-centre", fields[1], "a name")
	address, err := netip.ParseAddrPort(fields[2])
	check(err == nil && address.Port() > 0, "address", fields[2], "an IP number and port")
	lowest, err := strconv.ParseUint(fields[3], 10, 62)
	check(err == nil, "lowest-version", fields[3], "a version")
	if err := tier.NewInvalidError("VM "+name, problems); err != nil {
		return tier.VM{}, 0, errors.Wrap(err, "decodeVM")
	}
	return tier.NewVM(name, fields[1], fields[2], tier.WithIncarnation(i), tier.WithVMState(allowedStates[state])), lowest, nil
}
