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
	"cicadagrade.example/tier/storer"
)

// Names of the routes that callers use.
const (
	routeSweep = "sweep" // all shards
	routeLine  = "line"  // one leaf, idempotent, public
	routeSplit = "split" // one leaf of two services, chosen by weight
	routeBook  = "book"  // one leaf, non-idempotent

	routePinned = "pinned" // one leaf, in pinnedRegion only
)

const (
	// maxBodyBytes is the largest body that callers may send.
	maxBodyBytes = 64 << 10
	// shardCount is how many shards an index has.
	shardCount = 4
	// leafServiceTime is how long a leaf works on a request.
	leafServiceTime = 8 * tier.Millisecond
	// registrationInterval is how often a leaf writes its registration.
	registrationInterval = 400 * tier.Millisecond
	// registrationTTL is how long a leaf stays registered after its last write.
	registrationTTL = 3 * registrationInterval
	// drainingServeTime is how long a leaf goes on serving after it has registered as
	// draining.
	drainingServeTime = drainBound + tier.Second
)

// leaf is the address of a backend server, and the simulated instance that serves it now.
// Instances of other services may get the same address later.
type leaf struct {
	number int
	zone   string
	link   *relay.Link // from all VMs to the leaf
	listen string      // the link's address

	mu       sync.Mutex
	instance *responder.SimulatedLeaf // nil while no instance serves the address
	draining bool
	sequence int64
	lease    storer.LeaseID // of the latest registration
	written  string         // id of its instance
}

// current returns the instance, whether it is draining, and the sequence number of the next
// registration.
func (f *leaf) current() (*responder.SimulatedLeaf, bool, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return f.instance, f.draining, f.sequence
}

func (f *leaf) replaceInstance(w *responder.SimulatedLeaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instance, f.draining = w, false
}

// ServeHTTP passes the request to the current instance; without one it cuts the connection.
func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	instance := f.instance
	f.mu.Unlock()
	if instance == nil {
		panic(http.ErrAbortHandler)
	}
	instance.ServeHTTP(w, r)
}

// newInstance returns an instance of a service under an ID of its own, which reports its
// calls and runs to the history.
func (s *Soak) newInstance(zone, service string) *responder.SimulatedLeaf {
	n := s.instanceCount.Add(1)
	w := responder.NewSimulatedLeaf(fmt.Sprintf("w%d", n), service, leafServiceTime, s.history.addCall, s.history.addRun)
	s.history.update(func() { s.history.leafZones[w.ID()] = zone })
	s.turnCold(w)
	return w
}

// keepRegistered writes a leaf's registration at intervals, which real leafs do themselves. In a quiet
// time it only renews the lease of a registration that is in the store.
func (s *Soak) keepRegistered(ctx context.Context, f *leaf) error {
	for ctx.Err() == nil {
		if instance, draining, sequence := f.current(); instance != nil && (!s.quiet.Load() || !s.renews(ctx, f, instance.ID())) {
			s.register(ctx, f, instance, draining, sequence)
		}
		sleep(ctx, registrationInterval)
	}
	return nil
}

// renews renews the lease of an instance's registration, and reports whether the store has it.
func (s *Soak) renews(ctx context.Context, f *leaf, instance string) bool {
	f.mu.Lock()
	lease, written := f.lease, f.written
	f.mu.Unlock()
	if written != instance {
		return false
	}
	left, err := s.store.KeepAlive(ctx, lease)
	return err == nil && left > 0
}

// writeAgain writes a leaf's registration as when something has changed in it.
func (s *Soak) writeAgain(ctx context.Context, f *leaf) {
	if instance, draining, sequence := f.current(); instance != nil {
		s.register(ctx, f, instance, draining, sequence)
	}
}

func (s *Soak) register(ctx context.Context, f *leaf, w *responder.SimulatedLeaf, draining bool, sequence int64) {
	if err := s.putRegistration(ctx, f, w, draining, sequence); err != nil && ctx.Err() == nil {
		s.log.Debug("leaf not registered", "leaf", w.ID(), "error", err)
	}
}

// putRegistration writes an instance's registration under a new lease. It records when the
// store first holds the instance as draining.
func (s *Soak) putRegistration(ctx context.Context, f *leaf, w *responder.SimulatedLeaf, draining bool, sequence int64) error {
	raw, err := w.Registration(f.listen, f.zone, draining, sequence)
	if err != nil {
		return err
	}
	lease, err := s.store.Grant(ctx, registrationTTL)
	if err != nil {
		return errors.Wrap(err, "Soak.putRegistration")
	}
	if _, err := s.store.Put(ctx, platform.LeafsPrefix+w.ID(), raw, lease); err != nil {
		return errors.Wrap(err, "Soak.putRegistration")
	}
	f.mu.Lock()
	f.lease, f.written = lease, w.ID()
	f.mu.Unlock()
	if draining {
		s.history.update(func() {
			recorded := func(d drainRecord) bool { return d.leaf == w.ID() }
			if !slices.ContainsFunc(s.history.drains, recorded) {
				s.history.drains = append(s.history.drains, drainRecord{w.ID(), time.Now()})
			}
		})
	}
	return nil
}

// drainAndReplace drains a leaf's instance, and replaces it by a new one of its service.
func (s *Soak) drainAndReplace(ctx context.Context, f *leaf) {
	instance, draining, _ := f.current()
	if instance == nil || draining {
		return
	}
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	sleep(ctx, drainingServeTime)
	f.replaceInstance(s.newInstance(f.zone, instance.Service()))
}

// sayLeaving lets a leaf's instance say in its replies that it leaves, as while it can't tell the store, and
// replaces it after that.
func (s *Soak) sayLeaving(ctx context.Context, f *leaf) {
	instance, draining, _ := f.current()
	if instance == nil || draining {
		return
	}
	instance.SetFaultMode(responder.SayLeaving)
	sleep(ctx, drainingServeTime)
	f.replaceInstance(s.newInstance(f.zone, instance.Service()))
}

// reuseAddress stops a leaf's instance without notice and has one of another service use the
// address for a while, as when the platform assigns a freed address again.
func (s *Soak) reuseAddress(ctx context.Context, f *leaf, otherService string, duration tier.Millis) {
	instance, _, _ := f.current()
	if instance == nil {
		return
	}
	f.replaceInstance(nil)
	sleep(ctx, registrationTTL)
	f.replaceInstance(s.newInstance(f.zone, otherService))
	sleep(ctx, duration)
	f.replaceInstance(s.newInstance(f.zone, instance.Service()))
}

// configuration returns a version of the configuration as JSON, and the services of each
// route. The sweep route searches the shards of the given index; one route is new in each
// version.
func configuration(number int64, index string) ([]byte, map[string][]string, error) {
	shards := make([]string, shardCount)
	for i := range shards {
		shards[i] = fmt.Sprintf("%s%d", index, i)
	}
	routes := map[string][]string{
		routeSweep: shards, routeLine: {"orders"}, routeSplit: {"orders", "ledger"}, routeBook: {"ledger"},
		routePinned: {"orders"}, markerRoute(number): {"orders"},
	}
	route := func(name, kind string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": callerTimeoutMs,
			"targetLatencyMs": 400, "priority": 1, "maxAttempts": maxAttempts,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	const idempotent, nonIdempotent = "idempotent", "non_idempotent"
	routeList := []map[string]any{
		route(routeSweep, idempotent, map[string]any{"shards": shards, "topK": topRecords, "minimumShardShare": minShardShare}),
		route(routeLine, idempotent, map[string]any{"service": "orders", "public": true}),
		route(routePinned, idempotent, map[string]any{"service": "orders", "allowedRegions": []string{pinnedRegion}}),
		route(routeSplit, idempotent, map[string]any{"trafficSplit": []map[string]any{
			{"service": "orders", "weight": 0.7}, {"service": "ledger", "weight": 0.3},
		}}),
		route(routeBook, nonIdempotent, map[string]any{"service": "ledger"}),
		route(markerRoute(number), idempotent, map[string]any{"service": "orders"}),
	}
	raw, err := json.Marshal(map[string]any{
		"version": number, "routes": routeList, "tenants": organisationList(number),
		"services": []map[string]any{{"name": coldService, "coldStartS": coldStart / tier.Second, "coldPerS": coldPerSecond}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	return raw, routes, errors.Wrap(err, "configuration")
}

// markerRoute is the name of the route that only the given version has.
func markerRoute(number int64) string { return fmt.Sprintf("v%d", number) }

// putConfiguration writes a new version of the configuration, and retries until the store
// has confirmed the write.
func (s *Soak) putConfiguration(ctx context.Context, index string) error {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	s.configurationNumber++
	raw, routes, err := configuration(s.configurationNumber, index)
	if err != nil {
		return err
	}
	s.newestConfiguration = raw
	v := version{number: s.configurationNumber, routes: routes, keys: keysOfVersion(s.configurationNumber), writtenAt: time.Now(), confirmedAt: never}
	// Recorded before the write, as VMs may apply the version before the write is confirmed.
	s.history.update(func() { s.history.versions = append(s.history.versions, v) })
	for ctx.Err() == nil {
		if _, err = s.store.Put(ctx, platform.ConfigurationKey, raw, 0); err == nil {
			s.history.update(func() { s.history.versions[len(s.history.versions)-1].confirmedAt = time.Now() })
			return nil
		}
		sleep(ctx, restartPause)
	}
	return nil
}

// never is the time of a confirmation that has not come; it is later than any run.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// vmsPrefix is the prefix of the keys under which VMs register.
const vmsPrefix = "cicadagrade/vms/"

// addressRewriter is the store as VMs see it. In each VM's registration it replaces the
// address by that of the link to the VM, so that other VMs reach it only over the link.
type addressRewriter struct {
	store http.Handler
	links map[string]string // addresses by VM name
}

// ServeHTTP passes a call to the store, with the addresses in transactions rewritten.
func (w addressRewriter) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-txn" {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		raw = w.rewrite(raw)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	}
	w.store.ServeHTTP(rw, r)
}

// rewrite replaces the addresses in a transaction's body. It leaves alone what it cannot
// parse.
func (w addressRewriter) rewrite(raw []byte) []byte {
	var call map[string]any
	if json.Unmarshal(raw, &call) != nil {
		return raw // the store reports the error
	}
	puts, _ := call["puts"].([]any)
	for _, p := range puts {
		item, _ := p.(map[string]any)
		key, _ := item["key"].(string)
		name, _ := strings.CutPrefix(key, vmsPrefix)
		linkAddress, ok := w.links[name]
		encoded, _ := item["value"].(string)
		var entry struct{ Data []byte }
		if !ok || json.Unmarshal([]byte(`{"Data":"`+encoded+`"}`), &entry) != nil {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(bytes.NewReader(entry.Data))
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue
		}
		fields["address"] = linkAddress
		value, err := json.Marshal(fields)
		if err != nil {
			continue
		}
		item["value"] = value // json.Marshal encodes it as base64
	}
	rewritten, err := json.Marshal(call)
	if err != nil {
		return raw
	}
	return rewritten
}

// serve runs an HTTP server on an address until ctx ends.
func (s *Soak) serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "Soak.serve")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog}
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

// serveLink runs a link until ctx ends.
func (s *Soak) serveLink(ctx context.Context, l *relay.Link) error {
	listen, _ := l.Addresses()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "Soak.serveLink")
	}
	s.group.Go(func() error { return l.ServeOn(ctx, ln) })
	return nil
}
