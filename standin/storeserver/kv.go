package storeserver

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

const (
	// pageItems is how many items one page of a range holds.
	pageItems = 500
	// maxEntries bounds a transaction.
	maxEntries = 32
)

const (
	leaseNotFound = "there is no such lease"
	valueTooLarge = "the value is too large"
	tooManyItems  = "a transaction takes at most 32 entries"
)

func (s *Server) key(c echo.Context) error {
	if err := s.begin(c, "key", nil); err != nil {
		return err
	}
	key := c.QueryParam("key")
	s.store.mu.Lock()
	s.store.expire()
	view := s.faults.view(s.store.now)
	held, ok := view.records[key]
	reply := itemReply{AtRevision: view.revision}
	if ok {
		reply.item = newItem(key, &held)
	}
	s.store.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, reply)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) page(c echo.Context) error {
	if err := s.begin(c, "range", nil); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	view := s.faults.view(s.store.now)
	reply := rangeReply{Items: []item{}, AtRevision: view.revision}
	for _, key := range view.find(c.QueryParam("pathPrefix")) {
		if key <= c.QueryParam("after") {
			continue
		}
		if len(reply.Items) == pageItems {
			reply.HasMore = true
			break
		}
		held := view.records[key]
		reply.Items = append(reply.Items, newItem(key, &held))
	}
	s.store.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) transact(c echo.Context) error {
	var t transaction
	if err := s.begin(c, "txn", &t); err != nil {
		return err
	}
	if len(t.Expected)+len(t.Puts)+len(t.Deletes) > maxEntries {
		return c.JSON(http.StatusBadRequest, errorReply{Error: tooManyItems})
	}
	s.store.mu.Lock()
	s.store.expire()
	status, reply := s.carryOut(&t)
	s.store.mu.Unlock()
	if status != http.StatusOK {
		return c.JSON(status, reply)
	}
	return s.finish(c, reply)
}

// carryOut makes all changes of a transaction, or none.
func (s *Server) carryOut(t *transaction) (int, any) {
	failed := false
	conflict := conflictReply{Items: []item{}}
	for _, e := range t.Expected {
		held, ok := s.store.now.records[e.Key]
		failed = failed || held.modified != e.Revision
		if ok {
			conflict.Items = append(conflict.Items, newItem(e.Key, &held))
		}
	}
	if failed {
		return http.StatusPreconditionFailed, conflict
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxValue {
			return http.StatusRequestEntityTooLarge, errorReply{Error: valueTooLarge}
		}
		if _, ok := s.store.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, errorReply{Error: leaseNotFound}
		}
	}
	for _, p := range t.Puts {
		s.store.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.store.remove(key)
	}
	return http.StatusOK, transactionReply{Revision: s.store.now.revision}
}
