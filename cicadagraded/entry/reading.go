package entry

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/refresher"
)

// reading is how the reads of the view have gone since it was last current. Only RunRefresh
// uses it.
type reading struct {
	source        string // of the read in progress
	storeFailures int
	peerFailures  int
	longest       tier.Millis // time of a read
	lastError     error
	late          bool // the view is older than staleViewAge, and that has been logged
}

// beginRead records the start of a read.
func (r *reading) begin(source refresher.Source) {
	switch source := source.(type) {
	case refresher.Peer:
		r.source = source.Member.VM().Name()
	case refresher.Seed:
		r.source = source.Address
	default:
		r.source = "store"
	}
}

// end records the result of a read that took some time.
func (r *reading) end(source refresher.Source, took tier.Millis, err error) {
	r.longest = max(r.longest, took)
	if err == nil {
		return
	}
	r.lastError = err
	switch source.(type) {
	case refresher.Store, refresher.StoreVMs:
		r.storeFailures++
	default:
		r.peerFailures++
	}
}

// logViewAge logs when the view becomes too old to be sure of, with what its reads have met, and
// when it is current again.
func (e *Entry) logViewAge(age tier.Millis) {
	r := &e.reading
	late := age > staleViewAge && e.table.Load() != nil
	switch {
	case late && !r.late:
		e.log.Warn("view-late", "view-age-ms", int64(age), "store-failures", r.storeFailures, "peer-failures", r.peerFailures,
			"longest-read-ms", int64(r.longest), "turn-wait-ms", int64(e.turns.wait(e.clock.Now())), "error", r.lastError)
	case !late && r.late:
		e.log.Info("view-current", "source", r.source, "store-failures", r.storeFailures, "peer-failures", r.peerFailures,
			"longest-read-ms", int64(r.longest), "turn-wait-ms", int64(e.turns.wait(e.clock.Now())))
	}
	if !late {
		*r = reading{source: r.source}
	}
	r.late = late
}
