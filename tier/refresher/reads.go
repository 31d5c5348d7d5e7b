package refresher

import (
	"slices"

	"cicadagrade.example/tier"
)

// read is a read in progress.
type read struct {
	name  string // of the VM, address of the seed, or storeName
	since tier.Millis
}

// storeName stands for the store among the names of VMs.
const storeName = ""

// patience is how long to wait for a read in progress before another one is started beside it.
func (r *Refresher) patience(now tier.Millis) tier.Millis {
	if len(r.reads) == 0 {
		return 0
	}
	if len(r.reads) >= maxReads {
		return retryInterval
	}
	wait := tier.Millis(0)
	for _, p := range r.reads {
		limit := peerPatience
		switch {
		case !r.loaded:
			limit = joinPatience
		case p.name == storeName:
			limit = storePatience
		}
		wait = max(wait, p.since+limit-now)
	}
	return wait
}

// begin records the start of a read.
func (r *Refresher) begin(now tier.Millis, name string) {
	r.reads = append(r.reads, read{name: name, since: now})
}

// end removes a read in progress.
func (r *Refresher) end(from Source) {
	name := storeName
	switch from := from.(type) {
	case Peer:
		name = from.Member.VM().Name()
	case Seed:
		name = from.Address
	}
	r.reads = slices.DeleteFunc(r.reads, func(p read) bool { return p.name == name })
}

// readsStore reports whether a read of the store is in progress.
func (r *Refresher) readsStore() bool {
	return slices.ContainsFunc(r.reads, func(p read) bool { return p.name == storeName })
}
