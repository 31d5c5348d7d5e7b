package storeserver

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

const (
	leaseNotFound = "etcdserver: requested lease not found"
	valueTooLarge = "etcdserver: request is too large"
	oneKeyOnly    = "this store takes transactions over one key only"
)

func (s *Server) read(c echo.Context) error {
	var r rangeRequest
	if err := s.begin(c, "range", &r); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	reply := s.rangeOf(&r)
	s.store.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) rangeOf(r *rangeRequest) *rangeReply {
	view := s.faults.view(s.store.now)
	keys := view.find(r.Key, r.End)
	reply := &rangeReply{Header: s.header(view.revision), Count: number(len(keys))}
	for i, key := range keys {
		if r.Limit > 0 && i >= int(r.Limit) {
			reply.More = true
			break
		}
		held := view.records[key]
		reply.Values = append(reply.Values, newKeyValue(key, &held))
	}
	return reply
}

func (s *Server) put(c echo.Context) error {
	var r putRequest
	if err := s.begin(c, "put", &r); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	problem := s.checkPut(&r)
	if problem == "" {
		s.store.put(string(r.Key), r.Value, int64(r.Lease))
	}
	reply := headerReply{Header: s.header(s.store.now.revision)}
	s.store.mu.Unlock()
	if problem != "" {
		return s.reject(c, problem)
	}
	return s.finish(c, reply)
}

func (s *Server) checkPut(r *putRequest) string {
	if len(r.Value) > maxValue {
		return valueTooLarge
	}
	if _, ok := s.store.leases[int64(r.Lease)]; r.Lease != 0 && !ok {
		return leaseNotFound
	}
	return ""
}

func (s *Server) reject(c echo.Context, problem string) error {
	if problem == leaseNotFound {
		return s.fail(c, http.StatusNotFound, codeNotFound, problem)
	}
	return s.fail(c, http.StatusBadRequest, codeInvalid, problem)
}

func (s *Server) remove(c echo.Context) error {
	var r rangeRequest
	if err := s.begin(c, "deleterange", &r); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	reply := s.removeRange(&r)
	s.store.mu.Unlock()
	return s.finish(c, reply)
}

func (s *Server) removeRange(r *rangeRequest) *deleteReply {
	var n number
	for _, key := range s.store.now.find(r.Key, r.End) {
		s.store.remove(key)
		n++
	}
	return &deleteReply{Header: s.header(s.store.now.revision), Deleted: n}
}

func (s *Server) transact(c echo.Context) error {
	var t transaction
	if err := s.begin(c, "txn", &t); err != nil {
		return err
	}
	if !t.singleKey() {
		return s.reject(c, oneKeyOnly)
	}
	s.store.mu.Lock()
	s.store.expire()
	reply, problem := s.carryOut(&t)
	s.store.mu.Unlock()
	if problem != "" {
		return s.reject(c, problem)
	}
	return s.finish(c, reply)
}

// singleKey reports whether the transaction touches one key alone.
func (t *transaction) singleKey() bool {
	keys := map[string]bool{}
	for _, c := range t.Compare {
		keys[string(c.Key)] = true
	}
	for _, o := range append(append([]operation(nil), t.Success...), t.Failure...) {
		switch {
		case o.Put != nil:
			keys[string(o.Put.Key)] = true
		case o.Range != nil && len(o.Range.End) == 0:
			keys[string(o.Range.Key)] = true
		case o.Delete != nil && len(o.Delete.End) == 0:
			keys[string(o.Delete.Key)] = true
		default:
			return false
		}
	}
	return len(keys) <= 1
}

func (s *Server) carryOut(t *transaction) (*transactionReply, string) {
	reply := &transactionReply{Succeeded: true, Responses: []operationReply{}}
	for _, c := range t.Compare {
		ok, known := s.holds(&c)
		if !known {
			return nil, "only EQUAL on MOD, CREATE and VERSION is known here"
		}
		reply.Succeeded = reply.Succeeded && ok
	}
	operations := t.Failure
	if reply.Succeeded {
		operations = t.Success
	}
	for _, o := range operations {
		if o.Put == nil {
			continue
		}
		if problem := s.checkPut(o.Put); problem != "" {
			return nil, problem
		}
	}
	for _, o := range operations {
		reply.Responses = append(reply.Responses, s.operate(&o))
	}
	reply.Header = s.header(s.store.now.revision)
	return reply, ""
}

func (s *Server) holds(c *compare) (holds, known bool) {
	r := s.store.now.records[string(c.Key)]
	if c.Result != "" && c.Result != "EQUAL" {
		return false, false
	}
	switch c.Target {
	case "MOD":
		return r.modified == int64(c.Modified), true
	case "CREATE":
		return r.created == int64(c.Created), true
	case "VERSION", "":
		return r.version == int64(c.Version), true
	default:
		return false, false
	}
}

func (s *Server) operate(o *operation) operationReply {
	switch {
	case o.Put != nil:
		s.store.put(string(o.Put.Key), o.Put.Value, int64(o.Put.Lease))
		return operationReply{Put: &headerReply{Header: s.header(s.store.now.revision)}}
	case o.Delete != nil:
		return operationReply{Delete: s.removeRange(o.Delete)}
	default:
		return operationReply{Range: s.rangeNow(o.Range)}
	}
}

// rangeNow reads within a transaction, which is never stale.
func (s *Server) rangeNow(r *rangeRequest) *rangeReply {
	reply := &rangeReply{Header: s.header(s.store.now.revision)}
	if held, ok := s.store.now.records[string(r.Key)]; ok {
		reply.Values = append(reply.Values, newKeyValue(string(r.Key), &held))
		reply.Count = 1
	}
	return reply
}
