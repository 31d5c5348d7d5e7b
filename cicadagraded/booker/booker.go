// Package booker runs the at-most-once state machine of tier/claimer
// against the platform's store.
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

// Defaults of the options, and the sizes of rings.
const (
	DefaultStoreTimeout = 2 * tier.Second
	DefaultWorkers      = 16
	eventRingSize       = 4096
	callRingSize        = 1024
)

// Booker is a duty that owns a claimer. Its methods are safe for
// concurrent use.
type Booker struct {
	store        storer.Store
	clock        *tier.Clock
	claimer      *claimer.Claimer
	storeTimeout tier.Millis
	workers      int
	options      []claimer.Option
	tickets      atomic.Uint64
	events       *queue.Queue[message]
	calls        *queue.Queue[claimer.Action]
	stopped      chan struct{}

	waiting  map[uint64]*queue.Queue[claimer.Action]
	flushers []chan struct{}
}

// Option sets one field of a Booker.
type Option func(*Booker)

// WithLive sets which other VMs are believed to live. The function is called
// from the duty's goroutine.
func WithLive(f claimer.LiveFunc) Option {
	return func(c *Booker) { c.options = append(c.options, claimer.WithLive(f)) }
}

// WithStoreTimeout bounds each call of the store.
func WithStoreTimeout(m tier.Millis) Option { return func(c *Booker) { c.storeTimeout = m } }

// WithClaimer passes options to the claimer.
func WithClaimer(opts ...claimer.Option) Option {
	return func(c *Booker) { c.options = append(c.options, opts...) }
}

// New returns the booker of one life of a VM. Nothing happens before Run.
func New(store storer.Store, vm string, i tier.Incarnation, clock *tier.Clock, opts ...Option) *Booker {
	c := &Booker{
		store:   store,
		clock:   clock,
		events:  queue.New[message](eventRingSize),
		calls:   queue.New[claimer.Action](callRingSize),
		stopped: make(chan struct{}),
		waiting: map[uint64]*queue.Queue[claimer.Action]{},
	}
	c.Defaults()
	for _, o := range opts {
		o(c)
	}
	c.claimer = claimer.New(vm, i, c.options...)
	return c
}

// Defaults sets timeout, workers and a random seed.
func (c *Booker) Defaults() {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	c.storeTimeout = DefaultStoreTimeout
	c.workers = DefaultWorkers
	c.options = []claimer.Option{claimer.WithSeed(binary.BigEndian.Uint64(seed[:]))}
}

// message is what other goroutines tell the duty.
type message struct {
	event claimer.Event
	// Set with a Submit: where its Run and Finish go.
	ticket uint64
	mail   *queue.Queue[claimer.Action]
	// Set to ask for a new key, to be told that all is recorded, or for the
	// counts.
	minted  *queue.Queue[claimer.Key]
	flushed chan struct{}
	counted *queue.Queue[claimer.Counters]
}

// Run drives the claimer until ctx ends. It is called once.
func (c *Booker) Run(ctx context.Context) error {
	defer close(c.stopped)
	g, ctx := errgroup.WithContext(ctx)
	for range c.workers {
		g.Go(func() error { return c.work(ctx) })
	}
	g.Go(func() error { return c.loop(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Booker.Run")
}

func (c *Booker) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(c.untilTick())
		select {
		case m := <-c.events.Chan():
			c.take(m)
		case <-timer.C:
			c.step(&claimer.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Booker) untilTick() time.Duration {
	at, ok := c.claimer.Next()
	if !ok {
		return time.Hour
	}
	return max(at-c.clock.Now(), 1).Duration()
}

func (c *Booker) take(m message) {
	if m.mail != nil {
		c.waiting[m.ticket] = m.mail
	}
	if m.minted != nil {
		m.minted.TryPush(c.claimer.Mint())
	}
	if m.flushed != nil {
		c.flushers = append(c.flushers, m.flushed)
	}
	if m.counted != nil {
		m.counted.TryPush(c.claimer.Counters())
	}
	if m.event != nil {
		c.step(m.event)
	}
}

func (c *Booker) step(e claimer.Event) {
	for _, a := range c.claimer.Step(c.clock.Now(), e) {
		switch a := a.(type) {
		case *claimer.Read:
			c.call(a, a.Call())
		case *claimer.Write:
			c.call(a, a.Call())
		case *claimer.DeletePage:
			c.calls.TryPush(a)
		case *claimer.Run:
			c.waiting[a.SubmissionID()].TryPush(a)
		case *claimer.Finish:
			c.waiting[a.SubmissionID()].TryPush(a)
			delete(c.waiting, a.SubmissionID())
		}
	}
	if len(c.flushers) == 0 || !c.claimer.Idle() {
		return
	}
	for _, f := range c.flushers {
		close(f)
	}
	c.flushers = nil
}

// call hands a call to the workers. If they have too much to do, it has
// failed without effect.
func (c *Booker) call(a claimer.Action, number uint64) {
	if !c.calls.TryPush(a) {
		c.step(claimer.NewFailed(number, false))
	}
}
