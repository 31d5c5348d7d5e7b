package entry

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/ranker"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/searcher"
)

const (
	// minResponseMargin is subtracted from the target time to allow for merging and writing
	// the response and for late timers, responseWork what merging and writing takes of a
	// whole core.
	minResponseMargin = 8 * tier.Millisecond
	responseWork      = 1.5 // milliseconds
	// signatureBytes is about what each shard adds to the header of a response.
	signatureBytes = 40
	// defaultCallerTimeout applies to callers that do not say how long they wait.
	defaultCallerTimeout = 30 * tier.Second
	// refusalRetryAfter is the shortest Retry-After of refusals whose cause should end with
	// the next read of the store or the restart of a leaf.
	refusalRetryAfter = 250 * tier.Millisecond
	// startRetryAfter is the shortest Retry-After of a VM that has no view yet. It usually
	// has one after less.
	startRetryAfter = 450 * tier.Millisecond
	// shardOutageRetryAfter is the shortest Retry-After when too many shards fail. It takes
	// about as long until trial requests detect that they have recovered.
	shardOutageRetryAfter = 600 * tier.Millisecond
	// deadlineMargin is subtracted from the caller's deadline, in addition to the round
	// trip: a response sent later would not reach the caller in time.
	deadlineMargin = 6 * tier.Millisecond
)

// request holds a caller's request with its route, the routing table that it was matched
// against, and its timing.
type request struct {
	route   *router.Route
	table   *router.Table
	attempt platform.Attempt
	start   tier.Millis
	arrival delayestimator.Arrival
	body    []byte
	margin  tier.Millis // for merging and writing the response

	needsKeys    bool                 // the configuration has organisations
	organisation *router.Organisation // of the caller, or nil
	counted      bool                 // within a quota
	reachedLeaf  bool                 // leafs may have got it
	leaveRoute   func()               // ends its count among its route's requests
	weight       float64              // of the organisation's requests, relative to those of others

	fingerprints func() []quarantiner.Fingerprint
	cautious     bool        // leafs may have ended under requests of this content
	answered     atomic.Bool // a leaf has answered
}

// responseMargin is the time that a VM needs for merging and writing the response of a number
// of shards: small VMs take longer for the one, and the links of some for the other.
func responseMargin(cores, linkMbps float64, shards int) tier.Millis {
	margin := max(float64(minResponseMargin), responseWork/max(cores, minCores))
	if linkMbps > 0 {
		const bitsPerByte, bitsPerMegabit, millisPerSecond = 8, 1e6, 1e3
		margin += float64(shards) * signatureBytes * bitsPerByte / (linkMbps * bitsPerMegabit) * millisPerSecond
	}
	return tier.Millis(math.Ceil(margin))
}

// minCores bounds the cores that are assumed for a VM.
const minCores = 0.05

// ServeHTTP serves a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.callers.ServeHTTP(w, r) }

// serveCaller serves a caller's request, whose body may not be read.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	start := e.clock.Now()
	if e.stopping.Load() || e.isolated.Load() || connectionExpired(r.Context(), start) {
		w.Header().Set("Connection", "close")
	}
	table, keys := e.table.LoadBoth()
	attempt := platform.ParseAttempt(r.Header)
	if table == nil {
		e.refuse(w, attempt, http.StatusServiceUnavailable, "no-configuration", 0, startRetryAfter)
		return
	}
	if e.reading.overdue(start, e.viewAge()) {
		e.refuse(w, attempt, http.StatusServiceUnavailable, "view-overdue", table.Version(), refusalRetryAfter)
		return
	}
	path := r.RequestURI
	if !strings.HasPrefix(path, "/") {
		path = r.URL.RequestURI()
	}
	pathOnly, _, _ := strings.Cut(path, "?")
	route, ok := table.Match(r.Host, pathOnly)
	if !ok {
		e.refuseUnrouted(w, attempt, table.Version())
		return
	}
	q := &request{route: route, table: table, attempt: attempt, start: start}
	if !e.identify(w, r, q, keys) {
		return
	}
	if e.refusesLate(q) {
		e.refuseLate(w, q)
		return
	}
	if cause, refused := e.sheds(q); refused {
		e.shedRequests.Add(1)
		e.refuseRequest(w, q, http.StatusServiceUnavailable, cause, overloadRetryAfter)
		return
	}
	if !e.admit(w, q) {
		return
	}
	defer e.returnQuota(q)
	body, ok := e.readBody(w, r, q)
	if !ok {
		return
	}
	q.body, q.arrival, q.fingerprints = body, e.recordArrival(r.Context(), start, route, attempt), newFingerprints(r, path, body)
	q.margin = responseMargin(e.scheduler.Partitioner().Self().Cores(), e.settings.Load().LinkMbps(), len(route.Shards()))
	if left, quarantined := e.quarantined(q); quarantined {
		e.refuseRequest(w, q, http.StatusServiceUnavailable, string(searcher.Quarantined), left)
		return
	}
	if !e.enterRoute(w, q) {
		return
	}
	defer q.leaveRoute()
	e.recordOrganisationRequest(q)
	q.cautious = e.wantsCaution(q)
	template := leafclient.NewTemplate(r.Method, path, r.Host, q.leafHeader(r.Header), body)
	if route.IsScatterGather() {
		e.serveScatterGather(w, r, q, template)
		return
	}
	e.serveSingle(w, r, q, template)
}

// refuseUnrouted responds to a request that no route matches. If a newer configuration may have one, the
// caller may return.
func (e *Entry) refuseUnrouted(w http.ResponseWriter, attempt platform.Attempt, version int64) {
	status, cause, retryAfter := http.StatusNotFound, "no-route", tier.Millis(0)
	if _, missed := e.missedVersion(); missed || e.viewAge() > staleViewAge {
		status, cause, retryAfter = http.StatusServiceUnavailable, "no-route-in-stale-view", refusalRetryAfter
	}
	e.refuse(w, attempt, status, cause, version, retryAfter, e.describeView()...)
}

// refuse responds to a request that was not sent to any leaf. The caller may return after
// retryAfter and up to refusalRetryAfter more, unless it is 0. attrs are further keys and
// values of the log line.
func (e *Entry) refuse(w http.ResponseWriter, attempt platform.Attempt, status int, cause string, version int64, retryAfter tier.Millis, attrs ...any) {
	writeRetryAfter(w, retryAfter)
	e.writeRefusal(w, attempt, status, cause, version, attrs...)
}

// refuseRequest is refuse for a request whose route is known.
func (e *Entry) refuseRequest(w http.ResponseWriter, q *request, status int, cause string, retryAfter tier.Millis, attrs ...any) {
	e.recordOrganisationRefusal(q.organisationName(), cause)
	e.refuse(w, q.attempt, status, cause, q.table.Version(), retryAfter, withOrganisation(q.organisationName(), attrs...)...)
}

// writeRetryAfter tells the caller to return after retryAfter and up to refusalRetryAfter more,
// unless it is 0.
func writeRetryAfter(w http.ResponseWriter, retryAfter tier.Millis) {
	if retryAfter > 0 {
		platform.WriteRetryAfter(w.Header(), retryAfter+tier.Millis(rand.Int64N(int64(refusalRetryAfter))))
	}
}

// writeRefusal writes and logs the response to a request that was not sent to any leaf.
func (e *Entry) writeRefusal(w http.ResponseWriter, attempt platform.Attempt, status int, cause string, version int64, attrs ...any) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	e.meter.RecordRequest("", "", cause, 0)
	e.log.RateLimitedInfo("refused", append([]any{
		"request", attempt.ID(), "status", status, "cause", cause, "version", version, "view-age-ms", int64(e.viewAge()),
	}, attrs...)...)
}

// serveScatterGather sends a request to all shards of the route and merges their records.
func (e *Entry) serveScatterGather(w http.ResponseWriter, r *http.Request, q *request, template *leafclient.Template) {
	shards := q.route.Shards()
	e.mu.Lock()
	likelyToFail := e.likelyToFail(q, shards)
	e.mu.Unlock()
	if likelyToFail {
		e.meter.RecordRequest(q.route.Name(), strconv.Itoa(q.route.Rank()), "shards-missing", 0)
		platform.WriteRetryAfter(w.Header(), shardOutageRetryAfter+tier.Millis(rand.Int64N(int64(shardOutageRetryAfter))))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		e.recordOrganisationRefusal(q.organisationName(), "shards-missing")
		e.log.RateLimitedInfo("refused", withOrganisation(q.organisationName(), "request", q.attempt.ID(), "status", http.StatusServiceUnavailable,
			"cause", "shards-missing", "version", q.table.Version(), "route", q.route.Name())...)
		return
	}
	var shares []partitioner.Share
	if !q.cautious {
		shares = e.divideShards(q.route.Name(), shards, q.regions())
	}
	run := e.newRun(q.attempt.ID(), true, template, e.terms(q), shards, shares)
	run.suspected = func() { e.warnOthers(q) }
	run.delegation = delegationTerms{
		route: q.route.Name(), topK: q.route.TopK(), rank: q.rank(),
		minimumParts: q.route.MinimumPartsOf, shards: shards, fingerprints: q.fingerprints,
		regions: q.regions(), organisation: q.organisationName(), weight: q.weight,
	}
	run.leafEnded = func(ended searcher.LeafEnded) { e.checkEndedLeafs(q, []lister.Leaf{ended.Leaf}, ended.Alone) }
	q.reachedLeaf = true // until the outcome is known
	outcome, callerGone := run.execute(r.Context())
	q.leaveRoute() // the caller may take its time to read the answer
	q.noteReached(outcome)
	if callerGone {
		e.recordOutcome(q, outcome, 0, string(outcome.Cause()))
		closeUnanswered()
	}
	if !outcome.Success() {
		e.writeFailure(w, q, outcome)
		return
	}
	top := ranker.New(q.route.TopK())
	signatures := make([]string, 0, len(q.route.Shards()))
	signatures = mergeReplies(top, outcome.Parts(), outcome.Shares(), signatures)
	platform.WritePartHeaders(w.Header(), signatures, outcome.Missing())
	e.writeResponse(w, http.StatusOK, top.Bytes())
	e.recordOutcome(q, outcome, http.StatusOK, string(outcome.Cause()))
}

// closeUnanswered ends the handler of a request whose caller has gone, and closes its connection. A
// caller that has only ended its sending side still reads: a handler that returned would answer it 200.
func closeUnanswered() { panic(http.ErrAbortHandler) }

// mergeReplies merges the records in the replies of leafs and other VMs into top, and
// returns signatures with those of the replies appended.
func mergeReplies(top *ranker.Ranker, parts []searcher.Part, shares []any, signatures []string) []string {
	for _, p := range parts {
		reply := p.Reply().(*leafclient.Reply)
		top.Add(reply.Body())
		signatures = append(signatures, platform.ParseLeafReply(reply.Status(), reply.Header()).Signature())
	}
	for _, s := range shares {
		reply := s.(*gatherv1.GatherReply)
		top.Add(reply.GetRecords())
		signatures = append(signatures, reply.GetProofs()...)
	}
	return signatures
}

// serveSingle passes on the response of one leaf.
func (e *Entry) serveSingle(w http.ResponseWriter, r *http.Request, q *request, template *leafclient.Template) {
	service := q.route.PickService(rand.Float64())
	run := e.newRun(q.attempt.ID(), q.route.Idempotent(), template, e.terms(q), []string{service}, nil)
	run.delegation = delegationTerms{
		route: q.route.Name(), rank: q.rank(), minimumParts: func(int) int { return 1 }, shards: []string{service},
		fingerprints: q.fingerprints, whole: true, once: !q.route.Idempotent(),
		regions: q.regions(), organisation: q.organisationName(), weight: q.weight,
	}
	run.leafEnded = func(ended searcher.LeafEnded) { e.checkEndedLeafs(q, []lister.Leaf{ended.Leaf}, ended.Alone) }
	q.reachedLeaf = true // until the outcome is known
	outcome, callerGone := run.execute(r.Context())
	q.leaveRoute() // the caller may take its time to read the answer
	q.noteReached(outcome)
	if callerGone {
		e.recordOutcome(q, outcome, 0, string(outcome.Cause()))
		closeUnanswered()
	}
	var reply *leafclient.Reply
	switch {
	case outcome.Success():
		reply = outcome.Parts()[0].Reply().(*leafclient.Reply)
	case outcome.Failure() != nil:
		reply = outcome.Failure().(*leafclient.Reply)
	default:
		e.writeFailure(w, q, outcome)
		return
	}
	h := w.Header()
	for k, v := range platform.CallerReplyHeader(reply.Header()) {
		h[k] = v
	}
	e.writeResponse(w, reply.Status(), reply.Body())
	e.recordOutcome(q, outcome, reply.Status(), string(outcome.Cause()))
}

// writeResponse writes the status and body of a response.
func (e *Entry) writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		e.log.RateLimitedInfo("answer-not-written", "error", err)
	}
}

// writeFailure responds to a request whose search failed: 503 if it certainly did not run,
// 504 if the time ran out, and 502 otherwise.
func (e *Entry) writeFailure(w http.ResponseWriter, q *request, outcome searcher.Outcome) {
	status := http.StatusBadGateway
	switch {
	case !outcome.MayHaveRun():
		status = http.StatusServiceUnavailable
		if after, helps := retryAfter(outcome); helps {
			platform.WriteRetryAfter(w.Header(), after)
		}
	case outcome.Cause() == searcher.OutOfTime:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	e.recordOutcome(q, outcome, status, string(outcome.Cause()))
}

// recordOutcome updates the metrics for a finished request. It logs the request unless it
// was served completely, within the target latency and without hedges or retries.
func (e *Entry) recordOutcome(q *request, outcome searcher.Outcome, status int, cause string) {
	took := e.clock.Now() - q.start
	e.meter.RecordRequest(q.route.Name(), strconv.Itoa(q.route.Rank()), cause, took)
	e.countCalls(outcome)
	if !outcome.MayHaveRun() && status == http.StatusServiceUnavailable {
		e.recordOrganisationRefusal(q.organisationName(), cause)
	}
	e.recordLeafAnswer(q, outcome)
	e.checkEndedLeafs(q, e.leafsByID(outcome.EndedElsewhere()), false)
	if outcome.Cause() == searcher.NoLeafInRegions {
		e.refusedRegions.Add(1)
	}
	if outcome.Cause() == searcher.Complete && outcome.ExtraCalls() == 0 && status < 300 && took <= q.route.LatencyTarget() {
		return
	}
	fields := withOrganisation(q.organisationName(), "request", q.attempt.ID(), "route", q.route.Name(),
		"version", q.table.Version(), "status", status, "cause", cause, "took-ms", int64(took),
		"aim-ms", int64(q.route.LatencyTarget()), "spent-ms", int64(q.arrival.Elapsed()), "trip-ms", int64(q.arrival.RoundTrip()),
		"missing", outcome.Missing(), "of", max(1, len(q.route.Shards())),
		"shares", len(outcome.Shares()), "calls", outcome.CallsSent(), "extra", outcome.ExtraCalls(),
		"may-have-run", outcome.MayHaveRun(), "view-age-ms", int64(e.viewAge()), "misses", describeMisses(outcome))
	if regions := q.regions(); regions.Restricted() {
		fields = append(fields, "regions", strings.Join(regions.Names(), " "))
	}
	e.log.RateLimitedInfo("request-ended", fields...)
}

// describeMisses lists the missing parts, as the value of a log key.
func describeMisses(outcome searcher.Outcome) string {
	texts := make([]string, len(outcome.Misses()))
	for i, m := range outcome.Misses() {
		texts[i] = m.String()
	}
	return strings.Join(texts, " ")
}
