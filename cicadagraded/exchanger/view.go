package exchanger

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"
)

// Publish writes a value of this VM, which all members read. An empty value
// takes the key back. Its error is a *TooLargeError.
func (x *Exchanger) Publish(key string, value []byte) error {
	if len(key) > gossiper.MaxKey || len(value) > gossiper.MaxValue {
		return errors.Wrap(&TooLargeError{key: key, size: len(value)}, "Publish")
	}
	x.step(gossiper.NewPublish(key, value))
	return nil
}

// Announce writes a shared value: the highest (epoch, revision) of a key is
// kept on all VMs. Its error is a *TooLargeError.
func (x *Exchanger) Announce(key string, epoch, revision uint64, value []byte) error {
	if len(key) > gossiper.MaxKey || len(value) > gossiper.MaxValue {
		return errors.Wrap(&TooLargeError{key: key, size: len(value)}, "Announce")
	}
	x.step(gossiper.NewAnnounce(key, epoch, revision, value))
	return nil
}

// SetState changes what this VM says of itself.
func (x *Exchanger) SetState(s tier.VMState) { x.step(gossiper.NewSetState(s)) }

// SetSeeds replaces the addresses where unknown peers may be found.
func (x *Exchanger) SetSeeds(addresses []string) { x.step(gossiper.NewSeedsChanged(addresses)) }

// Self is this VM, with its life and state as published.
func (x *Exchanger) Self() tier.VM {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Self()
}

// Generation counts the changes of Members, so that readers can tell whether
// to read them again.
func (x *Exchanger) Generation() uint64 {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Generation()
}

// Members lists the VMs known, with their states.
func (x *Exchanger) Members() []tier.VM {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Members()
}

// Entries lists what the VMs that are not dead published under a key.
func (x *Exchanger) Entries(key string) []gossiper.Published {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Entries(key)
}

// Shared is the highest shared value of a key.
func (x *Exchanger) Shared(key string) (epoch, revision uint64, value []byte, ok bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Shared(key)
}

// Reachable reports whether a data centre can be reached from here.
func (x *Exchanger) Reachable(dataCentre string) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Reachable(dataCentre)
}

// ReplacedBy is the VM that runs under this VM's name in a later life, if there
// is one.
func (x *Exchanger) ReplacedBy() (tier.VM, bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.ReplacedBy()
}

// Fresh reports whether this VM may act on what it holds: false after a start
// or a pause until it has exchanged with a peer.
func (x *Exchanger) Fresh() bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.gossiper.Fresh(x.clock.Now())
}

// DroppedChanges counts the changes that found their ring full.
func (x *Exchanger) DroppedChanges() uint64 { return x.dropped.Load() }

// Traffic counts what was sent and received.
func (x *Exchanger) Traffic() Traffic {
	return Traffic{
		exchanges: x.exchanges.Load(),
		failures:  x.failures.Load(),
		sent:      x.sent.Load(),
		received:  x.received.Load(),
	}
}
