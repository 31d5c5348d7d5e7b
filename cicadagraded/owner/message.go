package owner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
)

// message is what the loop is told.
type message interface{ message() }

// submitMessage asks for a part; exactly one of search and booking is set.
type submitMessage struct {
	search  *Search
	booking *Booking
	end     chan PartResult
}

// cancelMessage says that nobody waits for a part any more.
type cancelMessage struct{ end chan PartResult }

// repliedMessage ends a leaf call.
type repliedMessage struct {
	attempt  uint64
	result   dispatcher.Result
	records  []tier.Record
	receipt  string
	state    tier.BackendState
	holding  *HeldVersions
	rejected bool
	// refused says that no connection could be made, cancelled that the
	// owner gave the call up itself.
	refused   bool
	cancelled bool
}

// healthMessage is what a server's health endpoint said, or its failure.
type healthMessage struct {
	server string
	number uint64
	failed bool
	// refused says that no process listens at the server's address.
	refused bool
	state   tier.BackendState
	held    []HeldVersions
}

// setMessage replaces the set's description.
type setMessage struct{ set *tier.ShardSet }

// shareMessage changes the owner's share of the slots.
type shareMessage struct{ owners, index int }

// standbyMessage says that another VM owns the set.
type standbyMessage struct{}

// statusMessage asks for the owner's status.
type statusMessage struct{ reply chan Status }

func (*submitMessage) message()  {}
func (*cancelMessage) message()  {}
func (*repliedMessage) message() {}
func (*healthMessage) message()  {}
func (*setMessage) message()     {}
func (*shareMessage) message()   {}
func (*standbyMessage) message() {}
func (*statusMessage) message()  {}
