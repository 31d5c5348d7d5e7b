// Package crowder plays callers that don't behave: many connections to one VM that send
// legal requests at once, most of them not to the end, and stay open.
package crowder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// Names and times of the requests.
const (
	// defaultTimeLeft is how long each caller says that it waits.
	defaultTimeLeft = tier.Minute
	// sendTimeout bounds how long a caller tries to send.
	sendTimeout = tier.Minute
	// unreadTimeout bounds how long a caller that reads no answer tries to send, and unreadWindowBytes is its
	// receive buffer.
	unreadTimeout     = 5 * tier.Second
	unreadWindowBytes = 4 << 10
	// sendBufferBytes is the size of the writes of a body that is sent in one piece.
	sendBufferBytes = 64 << 10
)

// Crowd is a number of callers of one VM, each with a connection and a request of its own.
type Crowd struct {
	address, host, path, method string
	prefix                      string // of the attempts' ids

	members     int
	bodyBytes   int
	chunkBytes  int // 0: the body has a length
	pieceBytes  int // 0: it is sent in one piece
	pause       tier.Millis
	shortBytes  int // that are missing at its end
	wholeEvery  int // the first of so many callers sends its request whole; 0: none does
	headerLines int
	headerShort bool
	silent      bool
	timeLeft    tier.Millis
	bodyStart   string
	returns     int // how often a caller that was cut off comes again
	unread      int // requests that a caller sends, of which it reads no answer; 0: one, and it reads

	group sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	statuses map[string]int // of responses, by path
	ended    int            // callers that have been answered or have lost their connection
	left     bool
}

// Option configures a Crowd.
type Option func(*Crowd)

// WithBody sets how many bytes each request's body has.
func WithBody(bytes int) Option { return func(c *Crowd) { c.bodyBytes = bytes } }

// InChunks sends bodies in chunks of so many bytes, without a length.
func InChunks(bytes int) Option { return func(c *Crowd) { c.chunkBytes = bytes } }

// InPieces sends bodies in pieces of so many bytes, with a pause after each.
func InPieces(bytes int, pause tier.Millis) Option {
	return func(c *Crowd) { c.pieceBytes, c.pause = bytes, pause }
}

// ShortBy leaves out the last bytes of each body. One in wholeEvery callers sends its body whole, or none if that is 0.
func ShortBy(bytes, wholeEvery int) Option {
	return func(c *Crowd) { c.shortBytes, c.wholeEvery = bytes, wholeEvery }
}

// WithHeaderLines adds short lines to each request's header. If unfinished is set, the empty line that ends
// the header is not sent.
func WithHeaderLines(lines int, unfinished bool) Option {
	return func(c *Crowd) { c.headerLines, c.headerShort = lines, unfinished }
}

// WithBodyStart sets how each body begins; the rest is one letter.
func WithBodyStart(text string) Option { return func(c *Crowd) { c.bodyStart = text } }

// Returning makes each caller that is cut off before it has sent its request come again, at most times times.
func Returning(times int) Option { return func(c *Crowd) { c.returns = times } }

// NotReading makes each caller send so many requests on its connection, and read no answer.
func NotReading(requests int) Option { return func(c *Crowd) { c.unread = requests } }

// Silent makes the callers open a connection only.
func Silent() Option { return func(c *Crowd) { c.silent = true } }

// WaitingFor sets how long each caller says that it waits; 0 selects a minute.
func WaitingFor(m tier.Millis) Option {
	return func(c *Crowd) {
		if m > 0 {
			c.timeLeft = m
		}
	}
}

// New returns a crowd that sends requests with a method to the paths below path. The name is part of the
// attempts' ids and paths.
func New(address, host, method, path, name string, members int, options ...Option) *Crowd {
	c := &Crowd{
		address: address, host: host, method: method, path: path, prefix: name, members: members,
		timeLeft: defaultTimeLeft, statuses: map[string]int{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Send opens all connections and sends what each caller sends. It returns once each has sent that or has lost
// its connection. The connections stay open until Leave.
func (c *Crowd) Send() {
	var sent sync.WaitGroup
	for i := range c.members {
		sent.Go(func() {
			for range c.returns + 1 {
				if c.send(i) {
					return
				}
			}
		})
	}
	sent.Wait()
}

// Leave closes the connections, and ends Send.
func (c *Crowd) Leave() {
	c.mu.Lock()
	c.left = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// Statuses returns the status of each response that has come, by the path of its request.
func (c *Crowd) Statuses() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]int, len(c.statuses))
	for path, status := range c.statuses {
		copied[path] = status
	}
	return copied
}

// send opens the connection of one caller and sends its request, as far as it goes. It returns false if the VM
// has closed the connection before, which it may.
func (c *Crowd) send(i int) bool {
	conn, err := net.DialTimeout("tcp", c.address, sendTimeout.Duration())
	if err != nil {
		c.end("", 0)
		return false
	}
	if !c.enter(conn, i) {
		_ = conn.Close()
		return true
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout.Duration()))
	if c.unread > 0 {
		return c.sendUnread(conn, i)
	}
	return c.silent || c.write(conn, c.pathOf(i), i) == nil
}

// pathOf is the path of the i-th caller's request.
func (c *Crowd) pathOf(i int) string { return fmt.Sprintf("%s%s-%d", c.path, c.prefix, i) }

// enter notes the connection of the i-th caller, and reads what comes on it unless the caller doesn't. It returns
// false once the crowd has left.
func (c *Crowd) enter(conn net.Conn, i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return false
	}
	c.conns = append(c.conns, conn)
	if c.unread == 0 {
		c.group.Go(func() { c.readResponse(conn, c.pathOf(i)) })
	}
	return true
}

// sendUnread sends requests until the VM takes no more of them, and reads no answer.
func (c *Crowd) sendUnread(conn net.Conn, i int) bool {
	_ = conn.(*net.TCPConn).SetReadBuffer(unreadWindowBytes)
	_ = conn.SetWriteDeadline(time.Now().Add(unreadTimeout.Duration()))
	for k := range c.unread {
		if c.write(conn, fmt.Sprintf("%s%s-%d-%d", c.path, c.prefix, i, k), i) != nil {
			break
		}
	}
	return true
}

// readResponse notes the status of the response, and reads on until the connection ends.
func (c *Crowd) readResponse(conn net.Conn, path string) {
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.end(path, 0)
		return
	}
	c.end(path, response.StatusCode)
	_, _ = io.Copy(io.Discard, response.Body)
	_, _ = io.Copy(io.Discard, reader)
}

// end notes that a caller got a response with a status, or lost its connection if that is 0.
func (c *Crowd) end(path string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	if status != 0 {
		c.statuses[path] = status
	}
}

// write sends the request of the i-th caller.
func (c *Crowd) write(conn net.Conn, path string, i int) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, path, c.host)
	h := http.Header{}
	responder.SetCallerHeaders(h, fmt.Sprintf("%s-%d", c.prefix, i), int(c.timeLeft))
	if err := h.Write(&head); err != nil {
		return errors.Wrap(err, "Crowd.write")
	}
	for k := range c.headerLines {
		fmt.Fprintf(&head, "%x:\r\n", k)
	}
	switch {
	case c.headerShort:
		_, err := conn.Write(head.Bytes())
		return errors.Wrap(err, "Crowd.write")
	case c.chunkBytes > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", c.bodyBytes)
	}
	body := c.encodedBody()
	if c.wholeEvery == 0 || i%c.wholeEvery != 0 {
		body = body[:len(body)-c.shortBytes]
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return errors.Wrap(err, "Crowd.write")
	}
	piece := c.pieceBytes
	if piece == 0 {
		piece = sendBufferBytes
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return errors.Wrap(err, "Crowd.write")
		}
		body = body[n:]
		time.Sleep(c.pause.Duration())
	}
	return nil
}

// encodedBody returns the body as it is sent, with its chunks.
func (c *Crowd) encodedBody() []byte {
	body := append([]byte(c.bodyStart), bytes.Repeat([]byte{'x'}, c.bodyBytes-len(c.bodyStart))...)
	if c.chunkBytes == 0 {
		return body
	}
	var b bytes.Buffer
	for chunk := range slices.Chunk(body, c.chunkBytes) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}
