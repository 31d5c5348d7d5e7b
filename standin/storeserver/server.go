package storeserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"cicadagrade.example/tier"
)

// Server is a stand-in for the platform's metadata store. It is an http.Handler.
type Server struct {
	store  *store
	faults *faultInjector
	router *echo.Echo
	era    atomic.Int64 // rises with each drill

	mu      sync.Mutex
	backups map[string]keyState
}

// New returns an empty store whose leases expire by clock.
func New(clock *tier.Clock) *Server {
	s := &Server{store: newStore(clock), faults: newFaultInjector(clock), backups: map[string]keyState{}}
	s.era.Store(1)
	s.router = echo.New()
	s.router.HideBanner = true
	s.router.Pre(s.nameEra)
	s.router.GET("/kv-key", s.getKey)
	s.router.GET("/kv-range", s.getRange)
	s.router.GET("/kv-watch", s.watch)
	s.router.POST("/kv-txn", s.postTransaction)
	s.router.POST("/kv-lease", s.grantLease)
	s.router.POST("/kv-keep/:id", s.keepLeaseAlive)
	s.router.DELETE("/kv-lease-end/:id", s.endLease)
	s.router.GET("/faults", s.getFaults)
	s.router.PUT("/faults", s.putFaults)
	s.router.POST("/faults/save", s.postSave)
	s.router.POST("/faults/restart", s.postRestart)
	s.router.GET("/calls", s.getCalls)
	s.router.DELETE("/calls", s.deleteCalls)
	return s
}

// ServeHTTP serves the store's calls, and /faults and /calls for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f, s.store.snapshot()) }

// CallCounts returns the counts of calls since the last reset.
func (s *Server) CallCounts() CallCounts { return s.faults.callCounts() }

// ResetCallCounts resets the counts of calls.
func (s *Server) ResetCallCounts() { s.faults.resetCalls() }

// Save stores a backup of all keys under a name.
func (s *Server) Save(name string) {
	keys := s.store.snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backups[name] = keys
}

// nameEra names the store's era in each reply.
func (s *Server) nameEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			c.Response().Header().Set("Store-Era", strconv.FormatInt(s.era.Load(), 10))
		})
		return next(c)
	}
}

// Restart simulates a restart of the store from the backup of that name, or without keys if
// the name is "". It ends all watches and leases.
func (s *Server) Restart(name string) error {
	s.mu.Lock()
	backup, ok := s.backups[name]
	s.mu.Unlock()
	if name != "" && !ok {
		return fmt.Errorf("no copy named %q", name)
	}
	if name == "" {
		backup = keyState{records: map[string]record{}, revision: 1}
	}
	s.store.restore(backup)
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.breakWatches()
	return nil
}

// Drill lets the store return from the backup of that name and tell so: a new era begins. The leases of
// the backup hold on.
func (s *Server) Drill(name string) error {
	s.era.Add(1)
	if err := s.Restart(name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.keepLeases(s.backups[name])
	return nil
}

func (s *Server) getFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) }

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	if err := decodeBody(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

type backupRequest struct {
	Copy string `json:"copy"`
}

func (s *Server) postSave(c echo.Context) error {
	var r backupRequest
	if err := decodeBody(c, &r); err != nil {
		return err
	}
	s.Save(r.Copy)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) postRestart(c echo.Context) error {
	var r backupRequest
	if err := decodeBody(c, &r); err != nil {
		return err
	}
	if err := s.Restart(r.Copy); err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getCalls(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.callCounts()) }

func (s *Server) deleteCalls(c echo.Context) error {
	s.faults.resetCalls()
	return c.NoContent(http.StatusNoContent)
}

// beginCall counts a call, applies the faults that come before its effect, and decodes its
// request.
func (s *Server) beginCall(c echo.Context, kind string, request any) error {
	s.faults.count(kind)
	if !s.faults.delay(c.Request().Context()) {
		panic(http.ErrAbortHandler) // closes the connection
	}
	if request == nil {
		return nil
	}
	return decodeBody(c, request)
}

// replyToWrite sends the reply to a write, unless a fault loses it.
func (s *Server) replyToWrite(c echo.Context, reply any) error {
	if s.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, reply)
}

// decodeBody decodes a JSON body whatever its content type. An empty one stands for {}.
func decodeBody(c echo.Context, request any) error {
	err := json.NewDecoder(c.Request().Body).Decode(request)
	if err != nil && !errors.Is(err, io.EOF) {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

func after(m tier.Millis) <-chan time.Time { return time.After(m.Duration()) }

// DropHistory drops the history of changes: watches from an earlier revision end with 410.
func (s *Server) DropHistory() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.history, s.store.historyStart = nil, s.store.current.revision
}
