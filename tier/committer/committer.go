// Package committer commits one change of a configuration document to the store, together
// with its audit entry. Its state machine reads the document, archives older audit
// entries and compare-and-swaps the document. If the reply to the swap is lost, it reads
// the document back and looks for the ID of its change, to decide whether the change was
// accepted, rejected or has an unknown outcome.
package committer

import (
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// Default timeout and bounds of the retry delay.
const (
	DefaultTimeout = 10 * tier.Second
	minRetryDelay  = 100 * tier.Millis(1)
	maxRetryDelay  = 2 * tier.Second
)

// AnyRevision accepts the document at any revision.
const AnyRevision = -1

// Change is the state machine of one change. It does no I/O: Step takes events and
// returns the action to perform. It is not safe for concurrent use.
type Change struct {
	author           replicator.Author
	id               string
	document         parser.Document   // the wanted content
	fleetState       *replicator.State // set when the change is a reconciliation
	highestServed    replicator.Ref    // the highest version that any VM serves
	expectedRevision int64
	timeout          tier.Millis
	random           *rand.Rand

	started      bool
	deadline     tier.Millis
	retryDelay   tier.Millis
	delayedUntil tier.Millis
	delayed      Action // to be performed at delayedUntil

	current    storer.Value // as last read; the swap expects its revision
	next       *replicator.State
	auxiliary  []*Put // archive and change-list writes to be made before the swap
	swapUnsure bool   // the reply to a swap was lost: it may have taken effect
	done       bool
}

// Option sets one option of a change.
type Option func(*Change)

// WithExpectedRevision has the change rejected unless the document is at this revision; 0
// means that the document must not exist yet.
func WithExpectedRevision(revision int64) Option {
	return func(c *Change) { c.expectedRevision = revision }
}

// WithHighestServed sets the highest version of the document that any VM serves. If the
// store holds an older one, the change is rejected, because the store has to be
// reconciled first.
func WithHighestServed(r replicator.Ref) Option { return func(c *Change) { c.highestServed = r } }

// WithTimeout sets the time after which the change is no longer retried.
func WithTimeout(m tier.Millis) Option { return func(c *Change) { c.timeout = m } }

// WithSeed seeds the jitter of the retry delays.
func WithSeed(seed uint64) Option {
	return func(c *Change) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a change that replaces a document by d. The change ID has to be unique; at
// is wall time.
func New(d parser.Document, id, who, reason string, at tier.Millis, opts ...Option) *Change {
	c := &Change{document: d, id: id, author: replicator.NewAuthor(who, id, reason, at)}
	c.Defaults()
	for _, o := range opts {
		o(c)
	}
	return c
}

// NewReconciliation returns a change that replaces what the store holds by the highest
// state that VMs serve.
func NewReconciliation(fleet *replicator.State, id, who, reason string, at tier.Millis, opts ...Option) *Change {
	c := New(fleet.Document(), id, who, reason, at, opts...)
	c.fleetState = fleet
	return c
}

// Defaults sets the default timeout and seed, and accepts any revision.
func (c *Change) Defaults() {
	c.expectedRevision = AnyRevision
	c.timeout = DefaultTimeout
	WithSeed(1)(c)
}

// Key is the store key of the document.
func (c *Change) Key() string { return replicator.KeyOf(c.document) }

// Step handles one event and returns the action to perform, or none while it waits for a
// retry.
func (c *Change) Step(now tier.Millis, e Event) []Action {
	if c.done {
		return nil
	}
	if !c.started {
		c.started = true
		c.deadline = now + c.timeout
	}
	a := c.handleEvent(now, e)
	if a == nil {
		return nil
	}
	_, c.done = a.(*Finish)
	return []Action{a}
}

// Next returns when the next Tick is due, if one is.
func (c *Change) Next() (tier.Millis, bool) { return c.delayedUntil, c.delayed != nil }

func (c *Change) handleEvent(now tier.Millis, e Event) Action {
	switch e := e.(type) {
	case *Start:
		return &Get{key: c.Key()}
	case *Read:
		return c.handleRead(e.value)
	case *Written:
		return c.handleWritten()
	case *Conflicted:
		return c.handleConflicted(e.current)
	case *Failed:
		return c.handleFailed(now, e)
	case *Tick:
		return c.handleTick(now)
	}
	return nil
}

func (c *Change) handleTick(now tier.Millis) Action {
	if c.delayed == nil || now < c.delayedUntil {
		return nil
	}
	a := c.delayed
	c.delayed = nil
	return a
}

// retryAfterDelay delays an action by an exponentially growing time with jitter, or ends
// the change when the timeout would be exceeded.
func (c *Change) retryAfterDelay(now tier.Millis, a Action, cause error) Action {
	c.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*c.retryDelay))
	delay := c.retryDelay/2 + tier.Millis(c.random.Int64N(int64(c.retryDelay/2)))
	if now+delay > c.deadline {
		if c.swapUnsure {
			return finish(&Unknown{cause: cause})
		}
		return finish(&Unavailable{cause: cause})
	}
	c.delayed, c.delayedUntil = a, now+delay
	return nil
}

// handleFailed handles a call that failed. If a swap may have taken effect, the document
// is read back; any other call is repeated.
func (c *Change) handleFailed(now tier.Millis, e *Failed) Action {
	if _, swap := e.action.(*Put); swap && len(c.auxiliary) == 0 && e.unsure {
		c.swapUnsure = true
		return c.retryAfterDelay(now, &Get{key: c.Key()}, e.cause)
	}
	return c.retryAfterDelay(now, e.action, e.cause)
}

// handleWritten continues with the next write, or ends the change as accepted after the
// swap.
func (c *Change) handleWritten() Action {
	if len(c.auxiliary) > 0 {
		c.auxiliary = c.auxiliary[1:]
		return c.nextWrite()
	}
	return finish(&Accepted{state: c.next})
}

// nextWrite returns the next write: the auxiliary ones first, the swap last.
func (c *Change) nextWrite() Action {
	if len(c.auxiliary) > 0 {
		return c.auxiliary[0]
	}
	return &Put{key: c.Key(), data: c.next.Encode(), expectedRevision: c.current.Revision()}
}

// handleConflicted handles a key that is not at the expected revision. For an auxiliary
// write this means that an earlier attempt wrote it already.
func (c *Change) handleConflicted(current storer.Value) Action {
	if len(c.auxiliary) > 0 {
		return c.handleWritten()
	}
	return c.resolveOverwritten(current)
}

func finish(r Result) Action { return &Finish{result: r} }

// describe returns the version of a state for messages.
func describe(s *replicator.State) string {
	if s == nil {
		return "absent"
	}
	return fmt.Sprintf("at epoch %d, revision %d", s.Ref().Epoch(), s.Ref().Revision())
}
