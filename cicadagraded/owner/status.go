package owner

import (
	"context"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
)

// Status is the state of an owner, for the status endpoint and metrics.
type Status struct {
	// Owned reports whether this VM is an owner in its own view.
	Owned bool

	set      string
	epoch    tier.Epoch
	core     dispatcher.Status
	rejected uint64
	parts    int
}

// Set is the name of the shard set.
func (s Status) Set() string { return s.set }

// Epoch is the epoch of its shard map.
func (s Status) Epoch() tier.Epoch { return s.epoch }

// Dispatcher is the dispatcher's status.
func (s Status) Dispatcher() dispatcher.Status { return s.core }

// RejectedReplies is how many replies did not match their call.
func (s Status) RejectedReplies() uint64 { return s.rejected }

// Parts is how many parts are queued or run.
func (s Status) Parts() int { return s.parts }

func (o *Owner) status() Status {
	return Status{
		set:      o.set.Name(),
		epoch:    o.set.Epoch(),
		core:     o.core.Status(),
		rejected: o.rejected,
		parts:    len(o.parts),
	}
}

// Status asks the loop for the owner's status.
func (o *Owner) Status(ctx context.Context) (Status, bool) {
	m := &statusMessage{reply: make(chan Status, 1)}
	if err := o.inbox.Push(ctx, m); err != nil {
		return Status{}, false
	}
	select {
	case s := <-m.reply:
		return s, true
	case <-o.stopped:
	case <-ctx.Done():
	}
	return Status{}, false
}
