package responder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// repeatedConnectionTTL bounds how long a leaf waits for the next request on a connection.
const repeatedConnectionTTL = 5 * time.Second

// repeatRefusal refuses a request, takes its connection over, and sends the refusal once more before the
// reply to the next request there, which it runs. Then it closes the connection.
func (l *SimulatedLeaf) repeatRefusal(w http.ResponseWriter, attemptID string) {
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(repeatedConnectionTTL))
	refusal := fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		headerAttempt, attemptID, headerNotExecuted)
	if _, err := connection.Write(refusal); err != nil {
		return
	}
	l.serveAfterRefusal(connection, buffered.Reader, refusal)
}

// serveAfterRefusal runs the next request on a connection, and replies to it after a text.
func (l *SimulatedLeaf) serveAfterRefusal(connection net.Conn, reader *bufio.Reader, text []byte) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := connection.Write(text); err != nil {
		return
	}
	reply := httptest.NewRecorder()
	l.serveAs(reply, request, Healthy)
	result := reply.Result()
	result.Close = true
	defer func() { _, _ = io.Copy(io.Discard, result.Body) }()
	_ = result.Write(connection) // the client may have gone
}
