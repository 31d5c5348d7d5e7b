// Package committer carries out one change of a configuration document in the
// store, together with its audit entry: a state machine that reads, archives
// older entries, swaps, and after a lost answer reads back and looks for the
// id of its change before it says accepted, rejected or unknown.
package committer

import (
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// Defaults of a change.
const (
	DefaultTimeout = 10 * tier.Second
	firstPause     = 100 * tier.Millis(1)
	longestPause   = 2 * tier.Second
)

// AnyRevision expects no particular revision.
const AnyRevision = -1

// Change is the state machine of one change. It is not safe for concurrent
// use.
type Change struct {
	author   replicator.Author
	id       string
	document parser.Document
	fleet    *replicator.State // set when this reconciles the store
	floor    replicator.Ref    // the highest state that VMs serve
	expect   int64
	patience tier.Millis
	random   *rand.Rand

	started  bool
	deadline tier.Millis
	pause    tier.Millis
	resumeAt tier.Millis
	resume   Action

	base    storer.Value // what the swap expects
	next    *replicator.State
	pending []*Put // auxiliary writes before the swap
	unsure  bool   // a swap may have taken effect
	done    bool
}

// Option sets one field of a change.
type Option func(*Change)

// WithExpectedRevision has the change rejected unless the document is at this
// revision; 0 stands for a document that does not exist yet.
func WithExpectedRevision(revision int64) Option { return func(c *Change) { c.expect = revision } }

// WithHighestServed tells the highest state of the document that any VM serves: when
// the store shows an older one the change is rejected, because the store has
// to be reconciled first.
func WithHighestServed(r replicator.Ref) Option { return func(c *Change) { c.floor = r } }

// WithTimeout bounds the time that the change goes on trying.
func WithTimeout(m tier.Millis) Option { return func(c *Change) { c.patience = m } }

// WithSeed seeds the jitter between tries.
func WithSeed(seed uint64) Option {
	return func(c *Change) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a change to document d. The change id must be unique.
func New(d parser.Document, id, who, reason string, at tier.Millis, opts ...Option) *Change {
	c := &Change{document: d, id: id, author: replicator.NewAuthor(who, id, reason, at)}
	c.Defaults()
	for _, o := range opts {
		o(c)
	}
	return c
}

// NewReconciliation returns a change that writes back the highest state that
// VMs serve over what the store holds.
func NewReconciliation(fleet *replicator.State, id, who, reason string, at tier.Millis, opts ...Option) *Change {
	c := New(fleet.Document(), id, who, reason, at, opts...)
	c.fleet = fleet
	return c
}

// Defaults sets patience, seed and no expected revision.
func (c *Change) Defaults() {
	c.expect = AnyRevision
	c.patience = DefaultTimeout
	WithSeed(1)(c)
}

// Key is the key of the document.
func (c *Change) Key() string { return replicator.KeyOf(c.document) }

// Step handles one event at time now and returns what to do: one action, or
// none while it pauses.
func (c *Change) Step(now tier.Millis, e Event) []Action {
	if c.done {
		return nil
	}
	if !c.started {
		c.started = true
		c.deadline = now + c.patience
	}
	a := c.handle(now, e)
	if a == nil {
		return nil
	}
	_, c.done = a.(*Finish)
	return []Action{a}
}

// Next is when a Tick is due.
func (c *Change) Next() (tier.Millis, bool) { return c.resumeAt, c.resume != nil }

func (c *Change) handle(now tier.Millis, e Event) Action {
	switch e := e.(type) {
	case *Start:
		return &Get{key: c.Key()}
	case *Read:
		return c.read(e.value)
	case *Written:
		return c.written()
	case *Conflicted:
		return c.conflicted(e.current)
	case *Failed:
		return c.failed(now, e)
	case *Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Change) tick(now tier.Millis) Action {
	if c.resume == nil || now < c.resumeAt {
		return nil
	}
	a := c.resume
	c.resume = nil
	return a
}

// after has an action taken after a growing pause, or ends the change when
// its time is over.
func (c *Change) after(now tier.Millis, a Action, cause error) Action {
	c.pause = min(longestPause, max(firstPause, 2*c.pause))
	pause := c.pause/2 + tier.Millis(c.random.Int64N(int64(c.pause/2)))
	if now+pause > c.deadline {
		if c.unsure {
			return finish(&Unknown{cause: cause})
		}
		return finish(&Unavailable{cause: cause})
	}
	c.resume, c.resumeAt = a, now+pause
	return nil
}

// failed handles a call without an answer. After a swap that may have taken
// effect it reads back; everything else is tried again.
func (c *Change) failed(now tier.Millis, e *Failed) Action {
	if _, swap := e.action.(*Put); swap && len(c.pending) == 0 && e.unsure {
		c.unsure = true
		return c.after(now, &Get{key: c.Key()}, e.cause)
	}
	return c.after(now, e.action, e.cause)
}

// written goes on to the next write, or has the change accepted.
func (c *Change) written() Action {
	if len(c.pending) > 0 {
		c.pending = c.pending[1:]
		return c.write()
	}
	return finish(&Accepted{state: c.next})
}

// write returns the next write: archives first, the swap last.
func (c *Change) write() Action {
	if len(c.pending) > 0 {
		return c.pending[0]
	}
	return &Put{key: c.Key(), data: c.next.Encode(), expect: c.base.Revision()}
}

// conflicted handles a key that was not as expected. An archived entry that
// is there already is as good as written.
func (c *Change) conflicted(current storer.Value) Action {
	if len(c.pending) > 0 {
		return c.written()
	}
	return c.lost(current)
}

func finish(r Result) Action { return &Finish{result: r} }

// describe names the revision of a value for messages.
func describe(s *replicator.State) string {
	if s == nil {
		return "absent"
	}
	return fmt.Sprintf("at epoch %d, revision %d", s.Ref().Epoch(), s.Ref().Revision())
}
