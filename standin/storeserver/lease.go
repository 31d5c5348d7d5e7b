package storeserver

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"cicadagrade.example/tier"
)

func (s *Server) grant(c echo.Context) error {
	var r leaseRequest
	if err := s.begin(c, "lease-grant", &r); err != nil {
		return err
	}
	if r.TTL < 1 {
		return s.fail(c, http.StatusBadRequest, codeInvalid, "TTL must be at least 1")
	}
	s.store.mu.Lock()
	s.store.expire()
	s.store.nextID++
	id := s.store.nextID
	if r.ID != 0 {
		id = int64(r.ID)
	}
	s.store.leases[id] = newLease(int64(r.TTL), s.store.clock.Now())
	reply := leaseReply{Header: s.header(s.store.now.revision), ID: number(id), TTL: r.TTL}
	s.store.mu.Unlock()
	return s.finish(c, reply)
}

func newLease(ttl int64, now tier.Millis) lease {
	return lease{ttl: ttl, expires: now + tier.Millis(ttl)*tier.Second}
}

func (s *Server) keepAlive(c echo.Context) error {
	var r leaseRequest
	if err := s.begin(c, "lease-keepalive", &r); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	l, ok := s.store.leases[int64(r.ID)]
	if ok {
		s.store.leases[int64(r.ID)] = newLease(l.ttl, s.store.clock.Now())
	}
	reply := leaseReply{Header: s.header(s.store.now.revision), ID: r.ID, TTL: number(l.ttl)}
	s.store.mu.Unlock()
	return s.finish(c, keepAliveReply{Result: reply})
}

func (s *Server) revoke(c echo.Context) error {
	var r leaseRequest
	if err := s.begin(c, "lease-revoke", &r); err != nil {
		return err
	}
	s.store.mu.Lock()
	s.store.expire()
	ok := s.store.revoke(int64(r.ID))
	reply := headerReply{Header: s.header(s.store.now.revision)}
	s.store.mu.Unlock()
	if !ok {
		return s.reject(c, leaseNotFound)
	}
	return s.finish(c, reply)
}
