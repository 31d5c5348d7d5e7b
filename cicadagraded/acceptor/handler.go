package acceptor

import (
	"io"
	"net/http"
	"time"

	"cicadagrade.example/tier"
)

const (
	// maxDiscardedBytes bounds the rest of a refused request's body that is discarded so that its connection stays
	// open, and discardTimeout the wait for it.
	maxDiscardedBytes = 256 << 10
	discardTimeout    = tier.Second
	// answerTimeout bounds how long a caller may take to read an answer.
	answerTimeout = tier.Minute
)

// answerWriter notes when an answer begins.
type answerWriter struct {
	http.ResponseWriter
	conn    *conn
	started bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status and the header.
func (w *answerWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes to the body.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

// start lets the connection be evicted from now on, and bounds the time for the answer: the caller may not read it.
func (w *answerWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.conn.acceptor.answer(w.conn)
	_ = w.conn.SetWriteDeadline(time.Now().Add(answerTimeout.Duration())) // a closed connection fails the write
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	complete bool // its end has been read
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || err == io.EOF //nolint:errorlint // net/http returns it bare
	return n, err
}

// Handler returns a handler that passes requests on to next. A response to a request whose body has not been read
// goes out at once; net/http would wait for the body first, without end. The rest of the body is discarded after
// it, because the connection's next request follows. If it does not come, the connection is closed.
func (a *Acceptor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hasBody := r.Body != nil && r.Body != http.NoBody
		if c := connOf(r); c != nil {
			c.inHeader.Store(false)
			if !hasBody && !a.serve(c) {
				panic(http.ErrAbortHandler) // the connection was evicted
			}
			w = &answerWriter{ResponseWriter: w, conn: c}
		}
		if !hasBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body}
		r.Body = b
		control := http.NewResponseController(w)
		// A caller that waits for leave to send its body may do so or not, so that net/http closes the connection.
		discards := r.Header.Get("Expect") == "" && control.EnableFullDuplex() == nil
		if discards && r.ContentLength > maxDiscardedBytes {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		switch {
		case b.complete:
		case discards:
			discard(r, control)
		default:
			_ = control.SetReadDeadline(time.Now().Add(discardTimeout.Duration())) // not supported by test recorders
		}
	})
}

// discard sends the response and discards the rest of the request's body.
func discard(r *http.Request, control *http.ResponseController) {
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout.Duration())) != nil {
		panic(http.ErrAbortHandler)
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes+1)); err != nil || n > maxDiscardedBytes {
		panic(http.ErrAbortHandler) // closes the connection: what follows is no request
	}
}
