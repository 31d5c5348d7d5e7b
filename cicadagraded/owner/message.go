package owner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
)

// message is an input of an owner's event loop.
type message interface{ message() }

// submitMessage submits a part of a search, or a booking: exactly one of the two is set.
type submitMessage struct {
	search  *Search
	booking *Booking
	result  chan PartResult
}

// cancelMessage cancels the part whose result nobody waits for any more.
type cancelMessage struct{ result chan PartResult }

// callEndedMessage reports the result of a leaf call.
type callEndedMessage struct {
	attempt      uint64
	result       dispatcher.Result
	records      []tier.Record
	receipt      string
	state        tier.BackendState
	heldVersions *HeldVersions
	rejected     bool
	// connectionRefused reports that the backend server's machine refused the
	// connection, which shows that no process listens there.
	connectionRefused bool
	// cancelled reports that the owner itself cancelled the call.
	cancelled bool
}

// probeEndedMessage reports the reply of a backend server's health endpoint, or that the
// probe failed.
type probeEndedMessage struct {
	server string
	number uint64
	failed bool
	// connectionRefused reports that the backend server's machine refused the
	// connection, which shows that no process listens there.
	connectionRefused bool
	state             tier.BackendState
	holdings          []HeldVersions
}

// setMessage replaces the shard set's configuration.
type setMessage struct{ set *tier.ShardSet }

// slotShareMessage changes how many owners share the slots of the backend servers, and
// this owner's index among them.
type slotShareMessage struct{ owners, index int }

// standbyMessage reports that this VM does not own the shard set.
type standbyMessage struct{}

// statusMessage requests the owner's status.
type statusMessage struct{ reply chan Status }

func (*submitMessage) message()     {}
func (*cancelMessage) message()     {}
func (*callEndedMessage) message()  {}
func (*probeEndedMessage) message() {}
func (*setMessage) message()        {}
func (*slotShareMessage) message()  {}
func (*standbyMessage) message()    {}
func (*statusMessage) message()     {}
