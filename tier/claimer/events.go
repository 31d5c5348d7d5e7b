package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"cicadagrade.example/tier"
)

// Fingerprint identifies the content of a booking, so that a key sent with
// another request is noticed. It is the start of a SHA-256 in hexadecimal.
func Fingerprint(set, recordKey, body string) string {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{set, recordKey, body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Event is what a claimer is told: *Submit, *Ran, *CallerGone, *ReadDone,
// *WriteDone, *Conflict, *Failed, *Fenced, *Flush or *Tick.
type Event interface{ event() }

// Submit asks for a booking to run at most once.
type Submit struct {
	ticket      uint64
	key         Key
	set         string
	fingerprint string
	first       bool
	deadline    tier.Millis
	wall        tier.Millis
}

// NewSubmit returns a booking. The ticket names it in actions and is used
// once. First says that the caller vouches never to have sent this key
// before. Deadline is on the monotonic clock; wall is the wall time now.
func NewSubmit(ticket uint64, key Key, set, fingerprint string, first bool, deadline, wall tier.Millis) *Submit {
	return &Submit{ticket: ticket, key: key, set: set, fingerprint: fingerprint, first: first, deadline: deadline, wall: wall}
}

// Ran says how a booking ended that a Run asked for: *tier.Booked,
// *tier.Refused if it did not run, or *tier.Unknown.
type Ran struct {
	ticket  uint64
	outcome tier.Outcome
}

// NewRan returns the end of a run.
func NewRan(ticket uint64, o tier.Outcome) *Ran { return &Ran{ticket: ticket, outcome: o} }

// CallerGone says that nobody waits for a booking any more.
type CallerGone struct{ ticket uint64 }

// NewCallerGone returns the leaving of a booking's caller.
func NewCallerGone(ticket uint64) *CallerGone { return &CallerGone{ticket: ticket} }

// ReadDone says what a Read found.
type ReadDone struct {
	call     uint64
	data     []byte
	revision int64
}

// NewReadDone returns the page that a Read found; revision 0 says absent.
func NewReadDone(call uint64, data []byte, revision int64) *ReadDone {
	return &ReadDone{call: call, data: data, revision: revision}
}

// WriteDone says that a Write took effect.
type WriteDone struct {
	call     uint64
	revision int64
}

// NewWriteDone returns the success of a Write at a new revision.
func NewWriteDone(call uint64, revision int64) *WriteDone {
	return &WriteDone{call: call, revision: revision}
}

// Conflict says that a Write did not take effect, as the page had changed.
type Conflict struct {
	call     uint64
	data     []byte
	revision int64
}

// NewConflict returns the page as it is now.
func NewConflict(call uint64, data []byte, revision int64) *Conflict {
	return &Conflict{call: call, data: data, revision: revision}
}

// Failed says that a call failed.
type Failed struct {
	call   uint64
	unsure bool
}

// NewFailed returns the failure of a Read or Write; unsure says that it may
// have taken effect all the same.
func NewFailed(call uint64, unsure bool) *Failed { return &Failed{call: call, unsure: unsure} }

// Fenced says that a later life of this VM has been seen: nothing more is
// sent.
type Fenced struct{}

// Flush asks to record all outcomes without waiting for company.
type Flush struct{}

// Tick tells the time.
type Tick struct{}

func (*Submit) event()     {}
func (*Ran) event()        {}
func (*CallerGone) event() {}
func (*ReadDone) event()   {}
func (*WriteDone) event()  {}
func (*Conflict) event()   {}
func (*Failed) event()     {}
func (*Fenced) event()     {}
func (*Flush) event()      {}
func (*Tick) event()       {}

// Action is what a claimer wants done: *Read, *Write, *Drop, *Run or
// *Finish.
type Action interface{ action() }

// Read reads a page from the store.
type Read struct {
	call uint64
	key  string
}

// Call names the call in the event that ends it.
func (r *Read) Call() uint64 { return r.call }

// Key is the store's key.
func (r *Read) Key() string { return r.key }

// Write replaces a page if its revision is the expected one.
type Write struct {
	call   uint64
	key    string
	data   []byte
	expect int64
}

// Call names the call in the event that ends it.
func (w *Write) Call() uint64 { return w.call }

// Key is the store's key.
func (w *Write) Key() string { return w.key }

// Data is the new page.
func (w *Write) Data() []byte { return w.data }

// Expect is the expected revision; 0 says absent.
func (w *Write) Expect() int64 { return w.expect }

// DeletePage deletes a page that has expired, if it exists. No event answers it.
type DeletePage struct{ key string }

// Key is the store's key.
func (d *DeletePage) Key() string { return d.key }

// Run sends a booking on its way, once, until its deadline. Ran ends it.
type Run struct {
	ticket   uint64
	key      Key
	deadline tier.Millis
}

// SubmissionID names the booking.
func (r *Run) SubmissionID() uint64 { return r.ticket }

// Key is its idempotency key.
func (r *Run) Key() Key { return r.key }

// Deadline is the latest time to send it, on the monotonic clock.
func (r *Run) Deadline() tier.Millis { return r.deadline }

// Finish ends a booking. Either outcome or err is set.
type Finish struct {
	ticket  uint64
	outcome tier.Outcome
	err     error
}

// SubmissionID names the booking.
func (f *Finish) SubmissionID() uint64 { return f.ticket }

// Outcome is the end.
func (f *Finish) Outcome() tier.Outcome { return f.outcome }

// Err is a *KeyReusedError or *tier.InvalidError, or nil.
func (f *Finish) Err() error { return f.err }

func (*Read) action()       {}
func (*Write) action()      {}
func (*DeletePage) action() {}
func (*Run) action()        {}
func (*Finish) action()     {}
