package storeserver

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

const (
	// maxPageItems is the most items in a page of a range.
	maxPageItems = 500
	// maxTransactionEntries is the most conditions, puts and deletes of a transaction together.
	maxTransactionEntries = 32
)

const (
	leaseNotFound = "there is no such lease"
	valueTooLarge = "the value is too large"
	tooManyItems  = "a transaction takes at most 32 entries"
)

func (s *Server) getKey(c echo.Context) error {
	if err := s.beginCall(c, "key", nil); err != nil {
		return err
	}
	key := c.QueryParam("key")
	s.store.mu.Lock()
	s.store.expireLeases()
	state := s.faults.readState(s.store.current)
	rec, ok := state.records[key]
	reply := itemReply{AtRevision: state.revision}
	if ok {
		reply.item = newItem(key, &rec)
	}
	s.store.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, reply)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) getRange(c echo.Context) error {
	if err := s.beginCall(c, "range", nil); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expireLeases()
	state := s.faults.readState(s.store.current)
	reply := rangeReply{Items: []item{}, AtRevision: state.revision}
	for _, key := range state.keysWithPrefix(c.QueryParam("pathPrefix")) {
		if key <= c.QueryParam("after") {
			continue
		}
		if len(reply.Items) == maxPageItems {
			reply.HasMore = true
			break
		}
		rec := state.records[key]
		reply.Items = append(reply.Items, newItem(key, &rec))
	}
	s.store.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) postTransaction(c echo.Context) error {
	var t transaction
	if err := s.beginCall(c, "txn", &t); err != nil {
		return err
	}
	if len(t.Expected)+len(t.Puts)+len(t.Deletes) > maxTransactionEntries {
		return c.JSON(http.StatusBadRequest, errorReply{Error: tooManyItems})
	}
	s.store.mu.Lock()
	s.store.expireLeases()
	status, reply := s.apply(&t)
	s.store.mu.Unlock()
	if status != http.StatusOK {
		return c.JSON(status, reply)
	}
	return s.replyToWrite(c, reply)
}

// apply makes all changes of a transaction, or none if a condition fails or a change is
// invalid. It returns the status and body of the reply. The caller holds the store's mu.
func (s *Server) apply(t *transaction) (int, any) {
	failed := false
	conflict := conflictReply{Items: []item{}}
	for _, e := range t.Expected {
		rec, ok := s.store.current.records[e.Key]
		failed = failed || rec.modified != e.Revision
		if ok {
			conflict.Items = append(conflict.Items, newItem(e.Key, &rec))
		}
	}
	if failed {
		return http.StatusPreconditionFailed, conflict
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxValueBytes {
			return http.StatusRequestEntityTooLarge, errorReply{Error: valueTooLarge}
		}
		if _, ok := s.store.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, errorReply{Error: leaseNotFound}
		}
	}
	for _, p := range t.Puts {
		s.store.putKey(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.store.deleteKey(key)
	}
	return http.StatusOK, transactionReply{Revision: s.store.current.revision}
}
