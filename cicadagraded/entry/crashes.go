package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/searcher"
)

// endedLeafTimeout bounds the connection by which a VM finds out whether a leaf has ended or
// only a connection to it. It allows for a round trip between regions.
const endedLeafTimeout = 150 * tier.Millisecond

// newFingerprint returns a function that computes the fingerprint of a caller's request when
// it is first needed, which is rarely.
func newFingerprint(r *http.Request, uri string, body []byte) func() quarantiner.Fingerprint {
	return sync.OnceValue(func() quarantiner.Fingerprint {
		caller, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			caller = r.RemoteAddr
		}
		return quarantiner.NewFingerprint(caller, r.Method, strings.ToLower(r.Host), uri, body)
	})
}

// checkEndedLeafs finds out, in the background, which leafs have ended while they had a
// request that no leaf has answered.
func (e *Entry) checkEndedLeafs(q *request, outcome searcher.Outcome) {
	leafs := outcome.Ended()
	if ids := outcome.EndedElsewhere(); len(ids) > 0 {
		e.mu.Lock()
		for _, id := range ids {
			if leaf, ok := e.scheduler.Lister().Leaf(platform.LeafsPrefix + id); ok {
				leafs = append(leafs, leaf)
			}
		}
		e.mu.Unlock()
	}
	if len(leafs) == 0 {
		return
	}
	e.background.Go(func() { e.recordEndedLeafs(q, leafs) })
}

// recordEndedLeafs records those of the leafs of a request that no longer accept connections.
func (e *Entry) recordEndedLeafs(q *request, leafs []lister.Leaf) {
	ctx, cancel := context.WithTimeout(context.Background(), endedLeafTimeout.Duration())
	defer cancel()
	ended := make([]bool, len(leafs))
	var group sync.WaitGroup
	for i, leaf := range leafs {
		group.Go(func() { ended[i] = e.leafClient.Refuses(ctx, leaf.Address()) })
	}
	group.Wait()
	var ids []string
	for i, leaf := range leafs {
		if ended[i] {
			ids = append(ids, leaf.ID())
		}
	}
	e.log.RateLimitedInfo("leafs-ended-under-request", "request", q.attempt.ID(), "fingerprint", q.fingerprint(),
		"ended", strings.Join(ids, " "), "alive", len(leafs)-len(ids))
}
