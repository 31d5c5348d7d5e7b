package gossiper

import "cicadagrade.example/tier"

// Event is something that happened to the VM.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ExchangeReceived is a peer's request; its answer is a Reply action.
type ExchangeReceived struct{ request *Message }

// NewExchangeReceived returns the event of a peer's request.
func NewExchangeReceived(request *Message) *ExchangeReceived {
	return &ExchangeReceived{request: request}
}

// ReplyReceived is a peer's answer to a SendExchange.
type ReplyReceived struct {
	number uint64
	reply  *Message
}

// NewReplyReceived returns the event of an answer to the exchange of that
// number.
func NewReplyReceived(number uint64, reply *Message) *ReplyReceived {
	return &ReplyReceived{number: number, reply: reply}
}

// PeerFailed says that a SendExchange was not answered in time.
type PeerFailed struct{ number uint64 }

// NewPeerFailed returns the event of a failed exchange of that number.
func NewPeerFailed(number uint64) *PeerFailed { return &PeerFailed{number: number} }

// Publish writes a value of this VM. An empty value takes the key back.
type Publish struct {
	key   string
	value []byte
}

// NewPublish returns the event of a write of this VM.
func NewPublish(key string, value []byte) *Publish { return &Publish{key: key, value: value} }

// Announce writes a shared value: of all VMs' values of a key, the one with
// the highest (epoch, revision) is kept everywhere.
type Announce struct {
	key      string
	epoch    uint64
	revision uint64
	value    []byte
}

// NewAnnounce returns the event of a write of a shared value.
func NewAnnounce(key string, epoch, revision uint64, value []byte) *Announce {
	return &Announce{key: key, epoch: epoch, revision: revision, value: value}
}

// SetState changes what this VM says of itself.
type SetState struct{ state tier.VMState }

// NewSetState returns the event of a change of this VM's state.
func NewSetState(s tier.VMState) *SetState { return &SetState{state: s} }

// SeedsChanged replaces the addresses where unknown peers may be found.
type SeedsChanged struct{ addresses []string }

// NewSeedsChanged returns the event of a new list of seeds.
func NewSeedsChanged(addresses []string) *SeedsChanged { return &SeedsChanged{addresses: addresses} }

func (*Tick) event()             {}
func (*ExchangeReceived) event() {}
func (*ReplyReceived) event()    {}
func (*PeerFailed) event()       {}
func (*Publish) event()          {}
func (*Announce) event()         {}
func (*SetState) event()         {}
func (*SeedsChanged) event()     {}

// Action is something that the shell does or passes on.
type Action interface{ action() }

// SendExchange asks the shell to send a request. The shell answers with one
// ReplyReceived or PeerFailed of the same number.
type SendExchange struct {
	number  uint64
	address string
	message *Message
}

// Number names the exchange.
func (a *SendExchange) Number() uint64 { return a.number }

// Address is where to send it.
func (a *SendExchange) Address() string { return a.address }

// Message is the request.
func (a *SendExchange) Message() *Message { return a.message }

// Reply is the answer to an ExchangeReceived.
type Reply struct{ message *Message }

// Message is the answer.
func (a *Reply) Message() *Message { return a.message }

// MemberChanged says that a VM joined, changed its state, address or life, or
// was declared dead.
type MemberChanged struct{ vm tier.VM }

// VM is the VM as it is now.
func (a *MemberChanged) VM() tier.VM { return a.vm }

// EntryChanged says that a value changed. A nil value was taken back, or was
// voided by a new life of its origin.
type EntryChanged struct {
	origin string
	key    string
	value  []byte
}

// Origin is the VM that wrote it, empty for a shared value.
func (a *EntryChanged) Origin() string { return a.origin }

// Key names the value.
func (a *EntryChanged) Key() string { return a.key }

// Value is the value; callers must not change it.
func (a *EntryChanged) Value() []byte { return a.value }

// Replaced says that another VM runs under this VM's name, in a later life and
// at another address. This VM publishes nothing more; its shell should stop.
type Replaced struct{ by tier.VM }

// By is the other VM.
func (a *Replaced) By() tier.VM { return a.by }

func (*Replaced) action()      {}
func (*SendExchange) action()  {}
func (*Reply) action()         {}
func (*MemberChanged) action() {}
func (*EntryChanged) action()  {}
