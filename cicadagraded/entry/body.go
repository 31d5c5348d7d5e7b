package entry

import (
	"net/http"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/acceptor"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
)

// defaultBodyBytes bounds a request's body if the configuration sets no limit.
const defaultBodyBytes = 1 << 20

// callerLimits are the limits on what callers hold at a VM with these settings.
func callerLimits(s *platform.Settings) acceptor.Limits {
	descriptors := s.FileDescriptors()
	if descriptors <= 0 {
		descriptors = acceptor.DescriptorLimit()
	}
	return acceptor.LimitsFor(int64(s.MemoryMB())<<20, descriptors)
}

// newAcceptor returns the acceptor of callers' connections.
func (e *Entry) newAcceptor(limits acceptor.Limits) *acceptor.Acceptor {
	return acceptor.New(e.clock, limits, acceptor.WithEvictionHandler(func(v acceptor.Eviction) {
		e.log.RateLimitedInfo("caller-evicted", "caller", v.Address(), "bytes", v.Bytes())
	}))
}

// bodyTimeout is how long a request's body may take: until its caller gives up, its route's timeout has passed, or
// this VM gives its last answers. The request can't be served after that.
func (e *Entry) bodyTimeout(q *request) tier.Millis {
	return e.limitToStop(q.start+q.longestTime()) - e.clock.Now()
}

// readBody reads a request's body. If that fails, it responds and returns false.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, bool) {
	maxBytes := int64(q.table.Limits().MaxBodyBytes())
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	body, err := acceptor.ReadBody(w, r, maxBytes, e.bodyTimeout(q))
	if err == nil {
		return body, true
	}
	w.Header().Set("Connection", "close")
	var tooLarge *acceptor.TooLargeError
	var noRoom *acceptor.NoRoomError
	var late *acceptor.TimeoutError
	switch {
	case errors.As(err, &tooLarge):
		e.refuseRequest(w, q, http.StatusRequestEntityTooLarge, "bad-body", 0)
	case errors.As(err, &noRoom):
		e.refuseRequest(w, q, http.StatusServiceUnavailable, "no-memory-for-body", overloadRetryAfter)
	case errors.As(err, &late):
		e.refuseRequest(w, q, http.StatusRequestTimeout, "late-body", 0, "waited-ms", int64(late.After()))
	default:
		e.refuseRequest(w, q, http.StatusBadRequest, "bad-body", 0)
	}
	return nil, false
}
