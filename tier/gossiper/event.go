package gossiper

import "cicadagrade.example/tier"

// Event is an input of the state machine.
type Event interface{ event() }

// Tick tells the gossiper that time has passed.
type Tick struct{}

// RequestReceived is a peer's request. Step answers it with a SendReply action.
type RequestReceived struct{ request *Message }

// NewRequestReceived returns the event of a peer's request.
func NewRequestReceived(request *Message) *RequestReceived {
	return &RequestReceived{request: request}
}

// ReplyReceived is a peer's reply to a SendRequest.
type ReplyReceived struct {
	number uint64
	reply  *Message
}

// NewReplyReceived returns the event of a reply to the exchange with that number.
func NewReplyReceived(number uint64, reply *Message) *ReplyReceived {
	return &ReplyReceived{number: number, reply: reply}
}

// ExchangeFailed reports that a SendRequest got no reply in time.
type ExchangeFailed struct{ number uint64 }

// NewExchangeFailed returns the event of the failure of the exchange with that number.
func NewExchangeFailed(number uint64) *ExchangeFailed { return &ExchangeFailed{number: number} }

// Publish writes a value of this VM. An empty value deletes the key.
type Publish struct {
	key   string
	value []byte
}

// NewPublish returns the event that writes a value of this VM.
func NewPublish(key string, value []byte) *Publish { return &Publish{key: key, value: value} }

// PublishShared writes a shared value. Of the values that VMs write under one shared
// key, all VMs keep the one with the highest (epoch, revision).
type PublishShared struct {
	key      string
	epoch    uint64
	revision uint64
	value    []byte
}

// NewPublishShared returns the event that writes a shared value.
func NewPublishShared(key string, epoch, revision uint64, value []byte) *PublishShared {
	return &PublishShared{key: key, epoch: epoch, revision: revision, value: value}
}

// SetState changes the state that this VM publishes of itself.
type SetState struct{ state tier.VMState }

// NewSetState returns the event that changes this VM's state.
func NewSetState(s tier.VMState) *SetState { return &SetState{state: s} }

// SeedsChanged replaces the seed addresses, at which peers not yet known may be found.
type SeedsChanged struct{ addresses []string }

// NewSeedsChanged returns the event of a new list of seed addresses.
func NewSeedsChanged(addresses []string) *SeedsChanged { return &SeedsChanged{addresses: addresses} }

func (*Tick) event()            {}
func (*RequestReceived) event() {}
func (*ReplyReceived) event()   {}
func (*ExchangeFailed) event()  {}
func (*Publish) event()         {}
func (*PublishShared) event()   {}
func (*SetState) event()        {}
func (*SeedsChanged) event()    {}

// Action is an output of the state machine, which the caller of Step carries out or
// passes on.
type Action interface{ action() }

// SendRequest asks the caller to send a request to a peer. The caller returns one
// ReplyReceived or ExchangeFailed with the same number.
type SendRequest struct {
	number  uint64
	address string
	message *Message
}

// Number identifies the exchange.
func (a *SendRequest) Number() uint64 { return a.number }

// Address is the peer's address.
func (a *SendRequest) Address() string { return a.address }

// Message is the request.
func (a *SendRequest) Message() *Message { return a.message }

// SendReply carries the reply to a RequestReceived.
type SendReply struct{ message *Message }

// Message is the reply.
func (a *SendReply) Message() *Message { return a.message }

// MemberChanged reports that a VM joined, changed its state, address or incarnation,
// or was declared dead.
type MemberChanged struct{ vm tier.VM }

// VM is the VM in its new state.
func (a *MemberChanged) VM() tier.VM { return a.vm }

// EntryChanged reports that a value changed. A nil value means that the key was
// deleted, or that its origin restarted with a new incarnation, which discards its
// entries.
type EntryChanged struct {
	origin string
	key    string
	value  []byte
}

// Origin is the VM that wrote the value; it is empty for a shared value.
func (a *EntryChanged) Origin() string { return a.origin }

// Key is the key of the value.
func (a *EntryChanged) Key() string { return a.key }

// Value returns the value; callers must not change it.
func (a *EntryChanged) Value() []byte { return a.value }

// Replaced reports that another VM runs under this VM's name, with a later incarnation
// and at another address. This VM publishes nothing more; its process should stop.
type Replaced struct{ by tier.VM }

// By is the other VM.
func (a *Replaced) By() tier.VM { return a.by }

func (*Replaced) action()      {}
func (*SendRequest) action()   {}
func (*SendReply) action()     {}
func (*MemberChanged) action() {}
func (*EntryChanged) action()  {}
