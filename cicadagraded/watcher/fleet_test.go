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

const patience = 30 * time.Second

// vm is one VM; the first letter of its name is its data centre.
type vm struct {
	watcher *watcher.Watcher
	store   *cuttable
	cancel  context.CancelFunc
}

// cuttable is a store that a VM may be cut off from.
type cuttable struct {
	storer.Store
	lock sync.Mutex
	cut  bool
}

func (c *cuttable) setCut(cut bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cut = cut
}

func (c *cuttable) error() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.cut {
		return storer.NewUnavailableError("call", context.DeadlineExceeded)
	}
	return nil
}

func (c *cuttable) List(ctx context.Context, prefix string, limit int) ([]storer.Value, error) {
	if err := c.error(); err != nil {
		return nil, err
	}
	return c.Store.List(ctx, prefix, limit)
}

// Watch passes nothing on while the VM is cut off.
func (c *cuttable) Watch(ctx context.Context, prefix string, from int64, changed func(storer.Value)) error {
	if err := c.error(); err != nil {
		return err
	}
	return c.Store.Watch(ctx, prefix, from, func(v storer.Value) {
		if c.error() == nil {
			changed(v)
		}
	})
}

type publication struct {
	vm, key string
	value   []byte
}

// fleet is a number of VMs with one store. Its gossip reaches all VMs that
// are not cut off at once.
type fleet struct {
	t      *testing.T
	server *storeserver.Server
	store  storer.Store
	group  errgroup.Group
	queue  *queue.Queue[publication]

	lock  sync.Mutex
	vms   map[string]*vm
	said  map[string]map[string][]byte
	apart map[string]bool
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, server: storeserver.New(tier.NewClock()), queue: queue.New[publication](1024),
		vms: map[string]*vm{}, said: map[string]map[string][]byte{}, apart: map[string]bool{},
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

// deliver is the gossip.
func (f *fleet) deliver(ctx context.Context) error {
	for {
		p, err := f.queue.Pop(ctx)
		if err != nil {
			return nil
		}
		f.lock.Lock()
		if f.said[p.vm] == nil {
			f.said[p.vm] = map[string][]byte{}
		}
		f.said[p.vm][p.key] = p.value
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
		if f.apart[name] == f.apart[from] {
			out[name] = v
		}
	}
	return out
}

func (f *fleet) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &cuttable{Store: f.store}
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
	delete(f.said, name)
}

// meet tells every VM which others it reaches, and what they have said.
func (f *fleet) meet() {
	for name, v := range f.reachableAll() {
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
			for key, value := range f.heard(peer) {
				_ = v.watcher.OnIndexEntry(peer, key, value)
			}
		}
	}
}

func (f *fleet) reachableAll() map[string]*vm {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := map[string]*vm{}
	for name, v := range f.vms {
		out[name] = v
	}
	return out
}

func (f *fleet) heard(peer string) map[string][]byte {
	f.lock.Lock()
	defer f.lock.Unlock()
	out := map[string][]byte{}
	for key, value := range f.said[peer] {
		out[key] = value
	}
	return out
}

func document(t testing.TB, limit int) parser.Document {
	p, err := tier.NewProfile("gate", tier.WithQueueLimit(limit))
	if err != nil {
		t.Fatal(err)
	}
	return parser.NewProfilesDocument(p)
}

func (f *fleet) drive(c *committer.Change) {
	r := committer.Run(context.Background(), tier.NewClock(), f.store, c)
	if _, ok := r.(*committer.Accepted); !ok {
		f.t.Fatalf("change ended %T: %+v", r, r)
	}
}

// eventually waits until a VM is as wanted.
func (f *fleet) eventually(line, name string, limit time.Duration, ok func(*watcher.Watcher) bool) error {
	w := f.reachableAll()[name].watcher
	for end := time.Now().Add(limit); !ok(w); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not so on %s: %+v", line, name, w.Status())
		}
	}
	return nil
}

func serves(w *watcher.Watcher, limit string) bool {
	p, ok := w.Profile("gate")
	return ok && fmt.Sprint(p.QueueLimit()) == limit
}

func flagged(w *watcher.Watcher, trouble string) bool {
	for _, x := range w.Status().Alerts() {
		if strings.EqualFold(string(x.Kind()), trouble) {
			return true
		}
	}
	return false
}
