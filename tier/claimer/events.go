package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"cicadagrade.example/tier"
)

// Fingerprint returns a hash of the content of a booking, to detect that a key is reused
// for a different request. It is the first 16 bytes of a SHA-256 in hexadecimal.
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

// Event is an input of Claimer.Step: *Submit, *Ran, *CallerGone, *ReadDone, *WriteDone,
// *Conflict, *Failed, *Fenced, *Flush or *Tick.
type Event interface{ event() }

// Submit asks for a booking to run at most once.
type Submit struct {
	submissionID uint64
	key          Key
	set          string
	fingerprint  string
	first        bool
	deadline     tier.Millis
	wall         tier.Millis
}

// NewSubmit returns a submission. SubmissionID identifies it in actions and must be
// unique. First states that the caller has never sent this key before. Deadline is on the
// monotonic clock; wall is the current wall time.
func NewSubmit(submissionID uint64, key Key, set, fingerprint string, first bool, deadline, wall tier.Millis) *Submit {
	return &Submit{submissionID: submissionID, key: key, set: set, fingerprint: fingerprint, first: first, deadline: deadline, wall: wall}
}

// Ran gives the outcome of a Run: *tier.Booked, *tier.Refused if the booking did not run,
// or *tier.Unknown.
type Ran struct {
	submissionID uint64
	outcome      tier.Outcome
}

// NewRan returns the outcome of a Run.
func NewRan(id uint64, o tier.Outcome) *Ran { return &Ran{submissionID: id, outcome: o} }

// CallerGone says that the caller of a submission no longer waits for it.
type CallerGone struct{ submissionID uint64 }

// NewCallerGone returns the event for a submission whose caller has gone.
func NewCallerGone(id uint64) *CallerGone { return &CallerGone{submissionID: id} }

// ReadDone gives the result of a Read.
type ReadDone struct {
	call     uint64
	data     []byte
	revision int64
}

// NewReadDone returns the page that a Read found; revision 0 means that it is absent.
func NewReadDone(call uint64, data []byte, revision int64) *ReadDone {
	return &ReadDone{call: call, data: data, revision: revision}
}

// WriteDone says that a Write took effect.
type WriteDone struct {
	call     uint64
	revision int64
}

// NewWriteDone returns the success of a Write, with the page's new revision.
func NewWriteDone(call uint64, revision int64) *WriteDone {
	return &WriteDone{call: call, revision: revision}
}

// Conflict says that a Write had no effect because the page had changed.
type Conflict struct {
	call     uint64
	data     []byte
	revision int64
}

// NewConflict returns the conflict of a Write with the page's current content.
func NewConflict(call uint64, data []byte, revision int64) *Conflict {
	return &Conflict{call: call, data: data, revision: revision}
}

// Failed says that a Read or Write failed.
type Failed struct {
	call   uint64
	unsure bool
}

// NewFailed returns the failure of a Read or Write; unsure means that a Write may have
// taken effect nevertheless.
func NewFailed(call uint64, unsure bool) *Failed { return &Failed{call: call, unsure: unsure} }

// Fenced says that a later incarnation of this VM exists. The claimer sends nothing more.
type Fenced struct{}

// Flush asks to store all outcomes now, without the record delay.
type Flush struct{}

// Tick says that time has passed: the time given by Claimer.Next has come.
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

// Action is an output of Claimer.Step: *Read, *Write, *DeletePage, *Run or *Finish.
type Action interface{ action() }

// Read asks to read a page from the store.
type Read struct {
	call uint64
	key  string
}

// Call is the number by which the resulting event refers to this call.
func (r *Read) Call() uint64 { return r.call }

// Key is the store key of the page.
func (r *Read) Key() string { return r.key }

// Write asks to replace a page if its revision is the expected one.
type Write struct {
	call   uint64
	key    string
	data   []byte
	expect int64
}

// Call is the number by which the resulting event refers to this call.
func (w *Write) Call() uint64 { return w.call }

// Key is the store key of the page.
func (w *Write) Key() string { return w.key }

// Data is the encoded page.
func (w *Write) Data() []byte { return w.data }

// Expect is the expected revision; 0 means that the page must be absent.
func (w *Write) Expect() int64 { return w.expect }

// DeletePage asks to delete an expired page, if it exists. No event follows.
type DeletePage struct{ key string }

// Key is the store key of the page.
func (d *DeletePage) Key() string { return d.key }

// Run asks to send a booking to a back end, once, before its deadline. Ran follows.
type Run struct {
	submissionID uint64
	key          Key
	deadline     tier.Millis
}

// SubmissionID identifies the submission.
func (r *Run) SubmissionID() uint64 { return r.submissionID }

// Key is the idempotency key of the booking.
func (r *Run) Key() Key { return r.key }

// Deadline is the latest time at which to send the booking, on the monotonic clock.
func (r *Run) Deadline() tier.Millis { return r.deadline }

// Finish ends a submission. Exactly one of outcome and err is set.
type Finish struct {
	submissionID uint64
	outcome      tier.Outcome
	err          error
}

// SubmissionID identifies the submission.
func (f *Finish) SubmissionID() uint64 { return f.submissionID }

// Outcome is the outcome of the submission, or nil.
func (f *Finish) Outcome() tier.Outcome { return f.outcome }

// Err is a *KeyReusedError or *tier.InvalidError, or nil.
func (f *Finish) Err() error { return f.err }

func (*Read) action()       {}
func (*Write) action()      {}
func (*DeletePage) action() {}
func (*Run) action()        {}
func (*Finish) action()     {}
