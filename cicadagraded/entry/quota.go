package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/accountant"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/picker"
	"cicadagrade.example/tier/searcher"
)

const (
	causeQuotaExceeded = "quota-exceeded"
	// accountantHash is the key of the hash by which VMs are picked, with an organisation's name.
	accountantHash = "accountant"
	// accountantPause is how long a VM that did not answer a report, or declined it, gets none.
	// Further failures double it, up to maxAccountantPause.
	accountantPause    = 800 * tier.Millisecond
	maxAccountantPause = 6400 * tier.Millisecond
	// candidatesTTL is how long the list of the VMs that may keep accounts is used.
	candidatesTTL = 50 * tier.Millisecond
	// pauseTick is the interval at which a VM checks that it is running, and pauseLimit the gap
	// after which others may have kept its accounts meanwhile.
	pauseTick  = 250 * tier.Millisecond
	pauseLimit = tier.Second
	// maxHeardLevels bounds the levels that are taken from one message of another VM.
	maxHeardLevels = 1024
)

// quotas is what a VM knows of the organisations' quotas. The lock of the Entry guards it.
type quotas struct {
	reporter   *accountant.Reporter
	ledger     *accountant.Ledger
	news       *accountant.News
	suspects   map[string]accountantSuspicion
	candidates []partitioner.Member // VMs that may keep accounts
	listedAt   tier.Millis          // when they were listed, or 0
	names      string               // of these VMs
	since      tier.Millis          // when they last changed, as far as this VM knows
	ranAt      tier.Millis          // when this was last looked up
	wake       chan struct{}        // gets a value when a report may be due
	refused    int64                // requests refused over quota
	reports    int64                // messages sent
}

// accountantSuspicion is of a VM that gets no reports until a time.
type accountantSuspicion struct{ until, pause tier.Millis }

func newQuotas(self tier.VM, bound accountant.Bound) *quotas {
	return &quotas{
		reporter: accountant.NewReporter(self.Name(), uint64(self.Incarnation()), 0, bound), ledger: accountant.NewLedger(self.Name(), bound),
		news: accountant.NewNews(), suspects: map[string]accountantSuspicion{}, wake: make(chan struct{}, 1),
	}
}

// quotaBound is the bound of the settings.
func quotaBound(s *platform.Settings) accountant.Bound { return accountant.NewBound(s.QuotaBound()) }

// quotaOf returns the quota of an organisation of the configuration in force.
func (e *Entry) quotaOf(organisation string) (accountant.Quota, bool) {
	_, keys := e.table.LoadBoth()
	if keys == nil {
		return accountant.Quota{}, false
	}
	o, ok := keys.Named(organisation)
	if !ok {
		return accountant.Quota{}, false
	}
	return accountant.NewQuota(o.PerSecond(), o.Burst()), true
}

// admit decides whether a request is within the quota of its organisation. If not, it responds
// and returns false.
func (e *Entry) admit(w http.ResponseWriter, q *request) bool {
	if q.organisation == nil {
		return true
	}
	quota := accountant.NewQuota(q.organisation.PerSecond(), q.organisation.Burst())
	if !quota.Limited() {
		return true
	}
	e.mu.Lock()
	decision := e.quotas.reporter.Admit(e.clock.Now(), q.organisation.Name(), quota, rand.Float64())
	if !decision.Admitted() {
		e.quotas.refused++
	}
	e.mu.Unlock()
	e.wakeReports()
	if decision.Admitted() {
		q.counted = true
		return true
	}
	e.refuseRequest(w, q, http.StatusTooManyRequests, causeQuotaExceeded, decision.RetryAfter(), "route", q.route.Name(),
		"room", math.Round(decision.Room()), "per-second", quota.PerSecond(), "demand-per-second", math.Round(decision.Demand()),
		"level-age-ms", int64(decision.Age()), "retry-after-ms", int64(decision.RetryAfter()))
	return false
}

// returnQuota gives back the room of a request that has not reached any leaf.
func (e *Entry) returnQuota(q *request) {
	if !q.counted || q.reachedLeaf {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quotas.reporter.Return(q.organisation.Name())
}

// noteReached records whether leafs may have got a request. One that a leaf has declined
// without running it has reached that leaf.
func (q *request) noteReached(outcome searcher.Outcome) {
	q.reachedLeaf = outcome.MayHaveRun() || outcome.CallsSent() > 0
}

func (e *Entry) wakeReports() {
	select {
	case e.quotas.wake <- struct{}{}:
	default:
	}
}

// candidates lists the VMs that may keep accounts and that this VM doesn't suspect: the large
// ones. There are none if this VM knows of no other one and no other one knows of it: each VM
// would admit the whole rate. The caller holds the lock.
func (e *Entry) candidates(now tier.Millis) []partitioner.Member {
	q := e.quotas
	if now-q.ranAt >= pauseLimit {
		q.since = now
	}
	q.ranAt = now
	if q.listedAt > 0 && now-q.listedAt < candidatesTTL {
		return q.candidates
	}
	q.candidates = slices.DeleteFunc(e.scheduler.Partitioner().Relays(), func(m partitioner.Member) bool {
		return now < q.suspects[m.VM().Name()].until
	})
	if e.scheduler.Partitioner().MemberCount() == 1 && !e.registered.Load() && e.fleetSize() > 1 {
		q.candidates = nil
	}
	q.listedAt = max(now, 1)
	names := make([]string, len(q.candidates))
	for i, m := range q.candidates {
		names[i] = m.VM().Name()
	}
	if joined := strings.Join(names, " "); joined != q.names {
		q.names, q.since = joined, now
	}
	return q.candidates
}

// suspect makes a VM get no reports for a while. The caller holds the lock.
func (q *quotas) suspect(now tier.Millis, name string) {
	pause := min(max(accountantPause, 2*q.suspects[name].pause), maxAccountantPause)
	q.suspects[name] = accountantSuspicion{until: now + pause, pause: pause}
	q.listedAt = 0
}

// accountantOf returns a function that finds the VM that keeps the account of an organisation,
// among some.
func accountantOf(candidates []partitioner.Member) func(organisation string) (string, bool) {
	return func(organisation string) (string, bool) {
		best, most := "", uint64(0)
		for _, m := range candidates {
			if score := picker.Score(accountantHash, organisation, m.VM().Name()); best == "" || score > most {
				best, most = m.VM().Name(), score
			}
		}
		return best, best != ""
	}
}

// quotaTerms are what this VM knows of the accounts that it keeps. The caller holds the lock.
func (e *Entry) quotaTerms(now tier.Millis) accountant.Terms {
	candidates := e.candidates(now)
	reached := len(candidates)
	all := e.scheduler.Partitioner().LargeCount()
	return accountant.NewTerms(e.quotaOf, e.quotas.since, float64(reached)/float64(max(all, reached, 1)),
		func(organisation string) (accountant.Level, bool) { return e.quotas.reporter.Last(now, organisation) }).
		PassedOn(func(u accountant.Usage, repeated bool) (accountant.Level, bool) {
			name, ok := accountantOf(candidates)(u.Organisation())
			q, known := e.quotaOf(u.Organisation())
			if !ok || !known || name == e.scheduler.Partitioner().Self().VM().Name() {
				return accountant.Level{}, false
			}
			e.wakeReports()
			return e.quotas.reporter.Forward(now, u, q, repeated)
		}).
		Beside(func(organisation string) (int, float64) {
			return e.quotas.news.Rivals(now, organisation, e.scheduler.Partitioner().Self().VM().Name())
		})
}

// RunQuotaReports reports the requests of organisations that this VM has admitted to the VMs that
// keep the accounts, until ctx ends. There are no reports without requests.
func (e *Entry) RunQuotaReports(ctx context.Context) error {
	ticker := time.NewTicker(pauseTick.Duration())
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.quotas.wake:
		case <-timer.C:
		case <-ticker.C:
			if e.needsKeys() {
				e.mu.Lock()
				e.candidates(e.clock.Now())
				e.mu.Unlock()
			}
			continue
		}
		if next := e.sendReports(ctx); next > 0 {
			timer.Reset(max(0, next-e.clock.Now()).Duration())
		}
	}
}

// sendReports sends the reports that are due, and returns when to call it again, or 0.
func (e *Entry) sendReports(ctx context.Context) tier.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.quotas.reporter.SetVMs(e.fleetSize())
	candidates := e.candidates(now)
	due, next := e.quotas.reporter.TakeDue(now, accountantOf(candidates))
	for _, report := range due {
		if report.To() == e.scheduler.Partitioner().Self().VM().Name() {
			e.quotas.reporter.Answered(now, report, e.quotas.ledger.Report(now, report, e.quotaTerms(now)))
			continue
		}
		e.quotas.reports++
		to := candidates[slices.IndexFunc(candidates, func(m partitioner.Member) bool { return m.VM().Name() == report.To() })]
		e.background.Go(func() { e.sendReport(ctx, to.VM(), report) })
	}
	return next
}

// sendReport sends a report to another VM.
func (e *Entry) sendReport(ctx context.Context, to tier.VM, report accountant.Report) {
	callCtx, cancel := context.WithTimeout(ctx, accountant.ReportTimeout.Duration())
	defer cancel()
	request := &gatherv1.AccountRequest{Name: report.Name(), Incarnation: report.Incarnation(), Sequence: report.Sequence()}
	for _, u := range report.Usages() {
		request.Usages = append(request.Usages, &gatherv1.Usage{Organisation: u.Organisation(), Requests: u.Requests(), Refused: uint32(u.Refused())})
	}
	response, err := e.peers.clientOf(to.Address()).Account(callCtx, connect.NewRequest(request))
	if err == nil && response.Msg.GetDeclined() {
		err = errors.New("the VM keeps no accounts at present")
	} else if err != nil {
		e.peers.drop(to.Address())
	}
	defer e.wakeReports()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if err != nil {
		e.quotas.suspect(now, to.Name())
		e.quotas.reporter.Failed(now, report, accountantOf(e.candidates(now)))
		e.log.RateLimitedInfo("usage-not-reported", "peer", to.Name(), "organisations", len(report.Usages()), "error", err)
		return
	}
	delete(e.quotas.suspects, to.Name())
	e.quotas.reporter.Answered(now, report, decodeLevels(response.Msg.GetLevels()))
}

// Account records a report of another VM on the requests of organisations.
func (p *peerService) Account(_ context.Context, c *connect.Request[gatherv1.AccountRequest]) (*connect.Response[gatherv1.AccountReply], error) {
	e := p.entry
	if !e.serves() {
		return connect.NewResponse(&gatherv1.AccountReply{Declined: true}), nil
	}
	usages := make([]accountant.Usage, len(c.Msg.GetUsages()))
	for i, u := range c.Msg.GetUsages() {
		usages[i] = accountant.NewUsage(u.GetOrganisation(), u.GetRequests(), int64(u.GetRefused()))
	}
	report := accountant.NewReport(c.Msg.GetName(), c.Msg.GetIncarnation(), c.Msg.GetSequence(), usages)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return connect.NewResponse(&gatherv1.AccountReply{Levels: encodeLevels(e.quotas.ledger.Report(now, report, e.quotaTerms(now)))}), nil
}

// hotLevels lists the levels of organisations that use their quotas up, for other VMs. The caller
// holds the lock.
func (e *Entry) hotLevels() []*gatherv1.Level {
	if !e.needsKeys() {
		return nil
	}
	now := e.clock.Now()
	if e.quotas.ledger.Len() > 0 {
		e.quotas.news.Hear(now, e.quotas.ledger.Hot(now, e.quotaTerms(now)))
	}
	return encodeLevels(e.quotas.news.Levels(now, quotaBound(e.settings.Load()).Window()))
}

// levelsForRelay lists the same levels for the VM from which this one copies its view. Small
// VMs keep no accounts.
func (e *Entry) levelsForRelay() []*gatherv1.Level {
	if !e.needsKeys() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.scheduler.Partitioner().IsLarge() {
		return nil
	}
	return e.hotLevels()
}

// hearLevels records what another VM has told of such organisations. The caller holds the lock.
func (e *Entry) hearLevels(list []*gatherv1.Level) {
	if len(list) == 0 {
		return
	}
	now := e.clock.Now()
	levels := slices.DeleteFunc(decodeLevels(list[:min(len(list), maxHeardLevels)]), func(l accountant.Level) bool {
		_, known := e.quotaOf(l.Organisation())
		return !known
	})
	e.quotas.reporter.Heard(now, e.quotas.news.Hear(now, levels), e.quotaOf)
}

func encodeLevels(list []accountant.Level) []*gatherv1.Level {
	levels := make([]*gatherv1.Level, len(list))
	for i, l := range list {
		levels[i] = &gatherv1.Level{
			Organisation: l.Organisation(), Tokens: l.Tokens(), Vms: uint32(l.VMs()), Demand: l.Demand(), AgeMs: int64(l.Age()), Keeper: l.Keeper(),
		}
	}
	return levels
}

func decodeLevels(list []*gatherv1.Level) []accountant.Level {
	levels := make([]accountant.Level, len(list))
	for i, l := range list {
		levels[i] = accountant.NewLevel(l.GetOrganisation(), l.GetTokens(), int(l.GetVms()), l.GetDemand(), tier.Millis(l.GetAgeMs())).KeptBy(l.GetKeeper())
	}
	return levels
}
