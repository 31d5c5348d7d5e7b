package exchanger

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"
)

// Publish sets a key of this VM to a value that all members can read. An empty value removes
// the key. The error is a *TooLargeError.
func (x *Exchanger) Publish(key string, value []byte) error {
	if len(key) > gossiper.MaxKeyBytes || len(value) > gossiper.MaxValueBytes {
		return errors.Wrap(&TooLargeError{key: key, size: len(value)}, "Publish")
	}
	x.step(gossiper.NewPublish(key, value))
	return nil
}

// Announce sets a shared key to a value. Shared keys belong to no VM; all VMs keep the value
// with the highest epoch and, within it, the highest revision. The error is a
// *TooLargeError.
func (x *Exchanger) Announce(key string, epoch, revision uint64, value []byte) error {
	if len(key) > gossiper.MaxKeyBytes || len(value) > gossiper.MaxValueBytes {
		return errors.Wrap(&TooLargeError{key: key, size: len(value)}, "Announce")
	}
	x.step(gossiper.NewPublishShared(key, epoch, revision, value))
	return nil
}

// SetState changes the state that this VM publishes.
func (x *Exchanger) SetState(s tier.VMState) { x.step(gossiper.NewSetState(s)) }

// SetSeeds replaces the addresses that are contacted to discover unknown peers.
func (x *Exchanger) SetSeeds(addresses []string) { x.step(gossiper.NewSeedsChanged(addresses)) }

// Self is this VM with its published incarnation and state.
func (x *Exchanger) Self() tier.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Self()
}

// Generation is a counter that increases with each change of Members, so that readers can
// tell whether to read them again.
func (x *Exchanger) Generation() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Generation()
}

// Members lists the known VMs with their states.
func (x *Exchanger) Members() []tier.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Members()
}

// Entries lists the values published under a key by VMs that are not dead.
func (x *Exchanger) Entries(key string) []gossiper.PublishedValue {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Entries(key)
}

// Shared returns the value of a shared key with the highest epoch and revision. See Announce.
func (x *Exchanger) Shared(key string) (epoch, revision uint64, value []byte, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Shared(key)
}

// Reachable reports whether a data centre can be reached from this VM.
func (x *Exchanger) Reachable(dataCentre string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Reachable(dataCentre)
}

// ReplacedBy returns the VM that runs under this VM's name with a later incarnation, if
// there is one.
func (x *Exchanger) ReplacedBy() (tier.VM, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.ReplacedBy()
}

// Fresh reports whether this VM's data is recent enough to act on. After a start or a pause
// of the process it is false until an exchange with a peer succeeds or no peer is left. It
// is also false once a later incarnation has replaced this VM.
func (x *Exchanger) Fresh() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossiper.Fresh(x.clock.Now())
}

// DroppedChanges is the number of changes dropped because the queue of WithChanges was full.
func (x *Exchanger) DroppedChanges() uint64 { return x.droppedChanges.Load() }

// Traffic returns the totals of the exchanges with peers.
func (x *Exchanger) Traffic() Traffic {
	return Traffic{
		exchanges: x.exchanges.Load(),
		failures:  x.failures.Load(),
		sent:      x.sent.Load(),
		received:  x.received.Load(),
	}
}
