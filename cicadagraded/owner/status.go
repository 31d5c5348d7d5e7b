package owner

import (
	"context"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
)

// Status is the state of an owner, for the status endpoint and the metrics.
type Status struct {
	// Owned reports whether this VM is an owner of the set in its own view.
	Owned bool

	set             string
	epoch           tier.Epoch
	dispatcher      dispatcher.Status
	rejectedReplies uint64
	parts           int
}

// Set is the name of the shard set.
func (s Status) Set() string { return s.set }

// Epoch is the epoch of its shard map.
func (s Status) Epoch() tier.Epoch { return s.epoch }

// Dispatcher is the status of the owner's dispatcher.
func (s Status) Dispatcher() dispatcher.Status { return s.dispatcher }

// RejectedReplies is the number of replies that did not match their call.
func (s Status) RejectedReplies() uint64 { return s.rejectedReplies }

// Parts is the number of parts that are queued or running.
func (s Status) Parts() int { return s.parts }

func (o *Owner) status() Status {
	return Status{
		set:             o.set.Name(),
		epoch:           o.set.Epoch(),
		dispatcher:      o.dispatcher.Status(),
		rejectedReplies: o.rejectedReplies,
		parts:           len(o.parts),
	}
}

// Status returns the owner's status, or false if ctx ended or the owner has stopped.
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
