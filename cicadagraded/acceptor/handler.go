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
)

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
		if r.Body == nil || r.Body == http.NoBody {
			if c := connOf(r); c != nil && !a.serve(c) {
				panic(http.ErrAbortHandler) // the connection was evicted
			}
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
