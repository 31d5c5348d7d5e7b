package owner

import (
	"encoding/json"
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
// servers hold of each shard, and the threshold of admission.
type Report struct {
	epoch     tier.Epoch
	versions  map[string][]tier.Version
	threshold admitter.Threshold
}

// Epoch is the epoch of the shard map.
func (r Report) Epoch() tier.Epoch { return r.epoch }

// Versions are the index versions that servers hold of a shard.
func (r Report) Versions(shard string) []tier.Version { return r.versions[shard] }

// Informed reports whether the owner knows what any server holds.
func (r Report) Informed() bool { return len(r.versions) > 0 }

// Threshold is the threshold of admission.
func (r Report) Threshold() admitter.Threshold { return r.threshold }

// holdingWire lists the shards that hold the same versions.
type holdingWire struct {
	Versions []tier.Version `json:"versions"`
	Shards   []string       `json:"shards"`
}

// reportWire is a report between VMs.
type reportWire struct {
	Epoch     tier.Epoch                   `json:"epoch"`
	Holdings  []holdingWire                `json:"holdings"`
	Fractions [len(tier.Ranks)]float64     `json:"fractions"`
	After     [len(tier.Ranks)]tier.Millis `json:"after-ms"`
}

// Encode writes a report for other VMs.
func (r Report) Encode() ([]byte, error) {
	w := reportWire{Epoch: r.epoch}
	for _, shard := range slices.Sorted(maps.Keys(r.versions)) {
		w.add(shard, r.versions[shard])
	}
	for _, k := range tier.Ranks {
		w.Fractions[k] = r.threshold.Fraction(k)
		w.After[k] = r.threshold.RetryAfter(k)
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "Report.Encode")
}

func (w *reportWire) add(shard string, versions []tier.Version) {
	for i := range w.Holdings {
		if slices.Equal(w.Holdings[i].Versions, versions) {
			w.Holdings[i].Shards = append(w.Holdings[i].Shards, shard)
			return
		}
	}
	w.Holdings = append(w.Holdings, holdingWire{Versions: versions, Shards: []string{shard}})
}

// DecodeReport reads a report of another VM.
func DecodeReport(b []byte) (Report, error) {
	var w reportWire
	if err := json.Unmarshal(b, &w); err != nil {
		return Report{}, errors.Wrap(err, "DecodeReport")
	}
	r := Report{
		epoch:     w.Epoch,
		versions:  map[string][]tier.Version{},
		threshold: admitter.NewThreshold(w.Fractions, w.After),
	}
	for _, h := range w.Holdings {
		for _, shard := range h.Shards {
			r.versions[shard] = h.Versions
		}
	}
	return r, nil
}

// holdsSame reports whether two reports tell of the same holdings.
func (r Report) holdsSame(o Report) bool {
	return r.epoch == o.epoch && maps.EqualFunc(r.versions, o.versions, slices.Equal)
}

// report publishes what is news, and repeats a threshold that holds back.
func (o *Owner) report(now tier.Millis) {
	o.reportAt = now + reportInterval
	r := Report{epoch: o.set.Epoch(), versions: o.versions(), threshold: o.core.Threshold()}
	o.threshold.Store(&r.threshold)
	open := r.threshold.AllIn() && o.published.threshold.AllIn()
	due := !open && now-o.publishedAt >= thresholdInterval
	if r.holdsSame(o.published) && !due {
		return
	}
	o.published = r
	o.publishedAt = now
	o.publish(r)
}

// versions lists, for each shard of the map, the index versions that some
// server of this data centre that takes work holds.
func (o *Owner) versions() map[string][]tier.Version {
	out := map[string][]tier.Version{}
	for _, h := range o.set.Shards() {
		if v := o.versionsOf(h); len(v) > 0 {
			out[h.ID()] = v
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
func (o *Owner) heldOf(missed map[string]bool) []Held {
	var held []Held
	for _, h := range o.set.Shards() {
		if missed[h.ID()] {
			held = append(held, Held{shard: h.ID(), epoch: o.set.Epoch(), versions: o.versionsOf(h)})
		}
	}
	return held
}
