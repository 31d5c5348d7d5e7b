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
	// callerPatience is how long callers wait, in milliseconds.
	callerPatience = 3000
	// leaverShare is the part of callers' requests that are given up early.
	leaverShare = 0.05
	// readinessPoll is how often the balancer looks at each VM; as many misses in
	// a row as readinessMisses take one out, as on the platform.
	readinessPoll   = 500 * tier.Millisecond
	readinessMisses = 2
	// dialPatience is how long a caller waits for a connection.
	dialPatience = tier.Second
	// maxRequests is how many requests a connection is used for. Callers keep it
	// through a stop, until the VM closes it.
	maxRequests = 200
)

// balance keeps the list of VMs that answer their readiness check.
func (s *Soak) balance(ctx context.Context) error {
	misses := map[string]int{}
	client := &http.Client{Timeout: readinessPoll.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}
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
		s.ready.Store(&ready)
		sleep(ctx, readinessPoll)
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, v *vm) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.at(readinessPort)+"/readiness", nil)
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

// connection is a caller's to one VM.
type connection struct {
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

// call sends requests one after another until ctx ends.
func (s *Soak) call(ctx context.Context, number int) error {
	r := rand.New(rand.NewPCG(s.seed, uint64(number)))
	var c *connection
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c = s.dial(r); c == nil {
				sleep(ctx, readinessPoll/4)
				continue
			}
		}
		if !s.ask(ctx, r, c, fmt.Sprintf("%d-%d-%d", s.seed, number, n)) {
			_ = c.conn.Close()
			c = nil
		}
		sleep(ctx, tier.Millis(r.Int64N(int64(2*s.pause))))
	}
	if c != nil {
		_ = c.conn.Close()
	}
	return nil
}

func (s *Soak) dial(r *rand.Rand) *connection {
	ready := *s.ready.Load()
	if len(ready) == 0 {
		return nil
	}
	v := ready[r.IntN(len(ready))]
	conn, err := net.DialTimeout("tcp", v.at(callersPort), dialPatience.Duration())
	if err != nil {
		return nil
	}
	return &connection{vm: v, conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends one request and reports whether the connection may be used again.
func (s *Soak) ask(ctx context.Context, r *rand.Rand, c *connection, attempt string) bool {
	q := s.compose(r, attempt)
	q.vm = c.vm.name
	c.count++
	head := http.Header{}
	responder.SetCallerHeaders(head, attempt, callerPatience)
	q.sent = time.Now()
	s.ledger.sending(q)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.path, host)
	for k, v := range head {
		text += k + ": " + v[0] + "\r\n"
	}
	if q.method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	_, err := io.WriteString(c.conn, text+"\r\n")
	if err != nil {
		s.ledger.update(func() { q.ended = time.Now() })
		return false
	}
	s.ledger.update(func() { q.readByVM = c.count == 1 })
	if r.Float64() < leaverShare {
		sleep(ctx, tier.Millis(r.Int64N(int64(3*leafWork))))
		_ = c.conn.Close()
		s.ledger.update(func() { q.left, q.ended = time.Now(), time.Now() })
		return false
	}
	reply, body, err := c.read(ctx, q)
	s.ledger.update(func() {
		q.ended = time.Now()
		if err == nil {
			q.status, q.header, q.body = reply.StatusCode, reply.Header, body
		}
	})
	return err == nil && !reply.Close && c.count < maxRequests
}

// read takes the answer, whole.
func (c *connection) read(ctx context.Context, q *request) (*http.Response, []byte, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(q.limit.Duration())); err != nil {
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

// compose draws a request.
func (s *Soak) compose(r *rand.Rand, attempt string) *request {
	q := &request{attempt: attempt, method: http.MethodGet, limit: callerPatience, proper: true}
	switch k := r.IntN(20); {
	case k < 9:
		q.route = sweep
	case k < 12:
		q.route = line
	case k < 14:
		q.route = split
	case k < 18:
		q.route, q.method, q.once = book, http.MethodPost, true
	default:
		// A route that is new shows which version is in force.
		s.ledger.update(func() { q.route = marker(s.ledger.versions[len(s.ledger.versions)-1].number) })
		q.proper = false
	}
	q.path = "/" + q.route + "/" + strings.ReplaceAll(attempt, "-", "/")
	return q
}
