package storeserver

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"cicadagrade.example/tier"
)

// watchPeriod is how often a watch looks for lapsed leases and for the end
// of the stale fault.
const watchPeriod = 50 * tier.Millis(1)

func (s *Server) watch(c echo.Context) error {
	var r watchRequest
	if err := s.begin(c, "watch", &r); err != nil {
		return err
	}
	s.faults.watching(1)
	defer s.faults.watching(-1)
	broken, life := s.faults.brokenSignal(), s.store.lifeNumber()
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	start := int64(r.Create.Start)
	if start == 0 {
		start = s.store.save().revision + 1
	}
	if err := s.send(c, watchResult{Header: s.header(start - 1), Created: true}); err != nil {
		return nil
	}
	for {
		changes, next, changed, ok := s.changes(&r, start)
		if !ok {
			return s.send(c, watchResult{Canceled: true, Compact: number(next)})
		}
		if s.store.lifeNumber() != life {
			panic(http.ErrAbortHandler)
		}
		if err := s.sendChanges(c, changes, next-1); err != nil {
			return nil
		}
		start = next
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-after(watchPeriod):
		}
	}
}

// changes reads what is new, or nothing while the store is stale.
func (s *Server) changes(r *watchRequest, start int64) ([]change, int64, <-chan struct{}, bool) {
	if s.faults.get().Stale {
		return nil, start, nil, true
	}
	return s.store.since(r.Create.Key, r.Create.End, start)
}

func (s *Server) sendChanges(c echo.Context, changes []change, revision int64) error {
	if len(changes) == 0 {
		return nil
	}
	result := watchResult{Header: s.header(revision)}
	for _, ch := range changes {
		e := event{Type: "DELETE", Value: keyValue{Key: []byte(ch.key), Modified: number(ch.revision)}}
		if ch.record != nil {
			e = event{Value: newKeyValue(ch.key, ch.record)}
		}
		result.Events = append(result.Events, e)
	}
	return s.send(c, result)
}

func (s *Server) send(c echo.Context, result watchResult) error {
	if err := json.NewEncoder(c.Response()).Encode(watchReply{Result: result}); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}
