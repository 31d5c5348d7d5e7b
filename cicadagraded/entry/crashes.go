package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/searcher"
	"cicadagrade.example/tier/storer"
)

const (
	// crashesPrefix is the prefix of the store's keys for the requests under which leafs have
	// ended, each followed by the request's fingerprint and the name of the VM that sent it.
	crashesPrefix = statePrefix + "-crashes/"
	// crashReportTTL is the time to live of the leases of these keys, and crashLeaseReuse how
	// long a lease is used for further keys.
	crashReportTTL  = 10 * tier.Minute
	crashLeaseReuse = 5 * tier.Minute
	// crashReportInterval is the pause after a report, and maxCrashReports how many may wait:
	// when many leafs end, many requests lose one, and the store takes few writes a second.
	crashReportInterval = 50 * tier.Millisecond
	maxCrashReports     = 256
	// crashRetryInterval is the pause after a report that the store has not taken.
	crashRetryInterval = 500 * tier.Millisecond
)

// crashReport is the stored form of a quarantiner.Report.
type crashReport struct {
	Leafs    []string `json:"leafs"`
	Alone    bool     `json:"alone"`
	Answered bool     `json:"answered"`
}

// endedLeafTimeout bounds the connection by which a VM finds out whether a leaf has ended or
// only a connection to it. It allows for a round trip between regions. It is also the time
// within which another leaf may answer the request, which then is not to blame.
const endedLeafTimeout = 250 * tier.Millisecond

// newFingerprints returns a function that computes the fingerprints of a caller's request when
// they are first needed, which is rarely.
func newFingerprints(r *http.Request, uri string, body []byte) func() []quarantiner.Fingerprint {
	return sync.OnceValue(func() []quarantiner.Fingerprint {
		return quarantiner.NewFingerprints(r.Method, router.HostName(r.Host), uri, body)
	})
}

// leafsByID returns the registered ones of some leafs.
func (e *Entry) leafsByID(ids []string) []lister.Leaf {
	if len(ids) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []lister.Leaf
	for _, id := range ids {
		if leaf, ok := e.scheduler.Lister().Leaf(platform.LeafsPrefix + id); ok {
			list = append(list, leaf)
		}
	}
	return list
}

// checkEndedLeafs finds out, in the background, which leafs have ended while they had a request.
// alone says that they were called alone, after others had ended.
func (e *Entry) checkEndedLeafs(q *request, leafs []lister.Leaf, alone bool) {
	if len(leafs) > 0 {
		e.background.Go(func() { e.recordEndedLeafs(q, leafs, alone) })
	}
}

// recordEndedLeafs records those of the leafs of a request that no longer accept connections,
// unless another leaf answers it in the meantime, or this VM reaches no leaf at all: what it
// can't reach may be there for other VMs.
func (e *Entry) recordEndedLeafs(q *request, leafs []lister.Leaf, alone bool) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), endedLeafTimeout.Duration())
	defer cancel()
	ended := make([]bool, len(leafs))
	var group sync.WaitGroup
	for i, leaf := range leafs {
		group.Go(func() { ended[i] = !e.leafClient.Accepts(ctx, leaf.Address()) })
	}
	group.Wait()
	<-ctx.Done() // the time that another leaf has to answer
	var ids []string
	for i, leaf := range leafs {
		if ended[i] {
			// A leaf may start again under its id.
			ids = append(ids, leaf.ID()+"@"+strconv.FormatInt(leaf.StartTime(), 10))
		}
	}
	reachesOthers := len(ids) == 0 || e.reachesLeafs(start)
	if len(ids) > 0 && reachesOthers && !q.answered.Load() {
		list := q.fingerprints()
		e.mu.Lock()
		for _, f := range list {
			e.addCrashReport(f, e.scheduler.Quarantiner().Ended(e.clock.Now(), f, ids, alone))
		}
		e.mu.Unlock()
		e.wakeCrashReports()
	}
	e.log.RateLimitedInfo("leafs-ended-under-request", "request", q.attempt.ID(), "fingerprint", q.fingerprints()[0],
		"ended", strings.Join(ids, " "), "alive", len(leafs)-len(ids), "answered", q.answered.Load(), "reaches-others", reachesOthers, "alone", alone)
}

// quarantined reports whether a request must not be sent to a leaf, and for how much longer.
func (e *Entry) quarantined(q *request) (tier.Millis, bool) {
	if !e.knowsCrashes() {
		return 0, false
	}
	list := q.fingerprints()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Quarantiner().Refuses(e.clock.Now(), list)
}

// wantsCaution reports whether a request should be sent to one leaf first.
func (e *Entry) wantsCaution(q *request) bool {
	if !e.knowsCrashes() {
		return false
	}
	list := q.fingerprints()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Quarantiner().WantsCaution(e.clock.Now(), list)
}

// knowsCrashes reports whether leafs have ended under some request.
func (e *Entry) knowsCrashes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.scheduler.Quarantiner().Empty()
}

// recordLeafAnswer clears a request that a leaf has answered, and those of the same content, of
// the suspicion that they end each leaf.
func (e *Entry) recordLeafAnswer(q *request, outcome searcher.Outcome) {
	if !outcome.Success() && outcome.Failure() == nil {
		return
	}
	q.answered.Store(true)
	if !e.knowsCrashes() {
		return
	}
	list := q.fingerprints()
	e.mu.Lock()
	told := false
	for _, f := range list {
		if report, tell := e.scheduler.Quarantiner().Answered(e.clock.Now(), f); tell {
			e.addCrashReport(f, report)
			told = true
		}
	}
	e.mu.Unlock()
	if told {
		e.wakeCrashReports()
	}
}

// addCrashReport adds a pending report, in place of an earlier one. The caller holds the lock.
func (e *Entry) addCrashReport(f quarantiner.Fingerprint, report quarantiner.Report) {
	if _, known := e.crashReports[f]; !known && len(e.crashReports) >= maxCrashReports {
		e.log.RateLimitedInfo("crash-report-dropped", "fingerprint", f)
		return
	}
	e.crashReports[f] = report
}

// wakeCrashReports makes RunCrashReports write the pending reports.
func (e *Entry) wakeCrashReports() {
	select {
	case e.crashReported <- struct{}{}:
	default:
	}
}

// applyCrash applies a VM's report on requests under which leafs have ended. Reports that are
// removed count on until they are too old: the store may have lost them.
func (e *Entry) applyCrash(v storer.Value) {
	fingerprint, vm, ok := strings.Cut(strings.TrimPrefix(v.Key(), crashesPrefix), "/")
	if !v.Present() || !ok {
		return
	}
	var report crashReport
	if err := json.Unmarshal(v.Data(), &report); err != nil {
		e.log.Warn("crash-report-skipped", "key", v.Key(), "error", err)
		return
	}
	e.mu.Lock()
	e.scheduler.Quarantiner().Heard(e.clock.Now(), quarantiner.Fingerprint(fingerprint), vm, v.Revision(), quarantiner.Report(report))
	e.mu.Unlock()
	e.log.RateLimitedInfo("crash-report", "fingerprint", fingerprint, "peer", vm, "leafs", strings.Join(report.Leafs, " "), "answered", report.Answered)
}

// RunCrashReports tells the other VMs, through the store, which leafs have ended under which
// request, until ctx ends.
func (e *Entry) RunCrashReports(ctx context.Context) error {
	for {
		retry := time.Hour
		if err := e.writeCrashReports(ctx); err != nil && ctx.Err() == nil {
			e.log.RateLimitedInfo("crash-not-reported", "error", err)
			retry = crashRetryInterval.Duration()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.crashReported:
		case <-time.After(retry):
		}
	}
}

// writeCrashReports writes the pending reports to the store.
func (e *Entry) writeCrashReports(ctx context.Context) error {
	for {
		e.mu.Lock()
		var fingerprint quarantiner.Fingerprint
		var report quarantiner.Report
		for fingerprint, report = range e.crashReports {
			break
		}
		pending := len(e.crashReports) > 0
		delete(e.crashReports, fingerprint)
		e.mu.Unlock()
		if !pending {
			return nil
		}
		if err := e.writeCrashReport(ctx, fingerprint, report); err != nil {
			e.mu.Lock()
			if _, newer := e.crashReports[fingerprint]; !newer {
				e.addCrashReport(fingerprint, report)
			}
			e.mu.Unlock()
			return err
		}
		sleep(ctx, crashReportInterval)
	}
}

// writeCrashReport writes one report under the lease for reports.
func (e *Entry) writeCrashReport(ctx context.Context, f quarantiner.Fingerprint, report quarantiner.Report) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	raw, err := json.Marshal(crashReport(report))
	if err != nil {
		return errors.Wrap(err, "Entry.writeCrashReport")
	}
	if now := e.clock.Now(); e.crashLease == 0 || now-e.crashLeaseAt >= crashLeaseReuse || e.store.Era() != e.crashLeaseEra {
		id, err := e.store.Grant(ctx, crashReportTTL)
		if err != nil {
			return errors.Wrap(err, "Entry.writeCrashReport")
		}
		e.crashLease, e.crashLeaseAt, e.crashLeaseEra = id, now, e.store.Era()
	}
	key := crashesPrefix + string(f) + "/" + e.settings.Load().Name()
	if _, err := e.store.Put(ctx, key, raw, e.crashLease); err != nil {
		e.crashLease = 0 // it may have ended
		return errors.Wrap(err, "Entry.writeCrashReport")
	}
	return nil
}

// sleep waits for a while or until ctx ends.
func sleep(ctx context.Context, pause tier.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(pause.Duration()):
	}
}
