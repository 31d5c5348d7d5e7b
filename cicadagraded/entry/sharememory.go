package entry

import (
	"io"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

const (
	// shareMemoryFraction is the part of the VM's memory that the requests of other VMs' shares may hold.
	shareMemoryFraction = 8
	// uncountedShareBytes is the part of each share's request that does not count towards it.
	uncountedShareBytes = 4 << 10
	// shareCopies is how often a share's request is held: as it has come, and decoded.
	shareCopies = 2
)

// shareMemory bounds the memory of the requests of other VMs' shares, which have callers' bodies in them.
type shareMemory struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Int64 // shares for which there was no memory
}

// handler returns a handler that passes calls on to next, and reserves memory for what it reads.
func (m *shareMemory) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &shareBody{ReadCloser: r.Body, memory: m}
		defer func() { m.held.Add(-b.held) }()
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// shareBody reads a share's request.
type shareBody struct {
	io.ReadCloser
	memory *shareMemory
	read   int64
	held   int64
}

// Read reads from the request. If there is no memory for it, the call fails with connect.CodeResourceExhausted, upon
// which the other VM asks another one or the leafs. Builds before this one take it for a failure of this VM.
func (b *shareBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	before := max(b.read, uncountedShareBytes)
	b.read += int64(n)
	if more := (b.read - before) * shareCopies; more > 0 {
		b.held += more
		if b.memory.held.Add(more) > b.memory.limit {
			b.memory.refused.Add(1)
			return 0, connect.NewError(connect.CodeResourceExhausted, errors.New("no memory for the share's request"))
		}
	}
	return n, err
}
