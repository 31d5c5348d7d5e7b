// Package faker provides an in-memory key-value store for tests, which can simulate the
// failures of the platform's service. It has no clock: a slow call waits until its
// context ends or slowness is turned off.
package faker

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// Call is a kind of store call.
type Call string

// The kinds of call.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "swap"
	CallDelete         Call = "delete"
	CallGrant          Call = "grant"
	CallKeepAlive      Call = "keep-alive"
	CallWatch          Call = "watch"
)

// Store implements storer.Store in memory. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	values      map[string]storer.Value
	revision    int64
	lease       storer.LeaseID
	ttl         map[storer.LeaseID]tier.Millis
	calls       map[Call]int
	changed     chan struct{}  // closed and replaced at each change
	history     []storer.Value // all changes; the change with revision n is at index n-1
	down        bool
	slow        chan struct{} // closed when slowness is turned off; nil while calls are fast
	lostReplies int           // number of writes whose reply will still be lost
}

// New returns an empty store without failures.
func New() *Store {
	return &Store{
		values:  map[string]storer.Value{},
		ttl:     map[storer.LeaseID]tier.Millis{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
}

// SetDown sets whether the store rejects all calls.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// SetSlow sets whether calls block. Blocked calls continue when it is turned off.
func (s *Store) SetSlow(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on && s.slow != nil {
		close(s.slow)
		s.slow = nil
	}
	if on && s.slow == nil {
		s.slow = make(chan struct{})
	}
}

// LoseReplies makes the next n writes take effect but lose their reply.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostReplies = n
}

// Calls is the number of calls of a kind.
func (s *Store) Calls(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// beginCall counts a call and waits while the store is slow. It returns with the lock
// held unless it returns an error.
func (s *Store) beginCall(ctx context.Context, c Call) error {
	s.mu.Lock()
	s.calls[c]++
	for s.slow != nil {
		slow := s.slow
		s.mu.Unlock()
		select {
		case <-slow:
		case <-ctx.Done():
			return errors.WithStack(storer.NewIndeterminateError(string(c), ctx.Err()))
		}
		s.mu.Lock()
	}
	if s.down {
		s.mu.Unlock()
		return errors.WithStack(storer.NewUnavailableError(string(c), errors.New("the store is down")))
	}
	return nil
}

// Get implements storer.Store.
func (s *Store) Get(ctx context.Context, key string) (storer.Value, error) {
	if err := s.beginCall(ctx, CallGet); err != nil {
		return storer.Value{}, err
	}
	defer s.mu.Unlock()
	return s.get(key), nil
}

func (s *Store) get(key string) storer.Value {
	v, ok := s.values[key]
	if !ok {
		return storer.NewValue(key, nil, 0)
	}
	return v
}

// List implements storer.Store.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]storer.Value, error) {
	if err := s.beginCall(ctx, CallList); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var out []storer.Value
	for k, v := range s.values {
		if strings.HasPrefix(k, prefix) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key() < out[j].Key() })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// CompareAndSwap implements storer.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, data []byte, expect int64, _ storer.LeaseID) (int64, error) {
	if err := s.beginCall(ctx, CallCompareAndSwap); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if now := s.get(key); now.Revision() != expect {
		return 0, errors.WithStack(storer.NewConflictError(now))
	}
	s.revision++
	s.values[key] = storer.NewValue(key, append([]byte(nil), data...), s.revision)
	s.notify(s.values[key])
	return s.revision, s.writeResult(CallCompareAndSwap)
}

// Delete implements storer.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	if err := s.beginCall(ctx, CallDelete); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if now := s.get(key); now.Revision() != expect {
		return errors.WithStack(storer.NewConflictError(now))
	}
	s.revision++
	delete(s.values, key)
	s.notify(storer.NewValue(key, nil, 0))
	return s.writeResult(CallDelete)
}

// writeResult returns the error of a write that took effect: none, unless its reply is to
// be lost.
func (s *Store) writeResult(c Call) error {
	if s.lostReplies == 0 {
		return nil
	}
	s.lostReplies--
	return errors.WithStack(storer.NewIndeterminateError(string(c), errors.New("the reply was lost")))
}

func (s *Store) notify(v storer.Value) {
	s.history = append(s.history, v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements storer.Store. The leases never expire.
func (s *Store) Grant(ctx context.Context, ttl tier.Millis) (storer.LeaseID, error) {
	if err := s.beginCall(ctx, CallGrant); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lease++
	s.ttl[s.lease] = ttl
	return s.lease, nil
}

// KeepAlive implements storer.Store.
func (s *Store) KeepAlive(ctx context.Context, id storer.LeaseID) (tier.Millis, error) {
	if err := s.beginCall(ctx, CallKeepAlive); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	return s.ttl[id], nil
}

// Watch implements storer.Store. It replays the complete history: as revisions count the
// changes, from is an index into it.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, changed func(storer.Value)) error {
	for {
		if err := s.beginCall(ctx, CallWatch); err != nil {
			return err
		}
		changes := append([]storer.Value(nil), s.history[min(from, int64(len(s.history))):]...)
		nextChange := s.changed
		s.mu.Unlock()
		from += int64(len(changes))
		for _, v := range changes {
			if strings.HasPrefix(v.Key(), prefix) {
				changed(v)
			}
		}
		select {
		case <-nextChange:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "Store.Watch")
		}
	}
}
