package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// The routes that callers use.
const (
	sweep = "sweep" // all shards
	line  = "line"  // one leaf, may be repeated
	split = "split" // one leaf of two services by weight
	book  = "book"  // one leaf, not to be repeated
)

const (
	// shardCount is how many shards an index has.
	shardCount = 4
	// leafWork is how long a leaf works on a request.
	leafWork = 8 * tier.Millisecond
	// beat is how often a leaf writes its registration.
	beat = 400 * tier.Millisecond
	// leafTTL is how long a silent leaf stays registered: three beats.
	leafTTL = 3 * beat
	// servesOn is how long a leaf goes on serving after it has said that it
	// leaves.
	servesOn = drainBound + tier.Second
)

// leaf is one backend server with its address, which others may get after it.
type leaf struct {
	number int
	zone   string
	link   *relay.Link // from all VMs to it
	listen string      // the link's address

	mu       sync.Mutex
	worker   *responder.SimulatedLeaf // nil while nobody is there
	draining bool
	sequence int64
}

func (f *leaf) get() (*responder.SimulatedLeaf, bool, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return f.worker, f.draining, f.sequence
}

func (f *leaf) put(w *responder.SimulatedLeaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worker, f.draining = w, false
}

// ServeHTTP has the worker that is there now answer.
func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	worker := f.worker
	f.mu.Unlock()
	if worker == nil {
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(w, r)
}

// newWorker puts a new worker behind a leaf's address.
func (s *Soak) newWorker(service string) *responder.SimulatedLeaf {
	n := s.workers.Add(1)
	return responder.NewSimulatedLeaf(fmt.Sprintf("w%d", n), service, leafWork, s.ledger.arrived, s.ledger.ran)
}

// register keeps a leaf's registration up to date, as leafs do for themselves.
func (s *Soak) register(ctx context.Context, f *leaf) error {
	for ctx.Err() == nil {
		if worker, draining, sequence := f.get(); worker != nil {
			if err := s.beat(ctx, f, worker, draining, sequence); err != nil && ctx.Err() == nil {
				s.log.Debug("leaf not registered", "leaf", worker.ID(), "error", err)
			}
		}
		sleep(ctx, beat)
	}
	return nil
}

func (s *Soak) beat(ctx context.Context, f *leaf, w *responder.SimulatedLeaf, draining bool, sequence int64) error {
	raw, err := w.Registration(f.listen, f.zone, draining, sequence)
	if err != nil {
		return err
	}
	lease, err := s.store.Grant(ctx, leafTTL)
	if err != nil {
		return errors.Wrap(err, "Soak.beat")
	}
	if _, err := s.store.Put(ctx, platform.LeafsPrefix+w.ID(), raw, lease); err != nil {
		return errors.Wrap(err, "Soak.beat")
	}
	if draining {
		s.ledger.update(func() {
			known := func(d drained) bool { return d.leaf == w.ID() }
			if !slices.ContainsFunc(s.ledger.drains, known) {
				s.ledger.drains = append(s.ledger.drains, drained{w.ID(), time.Now()})
			}
		})
	}
	return nil
}

// drain has a leaf leave, and a new one take its place.
func (s *Soak) drain(ctx context.Context, f *leaf) {
	worker, draining, _ := f.get()
	if worker == nil || draining {
		return
	}
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	sleep(ctx, servesOn)
	f.put(s.newWorker(worker.Service()))
}

// reuse has a leaf end, and one of another service take its address.
func (s *Soak) reuse(ctx context.Context, f *leaf, other string, pause tier.Millis) {
	worker, _, _ := f.get()
	if worker == nil {
		return
	}
	f.put(nil)
	sleep(ctx, leafTTL)
	f.put(s.newWorker(other))
	sleep(ctx, pause)
	f.put(s.newWorker(worker.Service()))
}

// configuration is a version of the operator's: the index it names, and a route
// that no earlier version has.
func configuration(number int64, index string) ([]byte, map[string][]string, error) {
	shards := make([]string, shardCount)
	for i := range shards {
		shards[i] = fmt.Sprintf("%s%d", index, i)
	}
	routes := map[string][]string{
		sweep: shards, line: {"orders"}, split: {"orders", "ledger"}, book: {"ledger"}, marker(number): {"orders"},
	}
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": callerPatience,
			"targetLatencyMs": 400, "priority": 1, "maxAttempts": maxAttempts,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	const repeatable, once = "idempotent", "non_idempotent"
	list := []map[string]any{
		route(sweep, repeatable, map[string]any{"shards": shards, "topK": topRecords, "minimumShardShare": leastShare}),
		route(line, repeatable, map[string]any{"service": "orders"}),
		route(split, repeatable, map[string]any{"trafficSplit": []map[string]any{
			{"service": "orders", "weight": 0.7}, {"service": "ledger", "weight": 0.3},
		}}),
		route(book, once, map[string]any{"service": "ledger"}),
		route(marker(number), repeatable, map[string]any{"service": "orders"}),
	}
	raw, err := json.Marshal(map[string]any{
		"version": number, "routes": list, "services": []any{},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	return raw, routes, errors.Wrap(err, "configuration")
}

// marker is a route that a version brings.
func marker(number int64) string { return fmt.Sprintf("v%d", number) }

// configure writes a new version, and tries until the store has confirmed it.
func (s *Soak) configure(ctx context.Context, index string) error {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.number++
	raw, routes, err := configuration(s.number, index)
	if err != nil {
		return err
	}
	v := version{number: s.number, routes: routes, confirmed: never}
	// VMs may act on it before its writer knows.
	s.ledger.update(func() { s.ledger.versions = append(s.ledger.versions, v) })
	for ctx.Err() == nil {
		if _, err = s.store.Put(ctx, platform.ConfigurationKey, raw, 0); err == nil {
			s.ledger.update(func() { s.ledger.versions[len(s.ledger.versions)-1].confirmed = time.Now() })
			return nil
		}
		sleep(ctx, restartPause)
	}
	return nil
}

// never is later than any run.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// membersPrefix is where VMs register.
const membersPrefix = "cicadagrade/vms/"

// rewritten is the store as VMs see it: each VM's registration bears the address
// of the link that leads to it, so that other VMs reach it there only.
type rewritten struct {
	store http.Handler
	links map[string]string // by VM
}

// ServeHTTP passes a call to the store.
func (w rewritten) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-txn" {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		raw = w.change(raw)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	}
	w.store.ServeHTTP(rw, r)
}

func (w rewritten) change(raw []byte) []byte {
	var call map[string]any
	if json.Unmarshal(raw, &call) != nil {
		return raw // the store will say so
	}
	puts, _ := call["puts"].([]any)
	for _, p := range puts {
		item, _ := p.(map[string]any)
		key, _ := item["key"].(string)
		name, _ := strings.CutPrefix(key, membersPrefix)
		link, ok := w.links[name]
		text, _ := item["value"].(string)
		var entry struct{ Data []byte }
		if !ok || json.Unmarshal([]byte(`{"Data":"`+text+`"}`), &entry) != nil {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(bytes.NewReader(entry.Data))
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue
		}
		fields["address"] = link
		value, err := json.Marshal(fields)
		if err != nil {
			continue
		}
		item["value"] = value // encoded as base64
	}
	changed, err := json.Marshal(call)
	if err != nil {
		return raw
	}
	return changed
}

// serve runs an HTTP server on an address until the soak ends.
func (s *Soak) serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "Soak.serve")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: quiet}
	s.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "Soak.serve")
		}
		return nil
	})
	s.group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "Soak.serve")
	})
	return nil
}

// join runs a link until the soak ends.
func (s *Soak) join(ctx context.Context, l *relay.Link) error {
	listen, _ := l.Addresses()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "Soak.join")
	}
	s.group.Go(func() error { return l.ServeOn(ctx, ln) })
	return nil
}
