package storeserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"cicadagrade.example/tier"
)

// Server is the stand-in store. It is an http.Handler.
type Server struct {
	store  *store
	faults *faulty
	router *echo.Echo

	mu     sync.Mutex
	copies map[string]state
}

// New returns an empty store whose leases lapse by clock.
func New(clock *tier.Clock) *Server {
	s := &Server{store: newStore(clock), faults: newFaulty(clock), copies: map[string]state{}}
	s.router = echo.New()
	s.router.HideBanner = true
	s.router.GET("/kv-key", s.key)
	s.router.GET("/kv-range", s.page)
	s.router.GET("/kv-watch", s.watch)
	s.router.POST("/kv-txn", s.transact)
	s.router.POST("/kv-lease", s.grant)
	s.router.POST("/kv-keep/:id", s.keep)
	s.router.DELETE("/kv-lease-end/:id", s.end)
	s.router.GET("/faults", s.showFaults)
	s.router.PUT("/faults", s.putFaults)
	s.router.POST("/faults/save", s.postSave)
	s.router.POST("/faults/restart", s.postRestart)
	s.router.GET("/calls", s.showCalls)
	s.router.DELETE("/calls", s.deleteCalls)
	return s
}

// ServeHTTP answers the store's calls, /faults and /calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f, s.store.save()) }

// CallCounts counts the calls so far.
func (s *Server) CallCounts() CallCounts { return s.faults.counted() }

// ResetCallCounts starts the count again.
func (s *Server) ResetCallCounts() { s.faults.resetCalls() }

// Save keeps a copy of all keys under a name.
func (s *Server) Save(name string) {
	now := s.store.save()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = now
}

// Restart ends every watch and lease and starts again from the copy of that
// name, or empty when the name is "".
func (s *Server) Restart(name string) error {
	s.mu.Lock()
	old, ok := s.copies[name]
	s.mu.Unlock()
	if name != "" && !ok {
		return fmt.Errorf("no copy named %q", name)
	}
	if name == "" {
		old = state{records: map[string]record{}, revision: 1}
	}
	s.store.restore(old)
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.breakWatches()
	return nil
}

func (s *Server) showFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) }

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	if err := bind(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

type copyRequest struct {
	Copy string `json:"copy"`
}

func (s *Server) postSave(c echo.Context) error {
	var r copyRequest
	if err := bind(c, &r); err != nil {
		return err
	}
	s.Save(r.Copy)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) postRestart(c echo.Context) error {
	var r copyRequest
	if err := bind(c, &r); err != nil {
		return err
	}
	if err := s.Restart(r.Copy); err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) showCalls(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.counted()) }

func (s *Server) deleteCalls(c echo.Context) error {
	s.faults.resetCalls()
	return c.NoContent(http.StatusNoContent)
}

// begin counts a call, reads its request and applies the faults that come
// before its effect.
func (s *Server) begin(c echo.Context, kind string, request any) error {
	s.faults.count(kind)
	if !s.faults.wait(c.Request().Context()) {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	if request == nil {
		return nil
	}
	return bind(c, request)
}

// finish answers a write, unless its answer is to be lost.
func (s *Server) finish(c echo.Context, reply any) error {
	if s.faults.loses() {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, reply)
}

// bind reads a JSON body whatever its content type; an empty one is {}.
func bind(c echo.Context, request any) error {
	err := json.NewDecoder(c.Request().Body).Decode(request)
	if err != nil && !errors.Is(err, io.EOF) {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

func after(m tier.Millis) <-chan time.Time { return time.After(m.Duration()) }

// DropHistory drops the history: watches from an earlier revision end with 410.
func (s *Server) DropHistory() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.history, s.store.floor = nil, s.store.now.revision
}
