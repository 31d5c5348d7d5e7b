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

// thresholdInterval is the time between two reports of which only the
// threshold is news. Fronts that ask this owner hear it with each reply.
const thresholdInterval = 1 * tier.Second

// Report is what an owner publishes of its set: which index versions its
// servers hold of each shard.
type Report struct {
	epoch    tier.Epoch
	versions map[int][]tier.Version // by the shard's place in the map
}

// Epoch is the epoch of the shard map.
func (r Report) Epoch() tier.Epoch { return r.epoch }

// Versions are the index versions that servers hold of the i-th shard of the
// epoch's map.
func (r Report) Versions(i int) []tier.Version { return r.versions[i] }

// HasHoldings reports whether the owner knows what any server holds.
func (r Report) HasHoldings() bool { return len(r.versions) > 0 }

// holdingWire lists shards that hold the same versions, in runs of the map's
// order: the first one and how many.
type holdingWire struct {
	Versions []tier.Version `json:"versions"`
	Runs     [][2]int       `json:"runs"`
}

// reportWire is a report between VMs.
type reportWire struct {
	Epoch    tier.Epoch    `json:"epoch"`
	Holdings []holdingWire `json:"holdings"`
}

// thresholdWire is a threshold between VMs. It changes often under load, and
// goes apart from the holdings, which are larger and rarely change.
type thresholdWire struct {
	Fractions [len(tier.Ranks)]float64     `json:"fractions"`
	After     [len(tier.Ranks)]tier.Millis `json:"after-ms"`
}

// EncodeThreshold writes a threshold for other VMs; one that lets everything
// in is empty.
func EncodeThreshold(t admitter.Threshold) ([]byte, error) {
	if t.AdmitsAll() {
		return nil, nil
	}
	var w thresholdWire
	for _, k := range tier.Ranks {
		w.Fractions[k] = t.Fraction(k)
		w.After[k] = t.RetryAfter(k)
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "EncodeThreshold")
}

// DecodeThreshold reads a threshold of another VM.
func DecodeThreshold(b []byte) (admitter.Threshold, error) {
	if len(b) == 0 {
		return admitter.AdmitAll(), nil
	}
	var w thresholdWire
	if err := json.Unmarshal(b, &w); err != nil {
		return admitter.AdmitAll(), errors.Wrap(err, "DecodeThreshold")
	}
	return admitter.NewThreshold(w.Fractions, w.After), nil
}

// Encode writes a report for other VMs.
func (r Report) Encode() ([]byte, error) {
	w := reportWire{Epoch: r.epoch}
	for _, i := range slices.Sorted(maps.Keys(r.versions)) {
		w.add(i, r.versions[i])
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "Report.Encode")
}

func (w *reportWire) add(i int, versions []tier.Version) {
	for n := range w.Holdings {
		if slices.Equal(w.Holdings[n].Versions, versions) {
			w.Holdings[n].add(i)
			return
		}
	}
	w.Holdings = append(w.Holdings, holdingWire{Versions: versions, Runs: [][2]int{{i, 1}}})
}

// add lengthens the last run or begins another.
func (h *holdingWire) add(i int) {
	last := &h.Runs[len(h.Runs)-1]
	if last[0]+last[1] == i {
		last[1]++
		return
	}
	h.Runs = append(h.Runs, [2]int{i, 1})
}

// announcementWire is a report with the VM that gives it, for VMs of other data
// centres, which may not know that VM.
type announcementWire struct {
	VM          string           `json:"vm"`
	Address     string           `json:"address"`
	Incarnation tier.Incarnation `json:"incarnation"`
	Report      json.RawMessage  `json:"report"`
}

// EncodeAnnouncement writes an owner's report for VMs of other data centres.
func EncodeAnnouncement(vm tier.VM, r Report) ([]byte, error) {
	report, err := r.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "EncodeAnnouncement")
	}
	b, err := json.Marshal(announcementWire{VM: vm.Name(), Address: vm.Address(), Incarnation: vm.Incarnation(), Report: report})
	return b, errors.Wrap(err, "EncodeAnnouncement")
}

// DecodeAnnouncement reads the report of an owner in another data centre.
func DecodeAnnouncement(dataCentre string, b []byte) (tier.VM, Report, error) {
	var w announcementWire
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

// DecodeReport reads a report of another VM.
func DecodeReport(b []byte) (Report, error) {
	var w reportWire
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
				return Report{}, errors.Wrap(&badRunError{first: run[0], count: run[1]}, "DecodeReport")
			}
			for i := range run[1] {
				r.versions[run[0]+i] = h.Versions
			}
		}
	}
	return r, nil
}

// badRunError says that a run of shards lies outside of any map.
type badRunError struct{ first, count int }

func (e *badRunError) Error() string {
	return fmt.Sprintf("run of %d shards from %d is not allowed", e.count, e.first)
}

// holdsSame reports whether two reports tell of the same holdings.
func (r Report) holdsSame(o Report) bool {
	return r.epoch == o.epoch && maps.EqualFunc(r.versions, o.versions, slices.Equal)
}

// report publishes what is news, and repeats a threshold that holds back.
func (o *Owner) report(now tier.Millis) {
	o.reportAt = now + reportInterval
	o.reportThreshold(now)
	r := Report{epoch: o.set.Epoch(), versions: o.versions()}
	if !r.holdsSame(o.published) {
		o.published = r
		o.outlet.PublishReport(o.name, r, o.index)
	}
}

func (o *Owner) reportThreshold(now tier.Millis) {
	t := o.core.Threshold()
	o.threshold.Store(&t)
	if t.AdmitsAll() && !o.pressed || now-o.pressedAt < thresholdInterval {
		return
	}
	o.pressedAt = now
	o.pressed = !t.AdmitsAll()
	o.outlet.PublishThreshold(o.name, t)
}

// versions lists, for each shard of the map, the index versions that some
// server of this data centre that takes work holds.
func (o *Owner) versions() map[int][]tier.Version {
	out := map[int][]tier.Version{}
	for i, h := range o.set.Shards() {
		if v := o.versionsOf(h); len(v) > 0 {
			out[i] = v
		}
	}
	return out
}

func (o *Owner) versionsOf(h tier.Shard) []tier.Version {
	var versions []tier.Version
	for _, server := range h.Replicas() {
		if o.takesWork(server) {
			versions = append(versions, o.holdings[holdingKey{server, h.ID(), o.set.Epoch()}]...)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// heldOf lists what the owner's servers hold of missed shards.
func (o *Owner) heldOf(missed map[string]bool) []HeldVersions {
	var held []HeldVersions
	for _, h := range o.set.Shards() {
		if missed[h.ID()] {
			held = append(held, HeldVersions{shard: h.ID(), epoch: o.set.Epoch(), versions: o.versionsOf(h)})
		}
	}
	return held
}
