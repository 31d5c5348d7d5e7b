package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/throttler"
)

// limitUseInterval is the interval of the log lines on calls to leafs that limit their
// requests.
const limitUseInterval = tier.Second

// hearRateNotice records a notice and logs a change. The caller holds the lock.
func (e *Entry) hearRateNotice(now, sentAt tier.Millis, leaf lister.Leaf, n throttler.Notice) {
	change, changed := e.scheduler.Balancer().Heard(now, sentAt, leaf, n)
	if !changed {
		return
	}
	if perSecond, limited := change.PerSecond(); limited {
		e.log.RateLimitedInfo("leaf-limit", "leaf", leaf.ID(), "service", leaf.Service(), "per-second", perSecond)
		return
	}
	e.log.RateLimitedInfo("leaf-limit-ended", "leaf", leaf.ID(), "service", leaf.Service())
}

// RunLimitLog logs how many calls this VM sends to leafs that limit their requests, until
// ctx ends.
func (e *Entry) RunLimitLog(ctx context.Context) error {
	return every(ctx, limitUseInterval, func() {
		e.logColdChanges()
		e.mu.Lock()
		uses := e.scheduler.Balancer().TakeLimitUse()
		e.mu.Unlock()
		if calls := describeLimitUse(uses); calls != "" {
			e.log.RateLimitedInfo("leaf-limit-use", "calls", calls)
		}
	})
}

// maxLimitUses is how many leafs one line on calls to limited leafs names.
const maxLimitUses = 8

// describeLimitUse lists the limited leafs that got most calls, as LEAF:CALLS/LIMIT.
func describeLimitUse(uses []balancer.LimitUse) string {
	slices.SortFunc(uses, func(a, b balancer.LimitUse) int { return cmp.Compare(b.Calls(), a.Calls()) })
	var texts []string
	for _, u := range uses[:min(len(uses), maxLimitUses)] {
		if u.Calls() > 0 {
			texts = append(texts, fmt.Sprintf("%s:%d/%g", u.Leaf().ID(), u.Calls(), u.PerSecond()))
		}
	}
	return strings.Join(texts, " ")
}
