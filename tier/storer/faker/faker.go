// Package faker is a key-value store in memory with the faults of the
// platform's service, for tests. It keeps no time: a slow call waits until
// its context ends or the slowness does.
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

// Call is a kind of call, for counting.
type Call string

// The kinds.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "swap"
	CallDelete         Call = "delete"
	CallGrant          Call = "grant"
	CallKeepAlive      Call = "keep-alive"
	CallWatch          Call = "watch"
)

// Store implements storer.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	values   map[string]storer.Value
	revision int64
	lease    storer.LeaseID
	ttl      map[storer.LeaseID]tier.Millis
	calls    map[Call]int
	changed  chan struct{} // closed at each change
	history  []storer.Value
	down     bool
	slow     chan struct{} // closed when the slowness ends; nil if fast
	lose     int           // how many answers of writes are still to be lost
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		values:  map[string]storer.Value{},
		ttl:     map[storer.LeaseID]tier.Millis{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
	}
}

// SetDown has the store take no calls, or take them again.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// SetSlow has calls wait until it is set off again.
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

// LoseReplies has the next n writes take effect and lose their answer.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Calls is how many calls of a kind came.
func (s *Store) Calls(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// enter counts a call and waits while the store is slow. It returns with the
// lock held unless there is an error.
func (s *Store) enter(ctx context.Context, c Call) error {
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
	if err := s.enter(ctx, CallGet); err != nil {
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
	if err := s.enter(ctx, CallList); err != nil {
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
	if err := s.enter(ctx, CallCompareAndSwap); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if now := s.get(key); now.Revision() != expect {
		return 0, errors.WithStack(storer.NewConflictError(now))
	}
	s.revision++
	s.values[key] = storer.NewValue(key, append([]byte(nil), data...), s.revision)
	s.tell(s.values[key])
	return s.revision, s.answer(CallCompareAndSwap)
}

// Delete implements storer.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	if err := s.enter(ctx, CallDelete); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if now := s.get(key); now.Revision() != expect {
		return errors.WithStack(storer.NewConflictError(now))
	}
	s.revision++
	delete(s.values, key)
	s.tell(storer.NewValue(key, nil, 0))
	return s.answer(CallDelete)
}

// answer loses the answer of a write that took effect, if one is to be lost.
func (s *Store) answer(c Call) error {
	if s.lose == 0 {
		return nil
	}
	s.lose--
	return errors.WithStack(storer.NewIndeterminateError(string(c), errors.New("the answer was lost")))
}

func (s *Store) tell(v storer.Value) {
	s.history = append(s.history, v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements storer.Store. Leases never lapse by themselves.
func (s *Store) Grant(ctx context.Context, ttl tier.Millis) (storer.LeaseID, error) {
	if err := s.enter(ctx, CallGrant); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lease++
	s.ttl[s.lease] = ttl
	return s.lease, nil
}

// KeepAlive implements storer.Store.
func (s *Store) KeepAlive(ctx context.Context, id storer.LeaseID) (tier.Millis, error) {
	if err := s.enter(ctx, CallKeepAlive); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	return s.ttl[id], nil
}

// Watch implements storer.Store. The history is kept whole; from counts its
// changes, which are the store's revisions.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, changed func(storer.Value)) error {
	for {
		if err := s.enter(ctx, CallWatch); err != nil {
			return err
		}
		fresh := append([]storer.Value(nil), s.history[min(from, int64(len(s.history))):]...)
		more := s.changed
		s.mu.Unlock()
		from += int64(len(fresh))
		for _, v := range fresh {
			if strings.HasPrefix(v.Key(), prefix) {
				changed(v)
			}
		}
		select {
		case <-more:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "Store.Watch")
		}
	}
}
