// Package booker runs bookings at most once per idempotency key. It drives the state
// machine of package claimer and makes its calls to the platform's store.
package booker

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
	"cicadagrade.example/tier/queue"
	"cicadagrade.example/tier/storer"
)

// Defaults of the options.
const (
	DefaultStoreTimeout = 2 * tier.Second
	DefaultWorkers      = 16
	messageRingSize     = 4096 // queued messages
	storeCallRingSize   = 1024 // queued store calls
)

// Booker drives a claimer in an event loop and runs its store calls on a pool of workers.
// Its methods are safe for concurrent use.
type Booker struct {
	store          storer.Store
	clock          *tier.Clock
	claimer        *claimer.Claimer
	storeTimeout   tier.Millis
	workers        int
	claimerOptions []claimer.Option
	lastSubmission atomic.Uint64
	messages       *queue.Queue[message]
	storeCalls     *queue.Queue[claimer.Action]
	stopped        chan struct{}

	// The fields below belong to the event loop.
	submissions  map[uint64]*queue.Queue[claimer.Action]
	flushWaiters []chan struct{}
}

// Option sets one field of a Booker.
type Option func(*Booker)

// WithLive sets the function that reports which other VMs are assumed to be alive. It is
// called from the event loop.
func WithLive(f claimer.LiveFunc) Option {
	return func(b *Booker) { b.claimerOptions = append(b.claimerOptions, claimer.WithLive(f)) }
}

// WithStoreTimeout sets the timeout of each call to the store.
func WithStoreTimeout(m tier.Millis) Option { return func(b *Booker) { b.storeTimeout = m } }

// WithClaimer passes options to the claimer.
func WithClaimer(opts ...claimer.Option) Option {
	return func(b *Booker) { b.claimerOptions = append(b.claimerOptions, opts...) }
}

// New returns the Booker of one incarnation of a VM. It does nothing before Run is
// called.
func New(store storer.Store, vm string, i tier.Incarnation, clock *tier.Clock, opts ...Option) *Booker {
	b := &Booker{
		store:       store,
		clock:       clock,
		messages:    queue.New[message](messageRingSize),
		storeCalls:  queue.New[claimer.Action](storeCallRingSize),
		stopped:     make(chan struct{}),
		submissions: map[uint64]*queue.Queue[claimer.Action]{},
	}
	b.Defaults()
	for _, o := range opts {
		o(b)
	}
	b.claimer = claimer.New(vm, i, b.claimerOptions...)
	return b
}

// Defaults sets the store timeout, the number of workers and a random seed.
func (b *Booker) Defaults() {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	b.storeTimeout = DefaultStoreTimeout
	b.workers = DefaultWorkers
	b.claimerOptions = []claimer.Option{claimer.WithSeed(binary.BigEndian.Uint64(seed[:]))}
}

// message is an input of the event loop.
type message struct {
	event claimer.Event // or nil
	// Set together with a claimer.Submit: its id, and the ring for its actions.
	submissionID uint64
	actions      *queue.Queue[claimer.Action]
	// Set to request a new key, a signal when all outcomes are recorded, or the counters.
	keyReply      *queue.Queue[claimer.Key]
	flushed       chan struct{}
	countersReply *queue.Queue[claimer.Counters]
}

// Run runs the event loop and the workers until ctx ends. It must be called only once.
func (b *Booker) Run(ctx context.Context) error {
	defer close(b.stopped)
	g, ctx := errgroup.WithContext(ctx)
	for range b.workers {
		g.Go(func() error { return b.runStoreCalls(ctx) })
	}
	g.Go(func() error { return b.loop(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Booker.Run")
}

// loop passes messages and ticks to the claimer.
func (b *Booker) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(b.untilNextTick())
		select {
		case m := <-b.messages.Chan():
			b.handle(m)
		case <-timer.C:
			b.step(&claimer.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Booker) untilNextTick() time.Duration {
	at, ok := b.claimer.Next()
	if !ok {
		return time.Hour
	}
	return max(at-b.clock.Now(), 1).Duration()
}

func (b *Booker) handle(m message) {
	if m.actions != nil {
		b.submissions[m.submissionID] = m.actions
	}
	if m.keyReply != nil {
		m.keyReply.TryPush(b.claimer.Mint())
	}
	if m.flushed != nil {
		b.flushWaiters = append(b.flushWaiters, m.flushed)
	}
	if m.countersReply != nil {
		m.countersReply.TryPush(b.claimer.Counters())
	}
	if m.event != nil {
		b.step(m.event)
	}
}

// step passes an event to the claimer and performs the resulting actions.
func (b *Booker) step(e claimer.Event) {
	for _, a := range b.claimer.Step(b.clock.Now(), e) {
		switch a := a.(type) {
		case *claimer.Read:
			b.enqueueStoreCall(a, a.Call())
		case *claimer.Write:
			b.enqueueStoreCall(a, a.Call())
		case *claimer.DeletePage:
			b.storeCalls.TryPush(a)
		case *claimer.Run:
			b.submissions[a.SubmissionID()].TryPush(a)
		case *claimer.Finish:
			b.submissions[a.SubmissionID()].TryPush(a)
			delete(b.submissions, a.SubmissionID())
		}
	}
	if len(b.flushWaiters) == 0 || !b.claimer.Idle() {
		return
	}
	for _, f := range b.flushWaiters {
		close(f)
	}
	b.flushWaiters = nil
}

// enqueueStoreCall queues a store call for the workers. If the queue is full, the call
// fails without effect.
func (b *Booker) enqueueStoreCall(a claimer.Action, number uint64) {
	if !b.storeCalls.TryPush(a) {
		b.step(claimer.NewFailed(number, false))
	}
}
