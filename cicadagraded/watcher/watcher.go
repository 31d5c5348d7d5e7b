// Package watcher keeps the configuration of a VM up to date: it reads and watches the store,
// fetches documents from other VMs and serves their fetches, and gives the daemon the profiles
// and shard sets in force.
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
	requestQueueSize = 4 // the replicator has at most one read, watch and fetch in flight
	fetchTimeout     = 2 * tier.Second
	minTickWait      = 5 * tier.Millis(1)
	maxTickWait      = 1 * tier.Minute
)

// Peer is the method of the peer service that a Watcher calls.
type Peer interface {
	Fetch(context.Context, *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error)
}

// Watcher replicates the configuration to one VM. It is safe for concurrent use.
type Watcher struct {
	name              string
	clock             *tier.Clock
	store             storer.Store
	dial              func(vm string) (Peer, bool)
	publish           func(key string, value []byte) error
	onAlert           func(replicator.Alert)
	replicatorOptions []replicator.Option

	mu            sync.Mutex
	replicator    *replicator.Replicator
	indexEntries  map[string]map[string][]replicator.Ref // by VM and gossip key
	warnings      map[string][]string                    // by VM
	cancelWatch   context.CancelFunc
	membersKnown  bool // whether OnMembers has been called
	localMembers  []string
	remoteMembers []string

	view          atomic.Pointer[view]
	listRequests  *queue.Queue[*replicator.List]
	watchRequests *queue.Queue[watchRequest]
	fetchRequests *queue.Queue[*replicator.Fetch]
	wake          *queue.Queue[struct{}]
	changed       *queue.Queue[struct{}]

	publishMu         sync.Mutex // held while the index and the warnings are published
	publishedIndex    [][]byte
	publishedWarnings []byte
}

// watchRequest is a watch that has been requested; its ctx may be cancelled before it starts.
type watchRequest struct {
	ctx  context.Context
	from int64
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithPeers sets how other VMs are reached. Without it, nothing is fetched.
func WithPeers(dial func(vm string) (Peer, bool)) Option {
	return func(w *Watcher) { w.dial = dial }
}

// WithPublisher sets how the index and the warnings of this VM are published. The other VMs
// pass them to OnIndexEntry.
func WithPublisher(publish func(key string, value []byte) error) Option {
	return func(w *Watcher) { w.publish = publish }
}

// WithAlertHandler sets a function that is called for each alert that is raised.
func WithAlertHandler(f func(replicator.Alert)) Option { return func(w *Watcher) { w.onAlert = f } }

// WithReplicatorOptions passes options to the replicator.
func WithReplicatorOptions(opts ...replicator.Option) Option {
	return func(w *Watcher) { w.replicatorOptions = append(w.replicatorOptions, opts...) }
}

// New returns the watcher of a VM.
func New(self tier.VM, store storer.Store, clock *tier.Clock, opts ...Option) *Watcher {
	w := &Watcher{
		name:         self.Name(),
		clock:        clock,
		store:        store,
		indexEntries: map[string]map[string][]replicator.Ref{},

		warnings:      map[string][]string{},
		listRequests:  queue.New[*replicator.List](requestQueueSize),
		watchRequests: queue.New[watchRequest](requestQueueSize),
		fetchRequests: queue.New[*replicator.Fetch](requestQueueSize),
		wake:          queue.New[struct{}](1),
		changed:       queue.New[struct{}](1),

		cancelWatch: func() {},
	}
	w.setDefaults()
	for _, o := range opts {
		o(w)
	}
	options := append([]replicator.Option{replicator.WithDataCentre(self.DataCentre())}, w.replicatorOptions...)
	w.replicator = replicator.New(w.name, options...)
	w.view.Store(newView(nil))
	return w
}

// setDefaults sets functions that reach no peers, publish nothing and ignore alerts.
func (w *Watcher) setDefaults() {
	w.dial = func(string) (Peer, bool) { return nil, false }
	w.publish = func(string, []byte) error { return nil }
	w.onAlert = func(replicator.Alert) {}
}

// Run keeps the configuration up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.runTicks(ctx) })
	group.Go(func() error { return w.runLists(ctx) })
	group.Go(func() error { return w.runWatches(ctx) })
	group.Go(func() error { return w.runFetches(ctx) })
	group.Go(func() error { return w.cancelWatchOnExit(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Watcher.Run")
}

// runTicks sends the replicator a tick whenever one is due.
func (w *Watcher) runTicks(ctx context.Context) error {
	return ticker.Run(ctx, w.wake, func() { w.stepReplicator(&replicator.Tick{}) }, w.untilNextTick)
}

// untilNextTick returns the time until the replicator's next tick is due.
func (w *Watcher) untilNextTick() tier.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.replicator.Next()
	if !ok {
		return maxTickWait
	}
	return min(max(next-w.clock.Now(), minTickWait), maxTickWait)
}

// handleEvent passes an event to the replicator, and wakes runTicks because the next tick may
// be due earlier.
func (w *Watcher) handleEvent(e replicator.Event) {
	w.stepReplicator(e)
	w.wake.TryPush(struct{}{})
}

// stepReplicator passes an event to the replicator, signals changes that have come into force
// and alerts, and publishes the index.
func (w *Watcher) stepReplicator(e replicator.Event) {
	adopted, alerts := w.dispatchActions(e)
	if adopted {
		w.changed.TryPush(struct{}{})
	}
	for _, a := range alerts {
		w.onAlert(a)
	}
	w.publishIndex()
}

// dispatchActions passes an event to the replicator and its actions to the goroutines that
// carry them out. It reports whether a document was adopted, and the alerts that were raised.
func (w *Watcher) dispatchActions(e replicator.Event) (adopted bool, alerts []replicator.Alert) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.replicator.Step(w.clock.Now(), e) {
		switch a := a.(type) {
		case *replicator.List:
			w.listRequests.TryPush(a)
		case *replicator.Watch:
			w.watchRequests.TryPush(w.newWatchRequest(a.From()))
		case *replicator.EndWatch:
			w.cancelWatch()
		case *replicator.Fetch:
			w.fetchRequests.TryPush(a)
		case *replicator.Adopted:
			adopted = true
		case *replicator.AlertRaised:
			alerts = append(alerts, a.Alert())
		}
	}
	if adopted {
		w.view.Store(newView(w.replicator.Documents()))
	}
	return adopted, alerts
}

// newWatchRequest returns a request for a watch that cancelWatch ends.
func (w *Watcher) newWatchRequest(from int64) watchRequest {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancelWatch = cancel
	return watchRequest{ctx: ctx, from: from}
}

// cancelWatchOnExit cancels the watch when ctx ends.
func (w *Watcher) cancelWatchOnExit(ctx context.Context) error {
	<-ctx.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch()
	return ctx.Err()
}
