// Package watcher keeps the configuration of a VM: it reads and watches the
// store, fetches documents from peers and serves theirs, and shows the daemon
// the profiles and shard sets in force.
package watcher

import (
	"context"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/ticker"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"

	peerv1 "cicadagrade.example/api/peer/v1"
)

const (
	ringSize     = 4 // the keeper has one read, watch and fetch in flight
	fetchTimeout = 2 * tier.Second
	minWait      = 5 * tier.Millis(1)
	maxWait      = 1 * tier.Minute
)

// Peer is the part of the peer service that a Watcher calls.
type Peer interface {
	Fetch(context.Context, *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error)
}

// Watcher keeps the configuration of one VM. It is safe for concurrent use.
type Watcher struct {
	name    string
	clock   *tier.Clock
	store   storer.Store
	dial    func(vm string) (Peer, bool)
	publish func(key string, value []byte) error
	warn    func(replicator.Alert)
	options []replicator.Option

	lock     sync.Mutex
	keeper   *replicator.Replicator
	heard    map[string]map[string][]replicator.Ref // by VM and gossip key
	warnings map[string][]string                    // by VM
	endWatch context.CancelFunc
	told     bool // members were told
	local    []string
	remote   []string

	view    atomic.Pointer[view]
	lists   *queue.Queue[*replicator.List]
	watches *queue.Queue[watchOrder]
	fetches *queue.Queue[*replicator.Fetch]
	wake    *queue.Queue[struct{}]
	changed *queue.Queue[struct{}]

	published sync.Mutex // held while the index is published
	chunks    [][]byte
	warned    []byte
}

// watchOrder is a watch that may be ended before it starts.
type watchOrder struct {
	ctx  context.Context
	from int64
}

// Option sets one field of a Watcher.
type Option func(*Watcher)

// WithPeers sets how VMs are reached; without it nothing is fetched.
func WithPeers(dial func(vm string) (Peer, bool)) Option {
	return func(w *Watcher) { w.dial = dial }
}

// WithPublisher sets where the index of what this VM holds is published; the
// other VMs hand it to OnIndex.
func WithPublisher(publish func(key string, value []byte) error) Option {
	return func(w *Watcher) { w.publish = publish }
}

// WithAlertHandler has warn called for each flag that is raised.
func WithAlertHandler(warn func(replicator.Alert)) Option { return func(w *Watcher) { w.warn = warn } }

// WithReplicatorOptions passes options to the keeper.
func WithReplicatorOptions(opts ...replicator.Option) Option {
	return func(w *Watcher) { w.options = append(w.options, opts...) }
}

// New returns the watcher of a VM.
func New(self tier.VM, store storer.Store, clock *tier.Clock, opts ...Option) *Watcher {
	w := &Watcher{
		name:  self.Name(),
		clock: clock,
		store: store,
		heard: map[string]map[string][]replicator.Ref{},

		warnings: map[string][]string{},
		lists:    queue.New[*replicator.List](ringSize),
		watches:  queue.New[watchOrder](ringSize),
		fetches:  queue.New[*replicator.Fetch](ringSize),
		wake:     queue.New[struct{}](1),
		changed:  queue.New[struct{}](1),

		endWatch: func() {},
	}
	w.setDefaults()
	for _, o := range opts {
		o(w)
	}
	options := append([]replicator.Option{replicator.WithDataCentre(self.DataCentre())}, w.options...)
	w.keeper = replicator.New(w.name, options...)
	w.view.Store(newView(nil))
	return w
}

// setDefaults sets no peers, publishes nowhere and ignores warnings.
func (w *Watcher) setDefaults() {
	w.dial = func(string) (Peer, bool) { return nil, false }
	w.publish = func(string, []byte) error { return nil }
	w.warn = func(replicator.Alert) {}
}

// Run keeps the configuration until ctx ends. It is one duty of a run group.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.tick(ctx) })
	group.Go(func() error { return w.list(ctx) })
	group.Go(func() error { return w.watch(ctx) })
	group.Go(func() error { return w.fetch(ctx) })
	group.Go(func() error { return w.stopWatch(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Watcher.Run")
}

// tick steps the keeper whenever it is due.
func (w *Watcher) tick(ctx context.Context) error {
	return ticker.Run(ctx, w.wake, func() { w.drive(&replicator.Tick{}) }, w.wait)
}

func (w *Watcher) wait() tier.Millis {
	w.lock.Lock()
	defer w.lock.Unlock()
	next, ok := w.keeper.Next()
	if !ok {
		return maxWait
	}
	return min(max(next-w.clock.Now(), minWait), maxWait)
}

// step drives the keeper and has tick look at its next time again.
func (w *Watcher) step(e replicator.Event) {
	w.drive(e)
	w.wake.TryPush(struct{}{})
}

// drive drives the keeper and tells of what came into force and of flags.
func (w *Watcher) drive(e replicator.Event) {
	took, flags := w.driveLocked(e)
	if took {
		w.changed.TryPush(struct{}{})
	}
	for _, f := range flags {
		w.warn(f)
	}
	w.publishIndex()
}

// driveLocked passes the keeper's actions to the duties.
func (w *Watcher) driveLocked(e replicator.Event) (took bool, flags []replicator.Alert) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, a := range w.keeper.Step(w.clock.Now(), e) {
		switch a := a.(type) {
		case *replicator.List:
			w.lists.TryPush(a)
		case *replicator.Watch:
			w.watches.TryPush(w.newWatch(a.From()))
		case *replicator.EndWatch:
			w.endWatch()
		case *replicator.Fetch:
			w.fetches.TryPush(a)
		case *replicator.Adopted:
			took = true
		case *replicator.AlertRaised:
			flags = append(flags, a.Alert())
		}
	}
	if took {
		w.view.Store(newView(w.keeper.Documents()))
	}
	return took, flags
}

// newWatch makes the order of a watch that endWatch ends.
func (w *Watcher) newWatch(from int64) watchOrder {
	ctx, cancel := context.WithCancel(context.Background())
	w.endWatch = cancel
	return watchOrder{ctx: ctx, from: from}
}

// stopWatch ends the watch when the watcher itself ends.
func (w *Watcher) stopWatch(ctx context.Context) error {
	<-ctx.Done()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.endWatch()
	return ctx.Err()
}
