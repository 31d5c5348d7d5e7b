package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyFor is how long the store keeps its history (historyS of the settings).
const historyFor = 20 * time.Second

// item is a key of the store as PROTOCOL.md describes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type event struct {
	item    item
	removed bool
	at      time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// storeCopy is what the store returns from after a drill: its state at a moment.
type storeCopy struct {
	items    map[string]item
	leases   map[int64]lease
	revision int64
}

// Store is a stand-in of the platform's metadata store. It keeps everything in memory.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	revision int64
	history  []event
	start    int64 // the history has the changes after this revision
	leases   map[int64]lease
	nextID   int64
	era      int
	down     bool
	changed  chan struct{}
	// rewrite replaces the values that VMs write, or is nil.
	rewrite func(key string, value []byte) []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, revision: 1, start: 1, leases: map[int64]lease{}, nextID: time.Now().UnixNano() & 0xffffffff, era: 1, changed: make(chan struct{})}
}

// Listen serves the store at an address.
func (s *Store) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	background.Go(func() { _ = http.Serve(l, s) })
	return nil
}

// SetDown makes the store close the connection of every call, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision}
}

// ReturnFrom replaces the store's state by a copy: what was written since is gone, leases too, the
// revisions go back, and the era rises by one. The leases of the copy run anew.
func (s *Store) ReturnFrom(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.leases, s.revision = maps.Clone(c.items), maps.Clone(c.leases), c.revision
	for id, l := range s.leases {
		s.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	s.history, s.start = nil, c.revision
	s.era++
	s.down = false
	s.wake()
}

// Put writes a key for the operator or a leaf, and returns the revision.
func (s *Store) Put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
	return s.revision
}

// Revision is the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, event{item: i, at: time.Now()})
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, removed: true, at: time.Now()})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tick ends leases that have run out and drops old history.
func (s *Store) tick() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > historyFor {
		s.start = s.history[n].item.Revision
		n++
	}
	s.history = s.history[n:]
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP serves the calls of PROTOCOL.md.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.getKey(w, q.Get("key"))
	case path == "/kv-range":
		s.getRange(w, q.Get("pathPrefix"), q.Get("after"))
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.transact(w, r)
	case path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) getKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.tick()
	i, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"atRevision": at})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "atRevision": at,
	})
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *Store) getRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.tick()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more, size := []item{}, false, 0
	for _, key := range keys {
		if len(items) == pageItems || len(items) > 0 && size+len(s.items[key].Value) > pageBytes {
			more = true
			break
		}
		items, size = append(items, s.items[key]), size+len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRevision": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.tick()
		if s.down || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.start || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, e := range s.history {
			switch {
			case e.item.Revision <= after || !strings.HasPrefix(e.item.Key, q.Get("pathPrefix")):
			case e.removed:
				events = append(events, map[string]any{"key": e.item.Key, "revision": e.item.Revision, "removed": true})
			default:
				events = append(events, e.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRevision": at})
			return
		}
		select {
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "atRevision": at})
			return
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Deletes) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	failed, current := false, []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if s.rewrite != nil {
			p.Value = s.rewrite(p.Key, p.Value)
		}
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(b.TTL)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.tick()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"error": fmt.Sprintf("no lease %d", id)})
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	s.endLease(id)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}
