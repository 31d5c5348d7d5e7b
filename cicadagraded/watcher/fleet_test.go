package watcher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/watcher"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/queue"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

const testTimeout = 30 * time.Second

// vm is one VM of a fleet. The first letter of its name is its data centre.
type vm struct {
	watcher *watcher.Watcher
	store   *partitionableStore
	cancel  context.CancelFunc
}

// partitionableStore is a VM's view of the store, which can be made unreachable.
type partitionableStore struct {
	storer.Store
	lock        sync.Mutex
	unreachable bool
}

func (s *partitionableStore) setUnreachable(unreachable bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unreachable = unreachable
}

func (s *partitionableStore) callError() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.unreachable {
		return storer.NewUnavailableError("call", context.DeadlineExceeded)
	}
	return nil
}

func (s *partitionableStore) List(ctx context.Context, prefix string, limit int) ([]storer.Value, error) {
	if err := s.callError(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix, limit)
}

// Watch delivers no changes while the store is unreachable.
func (s *partitionableStore) Watch(ctx context.Context, prefix string, from int64, changed func(storer.Value)) error {
	if err := s.callError(); err != nil {
		return err
	}
	return s.Store.Watch(ctx, prefix, from, func(v storer.Value) {
		if s.callError() == nil {
			changed(v)
		}
	})
}

type publication struct {
	vm, key string
	value   []byte
}

// fleet is a group of VMs with one store. Published values reach at once all VMs on the same
// side of a network partition.
type fleet struct {
	t      *testing.T
	server *storeserver.Server
	store  storer.Store
	group  errgroup.Group
	queue  *queue.Queue[publication]

	lock        sync.Mutex
	vms         map[string]*vm
	published   map[string]map[string][]byte
	partitioned map[string]bool
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, server: storeserver.New(tier.NewClock()), queue: queue.New[publication](1024),
		vms: map[string]*vm{}, published: map[string]map[string][]byte{}, partitioned: map[string]bool{},
	}
	h := httptest.NewServer(f.server)
	g := platform.NewStore(h.URL)
	f.store = g
	ctx, cancel := context.WithCancel(context.Background())
	f.group.Go(func() error { return f.deliver(ctx) })
	t.Cleanup(func() {
		for name := range f.vms {
			f.vms[name].cancel()
		}
		cancel()
		_ = f.group.Wait()
		g.Close()
		h.Close()
	})
	return f
}

// deliver stands in for gossip: it passes published values on to the other VMs.
func (f *fleet) deliver(ctx context.Context) error {
	for {
		p, err := f.queue.Pop(ctx)
		if err != nil {
			return nil
		}
		f.lock.Lock()
		if f.published[p.vm] == nil {
			f.published[p.vm] = map[string][]byte{}
		}
		f.published[p.vm][p.key] = p.value
		f.lock.Unlock()
		for name, v := range f.reachable(p.vm) {
			if name != p.vm {
				_ = v.watcher.OnIndexEntry(p.vm, p.key, p.value)
			}
		}
	}
}

func (f *fleet) reachable(from string) map[string]*vm {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := map[string]*vm{}
	for name, v := range f.vms {
		if f.partitioned[name] == f.partitioned[from] {
			out[name] = v
		}
	}
	return out
}

func (f *fleet) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &partitionableStore{Store: f.store}
	w := watcher.New(tier.NewVM(name, name[:1], ""), s, tier.NewClock(),
		watcher.WithPublisher(func(key string, value []byte) error {
			f.queue.TryPush(publication{vm: name, key: key, value: value})
			return nil
		}),
		watcher.WithPeers(func(peer string) (watcher.Peer, bool) {
			v, ok := f.reachable(name)[peer]
			if !ok {
				return nil, false
			}
			return v.watcher, true
		}),
		watcher.WithReplicatorOptions(replicator.WithWatchers(1)))
	f.lock.Lock()
	f.vms[name] = &vm{watcher: w, store: s, cancel: cancel}
	f.lock.Unlock()
	f.group.Go(func() error { return w.Run(ctx) })
}

func (f *fleet) stop(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.vms[name].cancel()
	delete(f.vms, name)
	delete(f.published, name)
}

// updateMembers passes to every VM its reachable members and what they have published.
func (f *fleet) updateMembers() {
	for name, v := range f.allVMs() {
		var local, remote []string
		for peer := range f.reachable(name) {
			if peer[0] == name[0] {
				local = append(local, peer)
			} else {
				remote = append(remote, peer)
			}
		}
		v.watcher.OnMembers(local, remote)
		for _, peer := range append(local, remote...) {
			for key, value := range f.publishedBy(peer) {
				_ = v.watcher.OnIndexEntry(peer, key, value)
			}
		}
	}
}

func (f *fleet) allVMs() map[string]*vm {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := map[string]*vm{}
	for name, v := range f.vms {
		out[name] = v
	}
	return out
}

func (f *fleet) publishedBy(peer string) map[string][]byte {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := map[string][]byte{}
	for key, value := range f.published[peer] {
		out[key] = value
	}
	return out
}

func profilesDocument(t testing.TB, limit int) parser.Document {
	p, err := tier.NewProfile("gate", tier.WithQueueLimit(limit))
	if err != nil {
		t.Fatal(err)
	}
	return parser.NewProfilesDocument(p)
}

func (f *fleet) commit(c *committer.Change) {
	r := committer.Run(context.Background(), tier.NewClock(), f.store, c)
	if _, ok := r.(*committer.Accepted); !ok {
		f.t.Fatalf("change ended %T: %+v", r, r)
	}
}

// eventually waits until ok holds for a VM, and fails after limit.
func (f *fleet) eventually(line, name string, limit time.Duration, ok func(*watcher.Watcher) bool) error {
	w := f.allVMs()[name].watcher
	for end := time.Now().Add(limit); !ok(w); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: does not hold on %s: %+v", line, name, w.Status())
		}
	}
	return nil
}

func servesQueueLimit(w *watcher.Watcher, limit string) bool {
	p, ok := w.Profile("gate")
	return ok && fmt.Sprint(p.QueueLimit()) == limit
}

func hasAlert(w *watcher.Watcher, kind string) bool {
	for _, a := range w.Status().Alerts() {
		if strings.EqualFold(string(a.Kind()), kind) {
			return true
		}
	}
	return false
}
