package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

const (
	host = "search.example"
	// callerTimeoutMs is how long callers wait for a reply, in milliseconds.
	callerTimeoutMs = 3000
	// abandonShare is the fraction of requests whose caller closes the connection early.
	abandonShare = 0.05
	// readinessInterval is how often each VM's readiness is checked. As on the platform's
	// load balancer, readinessMisses failures in a row take a VM out.
	readinessInterval = 500 * tier.Millisecond
	readinessMisses   = 2
	// dialTimeout is how long a caller waits for a connection.
	dialTimeout = tier.Second
	// maxRequestsPerConnection is how many requests a caller sends on a connection. Callers
	// go on using connections to a VM that is stopping, until the VM closes them.
	maxRequestsPerConnection = 200
)

// pollReadiness keeps the list of ready VMs up to date, as the platform's load balancer
// does.
func (s *Soak) pollReadiness(ctx context.Context) error {
	misses := map[string]int{}
	client := &http.Client{Timeout: readinessInterval.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var ready []*vm
		for _, v := range s.vms {
			misses[v.name]++
			if isReady(ctx, client, v) {
				misses[v.name] = 0
			}
			if misses[v.name] < readinessMisses {
				ready = append(ready, v)
			}
		}
		s.readyVMs.Store(&ready)
		sleep(ctx, readinessInterval)
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, v *vm) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.endpoint(readinessPort)+"/readiness", nil)
	if err != nil {
		return false
	}
	reply, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// connection is a caller's connection to one VM.
type connection struct {
	vm       *vm
	conn     net.Conn
	reader   *bufio.Reader
	requests int
}

// runCaller sends requests one after another until ctx ends.
func (s *Soak) runCaller(ctx context.Context, caller int) error {
	r := rand.New(rand.NewPCG(s.seed, uint64(caller)))
	var c *connection
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c = s.dial(r); c == nil {
				sleep(ctx, readinessInterval/4)
				continue
			}
		}
		if !s.sendRequest(ctx, r, c, caller, fmt.Sprintf("%d-%d-%d", s.seed, caller, n)) {
			_ = c.conn.Close()
			c = nil
		}
		sleep(ctx, tier.Millis(r.Int64N(int64(2*s.meanPause))))
	}
	if c != nil {
		_ = c.conn.Close()
	}
	return nil
}

// dial connects to a ready VM drawn at random, or returns nil.
func (s *Soak) dial(r *rand.Rand) *connection {
	ready := *s.readyVMs.Load()
	if len(ready) == 0 {
		return nil
	}
	v := ready[r.IntN(len(ready))]
	conn, err := net.DialTimeout("tcp", v.endpoint(callerPort), dialTimeout.Duration())
	if err != nil {
		return nil
	}
	return &connection{vm: v, conn: conn, reader: bufio.NewReader(conn)}
}

// sendRequest sends one request and reports whether the connection may be used again.
func (s *Soak) sendRequest(ctx context.Context, r *rand.Rand, c *connection, caller int, attempt string) bool {
	q := s.drawRequest(r, caller, attempt)
	q.vm = c.vm.name
	c.requests++
	headers := http.Header{}
	responder.SetCallerHeaders(headers, attempt, callerTimeoutMs)
	if q.key != "" {
		responder.SetKey(headers, q.key)
	}
	if r.Float64() < forgedOrganisationShare {
		responder.SetOrganisation(headers, "forged")
	}
	q.sentAt = time.Now()
	s.history.addRequest(q)
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.path, host)
	for k, v := range headers {
		message += k + ": " + v[0] + "\r\n"
	}
	if q.method == http.MethodPost {
		message += "Content-Length: 0\r\n"
	}
	_, err := io.WriteString(c.conn, message+"\r\n")
	if err != nil {
		s.history.update(func() { q.endedAt = time.Now() })
		return false
	}
	s.history.update(func() { q.firstOnConnection = c.requests == 1 })
	if r.Float64() < abandonShare {
		sleep(ctx, tier.Millis(r.Int64N(int64(3*leafServiceTime))))
		_ = c.conn.Close()
		s.history.update(func() { q.leftAt, q.endedAt = time.Now(), time.Now() })
		return false
	}
	reply, body, err := c.read(ctx, q)
	s.history.update(func() {
		q.endedAt = time.Now()
		if err == nil {
			q.status, q.header, q.body = reply.StatusCode, reply.Header, body
		}
	})
	return err == nil && !reply.Close && c.requests < maxRequestsPerConnection
}

// read reads a complete reply.
func (c *connection) read(ctx context.Context, q *request) (*http.Response, []byte, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(q.timeout.Duration())); err != nil {
		return nil, nil, errors.Wrap(err, "connection.read")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	reply, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return nil, nil, errors.Wrap(err, "connection.read")
	}
	body, err := io.ReadAll(reply.Body)
	return reply, body, errors.Wrap(err, "connection.read")
}

// drawRequest draws the route of a request.
func (s *Soak) drawRequest(r *rand.Rand, caller int, attempt string) *request {
	q := &request{attempt: attempt, method: http.MethodGet, timeout: callerTimeoutMs, alwaysRouted: true}
	switch k := r.IntN(20); {
	case k < 8:
		q.route = routeSweep
	case k < 9:
		q.route = routePinned
	case k < 12:
		q.route = routeLine
	case k < 14:
		q.route = routeSplit
	case k < 18:
		q.route, q.method, q.atMostOnce = routeBook, http.MethodPost, true
	default:
		// Whether the newest version's own route exists, and that of the version before doesn't, shows
		// if the VM uses that version.
		s.history.update(func() { q.route = markerRoute(s.history.versions[len(s.history.versions)-1].number - int64(k-18)) })
		q.alwaysRouted = false
	}
	s.drawKey(r, caller, q)
	q.path = "/" + q.route + "/" + strings.ReplaceAll(attempt, "-", "/")
	return q
}
