package owner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// thresholdInterval is the shortest time between two publications of a threshold. Entry
// VMs that send requests to this owner get the threshold with each reply.
const thresholdInterval = 1 * tier.Second

// Report lists which index versions the backend servers of a set in one data centre hold
// of each shard.
type Report struct {
	epoch    tier.Epoch
	versions map[int][]tier.Version // by the shard's index in the map
}

// Epoch is the epoch of the shard map.
func (r Report) Epoch() tier.Epoch { return r.epoch }

// Versions are the index versions that backend servers hold of the shard with index i in
// the epoch's map.
func (r Report) Versions(i int) []tier.Version { return r.versions[i] }

// HasHoldings reports whether the report lists any versions.
func (r Report) HasHoldings() bool { return len(r.versions) > 0 }

// holdingJSON lists the shards of which the same versions are held, as runs of
// consecutive shards of the map: the index of the first one and the length.
type holdingJSON struct {
	Versions []tier.Version `json:"versions"`
	Runs     [][2]int       `json:"runs"`
}

// reportJSON is the encoding of a report between VMs.
type reportJSON struct {
	Epoch    tier.Epoch    `json:"epoch"`
	Holdings []holdingJSON `json:"holdings"`
}

// thresholdJSON is the encoding of a threshold between VMs. A threshold often changes
// under load, so it is sent separately from the report, which is larger and rarely
// changes.
type thresholdJSON struct {
	Fractions [len(tier.Ranks)]float64     `json:"fractions"`
	After     [len(tier.Ranks)]tier.Millis `json:"after-ms"`
}

// EncodeThreshold encodes a threshold for other VMs. The encoding of one that admits all
// is empty.
func EncodeThreshold(t admitter.Threshold) ([]byte, error) {
	if t.AdmitsAll() {
		return nil, nil
	}
	var w thresholdJSON
	for _, k := range tier.Ranks {
		w.Fractions[k] = t.Fraction(k)
		w.After[k] = t.RetryAfter(k)
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "EncodeThreshold")
}

// DecodeThreshold decodes a threshold of another VM.
func DecodeThreshold(b []byte) (admitter.Threshold, error) {
	if len(b) == 0 {
		return admitter.AdmitAll(), nil
	}
	var w thresholdJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return admitter.AdmitAll(), errors.Wrap(err, "DecodeThreshold")
	}
	return admitter.NewThreshold(w.Fractions, w.After), nil
}

// Encode encodes the report for other VMs.
func (r Report) Encode() ([]byte, error) {
	w := reportJSON{Epoch: r.epoch}
	for _, i := range slices.Sorted(maps.Keys(r.versions)) {
		w.addShard(i, r.versions[i])
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "Report.Encode")
}

// addShard adds the shard with index i.
func (w *reportJSON) addShard(i int, versions []tier.Version) {
	for n := range w.Holdings {
		if slices.Equal(w.Holdings[n].Versions, versions) {
			w.Holdings[n].addShard(i)
			return
		}
	}
	w.Holdings = append(w.Holdings, holdingJSON{Versions: versions, Runs: [][2]int{{i, 1}}})
}

// addShard adds the shard with index i to the last run, or starts a new run.
func (h *holdingJSON) addShard(i int) {
	last := &h.Runs[len(h.Runs)-1]
	if last[0]+last[1] == i {
		last[1]++
		return
	}
	h.Runs = append(h.Runs, [2]int{i, 1})
}

// announcementJSON is the encoding of a report for VMs of other data centres. It includes
// the owner's VM, which they may not know.
type announcementJSON struct {
	VM          string           `json:"vm"`
	Address     string           `json:"address"`
	Incarnation tier.Incarnation `json:"incarnation"`
	Report      json.RawMessage  `json:"report"`
}

// EncodeAnnouncement encodes the report of an owner on a VM for VMs of other data
// centres.
func EncodeAnnouncement(vm tier.VM, r Report) ([]byte, error) {
	report, err := r.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "EncodeAnnouncement")
	}
	b, err := json.Marshal(announcementJSON{VM: vm.Name(), Address: vm.Address(), Incarnation: vm.Incarnation(), Report: report})
	return b, errors.Wrap(err, "EncodeAnnouncement")
}

// DecodeAnnouncement decodes the VM and the report of an owner in another data centre.
func DecodeAnnouncement(dataCentre string, b []byte) (tier.VM, Report, error) {
	var w announcementJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return tier.VM{}, Report{}, errors.Wrap(err, "DecodeAnnouncement")
	}
	r, err := DecodeReport(w.Report)
	if err != nil {
		return tier.VM{}, Report{}, errors.Wrap(err, "DecodeAnnouncement")
	}
	vm := tier.NewVM(w.VM, dataCentre, w.Address, tier.WithIncarnation(w.Incarnation), tier.WithVMState(tier.VMLive))
	return vm, r, nil
}

// DecodeReport decodes a report of another VM.
func DecodeReport(b []byte) (Report, error) {
	var w reportJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return Report{}, errors.Wrap(err, "DecodeReport")
	}
	r := Report{
		epoch:    w.Epoch,
		versions: map[int][]tier.Version{},
	}
	for _, h := range w.Holdings {
		for _, run := range h.Runs {
			if run[0] < 0 || run[1] < 0 || run[0] >= tier.MaxShards || run[1] > tier.MaxShards {
				return Report{}, errors.Wrap(&invalidRunError{first: run[0], count: run[1]}, "DecodeReport")
			}
			for i := range run[1] {
				r.versions[run[0]+i] = h.Versions
			}
		}
	}
	return r, nil
}

// invalidRunError reports a run of shards that exceeds the limits of a shard map.
type invalidRunError struct{ first, count int }

func (e *invalidRunError) Error() string {
	return fmt.Sprintf("run of %d shards from index %d exceeds the limits of a shard map", e.count, e.first)
}

// sameHoldings reports whether two reports list the same epoch and versions.
func (r Report) sameHoldings(o Report) bool {
	return r.epoch == o.epoch && maps.EqualFunc(r.versions, o.versions, slices.Equal)
}

// publishReport publishes the threshold, and the report if it has changed.
func (o *Owner) publishReport(now tier.Millis) {
	o.reportAt = now + reportInterval
	o.publishThreshold(now)
	r := Report{epoch: o.set.Epoch(), versions: o.heldVersions()}
	if !r.sameHoldings(o.lastReport) {
		o.lastReport = r
		o.publisher.PublishReport(o.name, r, o.ownerIndex)
	}
}

// publishThreshold publishes the threshold at most every thresholdInterval, as long as it
// does not admit all, and once more when it does again.
func (o *Owner) publishThreshold(now tier.Millis) {
	t := o.dispatcher.Threshold()
	o.threshold.Store(&t)
	if t.AdmitsAll() && !o.lastThresholdRestricts || now-o.lastThresholdAt < thresholdInterval {
		return
	}
	o.lastThresholdAt = now
	o.lastThresholdRestricts = !t.AdmitsAll()
	o.publisher.PublishThreshold(o.name, t)
}

// heldVersions lists, by the shard's index in the map, the index versions held by the
// backend servers in this data centre that accept calls.
func (o *Owner) heldVersions() map[int][]tier.Version {
	out := map[int][]tier.Version{}
	for i, s := range o.set.Shards() {
		if v := o.versionsOfShard(s); len(v) > 0 {
			out[i] = v
		}
	}
	return out
}

func (o *Owner) versionsOfShard(s tier.Shard) []tier.Version {
	var versions []tier.Version
	for _, server := range s.Replicas() {
		if o.acceptsCalls(server) {
			versions = append(versions, o.holdings[holdingKey{server, s.ID(), o.set.Epoch()}]...)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// heldVersionsOf lists the index versions that the owner's backend servers hold of the
// missed shards.
func (o *Owner) heldVersionsOf(missed map[string]bool) []HeldVersions {
	var held []HeldVersions
	for _, s := range o.set.Shards() {
		if missed[s.ID()] {
			held = append(held, HeldVersions{shard: s.ID(), epoch: o.set.Epoch(), versions: o.versionsOfShard(s)})
		}
	}
	return held
}
