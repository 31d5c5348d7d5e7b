package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store. It follows the store section of the
// platform's protocol page.
type Store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]*item
	history  []event
	leases   map[int64]*lease
	nextID   int64
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{items: map[string]*item{}, leases: map[int64]*lease{}, revision: 100, nextID: 1000}
	s.changed = sync.NewCond(&s.mu)
	go s.expire()
	return s
}

func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Removed: true})
	s.changed.Broadcast()
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key as the operator or a server does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, id int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.items[key] = i
	s.history = append(s.history, event{Key: key, Value: value, Revision: i.Revision, Created: created, Lease: id})
	s.changed.Broadcast()
}

// Door is the address at which one machine reaches the store.
type Door struct {
	store *Store
}

// Serve serves a machine's calls at an address.
func (d *Door) Serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, d) }()
	return nil
}

func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.store
	w.Header().Set("Store-Era", "1")
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"atRevision": at})
			return
		}
		c := *i
		reply(w, http.StatusOK, map[string]any{"key": c.Key, "value": c.Value, "revision": c.Revision, "created": c.Created, "lease": c.Lease, "atRevision": at})
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, q.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTL})
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		s.endLease(id)
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// storeLatency is what a call takes.
const storeLatency = 4 * time.Millisecond

const pageItems = 400

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	at := s.revision
	var list []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, *i)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	if list == nil {
		list = []item{}
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": more, "atRevision": at})
}

func (s *Store) watch(w http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	s.mu.Lock()
	if after > s.revision {
		s.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []event{}
	for {
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) {
			break
		}
		s.changed.Wait()
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"events": events, "atRevision": at})
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	raw, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(raw, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current := []item{}
	match := true
	for _, c := range in.Expected {
		revision := int64(0)
		if i, ok := s.items[c.Key]; ok {
			revision = i.Revision
			current = append(current, *i)
		}
		match = match && revision == c.Revision
	}
	if !match {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
