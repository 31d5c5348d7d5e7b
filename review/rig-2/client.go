package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Route is a route of the configuration. It goes to one server of a service.
type Route struct {
	Name, Prefix, Service string
	Limit                 time.Duration // how long clients wait, and the route's timeout
	Target                time.Duration // its target latency
	Weight                int           // how often clients use it
	Contents              int           // how many different paths they ask for
	Once                  bool          // requests may run once at most
}

// Client sends one request after another, and keeps its connection.
type Client struct {
	world  *World
	number int
	sent   int
	conn   net.Conn
	reader *bufio.Reader
	on     *Machine
}

const host = "pupu76.example"

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// run sends requests until stop is set, with pauses of up to twice the mean one.
func (c *Client) run(stop *atomic.Bool, pause time.Duration) {
	for !stop.Load() {
		if c.conn == nil && !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		wait, keep := c.send()
		if !keep {
			c.drop()
		}
		time.Sleep(wait + time.Duration(rand.Int64N(int64(2*pause)+1)))
	}
	c.drop()
}

func (c *Client) connect() bool {
	m := c.world.pick()
	if m == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", m.at(frontPort), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.on = conn, bufio.NewReader(conn), m
	return true
}

// send sends a request. It returns how long the client waits if it is refused, which is as long as it is told,
// up to a third of its time, and whether the connection may be used again.
func (c *Client) send() (wait time.Duration, keep bool) {
	route := c.world.route()
	c.sent++
	q := &Request{
		Attempt: fmt.Sprintf("a%d-%d", c.number, c.sent), Route: route.Name, Method: http.MethodGet,
		Once: route.Once, URI: route.Prefix + fmt.Sprintf("%x", rand.IntN(route.Contents)), Body: hashOf(nil), Machine: c.on.Name, Sent: time.Now(),
	}
	length := ""
	if route.Once {
		q.Method, length = http.MethodPost, "Content-Length: 0\r\n"
	}
	c.world.history.addRequest(q)
	_ = c.conn.SetDeadline(q.Sent.Add(route.Limit))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\n%s\r\n", q.Method, q.URI, host, q.Attempt, route.Limit.Milliseconds(), length)
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	}
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(r.Body)
	}
	c.world.history.update(func() {
		q.Ended = time.Now()
		if err != nil {
			q.Err = err.Error()
			return
		}
		q.Status, q.Header, q.Answer = r.StatusCode, r.Header, answer
	})
	if err != nil {
		return 0, false
	}
	if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		return min(time.Duration(after*float64(time.Second)), route.Limit/3), false
	}
	return 0, !r.Close
}
