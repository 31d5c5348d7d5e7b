package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/searcher"
)

const (
	// warnTimeout bounds a warning to another VM. Reports through the store follow.
	warnTimeout = 150 * tier.Millisecond
	// maxWarned bounds the VMs that are warned of a request.
	maxWarned = 32
	// maxWarnedFingerprints bounds the fingerprints of a warning.
	maxWarnedFingerprints = 4
)

// warnOthers tells this VM and others that a leaf may have ended under a request, before they hedge
// their calls for it, and before its caller tries again at another VM. Gateways pass it on in their
// regions: connections to them are open.
func (e *Entry) warnOthers(q *request) {
	warning := &gatherv1.WarnRequest{Attempt: q.attempt.ID()}
	for _, f := range q.fingerprints() {
		warning.Fingerprints = append(warning.Fingerprints, string(f))
	}
	e.mu.Lock()
	e.applyWarning(warning)
	neighbours, gateways := e.scheduler.Partitioner().Neighbours(), e.scheduler.Partitioner().Gateways()
	e.mu.Unlock()
	e.log.RateLimitedInfo("request-suspected", "request", q.attempt.ID(), "fingerprint", warning.GetFingerprints()[0])
	e.sendWarning(neighbours, warning, false)
	e.sendWarning(gateways, warning, true)
}

// sendWarning sends a warning to VMs.
func (e *Entry) sendWarning(to []partitioner.Member, w *gatherv1.WarnRequest, spread bool) {
	for _, m := range to[:min(len(to), maxWarned)] {
		message := &gatherv1.WarnRequest{Attempt: w.GetAttempt(), Fingerprints: w.GetFingerprints(), Spread: spread}
		e.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), warnTimeout.Duration())
			defer cancel()
			if _, err := e.peers.clientOf(m.VM().Address()).Warn(ctx, connect.NewRequest(message)); err != nil {
				e.log.RateLimitedInfo("vm-not-warned", "peer", m.VM().Name(), "error", err)
			}
		})
	}
}

// applyWarning makes this VM send a request with caution. The caller holds the lock.
func (e *Entry) applyWarning(w *gatherv1.WarnRequest) {
	for _, f := range w.GetFingerprints() {
		e.scheduler.Quarantiner().Warn(e.clock.Now(), quarantiner.Fingerprint(f))
	}
	e.scheduler.Active(func(s *searcher.Search) {
		if id := s.UserData().(*searchRun).attemptID; id != "" && id == w.GetAttempt() {
			s.Warned()
		}
	})
}

// Warn handles a warning of another VM.
func (p *peerService) Warn(_ context.Context, c *connect.Request[gatherv1.WarnRequest]) (*connect.Response[gatherv1.WarnReply], error) {
	e := p.entry
	if n := len(c.Msg.GetFingerprints()); n > maxWarnedFingerprints {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("peerService.Warn: %d fingerprints, at most %d", n, maxWarnedFingerprints))
	}
	e.mu.Lock()
	e.applyWarning(c.Msg)
	neighbours := e.scheduler.Partitioner().Neighbours()
	e.mu.Unlock()
	if c.Msg.GetSpread() {
		e.sendWarning(neighbours, c.Msg, false)
	}
	return connect.NewResponse(&gatherv1.WarnReply{}), nil
}
