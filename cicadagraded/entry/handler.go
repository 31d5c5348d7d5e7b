package entry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/ranker"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/searcher"
)

const (
	// answerMargin is kept from the aim for merging and writing the answer and
	// for late timers: twice what a VM of the lowest power takes.
	answerMargin = 8 * tier.Millisecond
	// patientTime is taken for a caller who does not say how long it waits.
	patientTime = 30 * tier.Second
	// defaultBodyBytes bounds a body if the configuration does not.
	defaultBodyBytes = 1 << 20
	// comeBack is when a caller is to try again after a refusal that a look
	// at the store or a leaf's restart will end.
	comeBack = 250 * tier.Millisecond
	// troubleLasts is when a caller is to try again whose shards can't serve all:
	// the trials that find them back take about as long.
	troubleLasts = 600 * tier.Millisecond
	// endMargin is the time before the caller's own deadline, less the trip, in
	// which an answer would not reach it any more.
	endMargin = 6 * tier.Millisecond
)

// request is what is known of one request.
type request struct {
	route   *router.Route
	table   *router.Table
	sender  platform.Attempt
	start   tier.Millis
	arrival delayestimator.Arrival
	body    []byte
}

// ServeHTTP takes a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := e.clock.Now()
	if e.stopping.Load() || e.isolated.Load() || connectionEnds(r.Context(), start) {
		w.Header().Set("Connection", "close")
	}
	table := e.table.Load()
	sender := platform.ParseAttempt(r.Header)
	if table == nil {
		e.refuse(w, sender, http.StatusServiceUnavailable, "no-configuration", 0)
		return
	}
	path := r.RequestURI
	if !strings.HasPrefix(path, "/") {
		path = r.URL.RequestURI()
	}
	bare, _, _ := strings.Cut(path, "?")
	route, ok := table.Match(r.Host, bare)
	if !ok {
		if e.viewAge() > staleAfter {
			e.refuse(w, sender, http.StatusServiceUnavailable, "no-route-in-stale-view", table.Version())
			return
		}
		e.refuse(w, sender, http.StatusNotFound, "no-route", table.Version())
		return
	}
	body, status := readBody(w, r, table.Limits())
	if status != 0 {
		e.refuse(w, sender, status, "bad-body", table.Version())
		return
	}
	q := &request{
		route: route, table: table, sender: sender, start: start, body: body,
		arrival: e.arrived(r.Context(), start, route, sender),
	}
	message := leafclient.NewTemplate(r.Method, path, r.Host, platform.LeafRequestHeader(r.Header), body)
	if route.Scattered() {
		e.scatter(w, r, q, message)
		return
	}
	e.forward(w, r, q, message)
}

func readBody(w http.ResponseWriter, r *http.Request, limits router.Limits) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	most := int64(limits.BodyBytes())
	if most <= 0 {
		most = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// refuse answers a request that has not run.
func (e *Entry) refuse(w http.ResponseWriter, s platform.Attempt, status int, cause string, version int64) {
	if status == http.StatusServiceUnavailable {
		platform.WriteRetryAfter(w.Header(), comeBack+tier.Millis(rand.Int64N(int64(comeBack))))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	e.meter.RecordRequest("", "", cause, 0)
	e.log.RateLimitedInfo("refused", "request", s.ID(), "status", status, "cause", cause, "version", version,
		"view-age-ms", int64(e.viewAge()))
}

// terms are what the route and the caller grant.
func (q *request) terms() searcher.Terms {
	left, limited := q.sender.TimeLeft()
	if !limited {
		left = patientTime
	}
	trip := q.arrival.RoundTrip()
	end := q.start + left - trip - endMargin
	if t := q.route.Timeout(); t > 0 {
		end = min(end, q.start+t)
	}
	aim := end
	if a := q.route.Aim(); a > 0 {
		aim = q.start + a - q.arrival.Elapsed() - trip - answerMargin
	}
	options := []searcher.TermsOption{
		searcher.WithMaxAttempts(q.route.Attempts()), searcher.WithRank(q.route.Rank()),
	}
	if q.route.Repeatable() {
		options = append(options, searcher.Idempotent())
	}
	if q.route.Scattered() {
		options = append(options, searcher.WithMinimumParts(q.route.MinimumParts()))
	} else {
		options = append(options, searcher.ForwardFailures())
	}
	return searcher.NewTerms(q.route.Name(), aim, end, options...)
}

// scatter answers from the shards.
func (e *Entry) scatter(w http.ResponseWriter, r *http.Request, q *request, m *leafclient.Template) {
	shards := q.route.Shards()
	e.mu.Lock()
	hopeless := e.core.Forecaster().LikelyToFail(q.start, shards, q.route.MinimumParts(), q.arrival.IsRetry(), rand.Float64())
	e.mu.Unlock()
	if hopeless {
		e.meter.RecordRequest(q.route.Name(), strconv.Itoa(q.route.Rank()), "shards-missing", 0)
		platform.WriteRetryAfter(w.Header(), troubleLasts+tier.Millis(rand.Int64N(int64(troubleLasts))))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		e.log.RateLimitedInfo("refused", "request", q.sender.ID(), "status", http.StatusServiceUnavailable,
			"cause", "shards-missing", "version", q.table.Version(), "route", q.route.Name())
		return
	}
	run := e.newRun(q.sender.ID(), true, m, q.terms(), shards, e.divide(q.route.Name(), shards))
	run.shared = sharedTerms{
		route: q.route.Name(), top: q.route.Top(), attempts: q.route.Attempts(), rank: q.route.Rank(),
		minimum: q.route.MinimumPartsOf, shards: shards,
	}
	o, left := run.drive(r.Context())
	if left {
		e.report(q, o, 0, string(o.Cause()))
		return
	}
	if !o.Success() {
		e.fail(w, q, o)
		return
	}
	top := ranker.New(q.route.Top())
	proofs := make([]string, 0, len(q.route.Shards()))
	proofs = mergeAll(top, o.Parts(), o.Shares(), proofs)
	platform.WritePartHeaders(w.Header(), proofs, o.Missing())
	e.write(w, http.StatusOK, top.Bytes())
	e.report(q, o, http.StatusOK, string(o.Cause()))
}

// mergeAll merges the replies of leafs and of other VMs into top, and appends
// their proofs.
func mergeAll(top *ranker.Ranker, parts []searcher.Part, shares []any, proofs []string) []string {
	for _, p := range parts {
		reply := p.Reply().(*leafclient.Reply)
		top.Add(reply.Body())
		proofs = append(proofs, platform.ParseLeafReply(reply.Status(), reply.Header()).Signature())
	}
	for _, s := range shares {
		reply := s.(*gatherv1.GatherReply)
		top.Add(reply.GetRecords())
		proofs = append(proofs, reply.GetProofs()...)
	}
	return proofs
}

// forward answers from one leaf.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, q *request, m *leafclient.Template) {
	service := q.route.Target(rand.Float64())
	o, left := e.newRun(q.sender.ID(), q.route.Repeatable(), m, q.terms(), []string{service}, nil).drive(r.Context())
	if left {
		e.report(q, o, 0, string(o.Cause()))
		return
	}
	var reply *leafclient.Reply
	switch {
	case o.Success():
		reply = o.Parts()[0].Reply().(*leafclient.Reply)
	case o.Failure() != nil:
		reply = o.Failure().(*leafclient.Reply)
	default:
		e.fail(w, q, o)
		return
	}
	h := w.Header()
	for k, v := range platform.CallerReplyHeader(reply.Header()) {
		h[k] = v
	}
	e.write(w, reply.Status(), reply.Body())
	e.report(q, o, reply.Status(), string(o.Cause()))
}

func (e *Entry) write(w http.ResponseWriter, status int, body []byte) {
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		e.log.RateLimitedInfo("answer-not-written", "error", err)
	}
}

// fail answers a request that can't be served.
func (e *Entry) fail(w http.ResponseWriter, q *request, o searcher.Outcome) {
	status := http.StatusBadGateway
	switch {
	case !o.MayHaveRun():
		status = http.StatusServiceUnavailable
		platform.WriteRetryAfter(w.Header(), comeBack+tier.Millis(rand.Int64N(int64(comeBack))))
	case o.Cause() == searcher.OutOfTime:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	e.report(q, o, status, string(o.Cause()))
}

// report counts how a request ended, and logs it unless it was plainly served.
func (e *Entry) report(q *request, o searcher.Outcome, status int, cause string) {
	took := e.clock.Now() - q.start
	e.meter.RecordRequest(q.route.Name(), strconv.Itoa(q.route.Rank()), cause, took)
	e.count(o)
	if o.Cause() == searcher.Complete && o.ExtraCalls() == 0 && status < 300 && took <= q.route.Aim() {
		return
	}
	e.log.RateLimitedInfo("request-ended", "request", q.sender.ID(), "route", q.route.Name(),
		"version", q.table.Version(), "status", status, "cause", cause, "took-ms", int64(took),
		"aim-ms", int64(q.route.Aim()), "spent-ms", int64(q.arrival.Elapsed()), "trip-ms", int64(q.arrival.RoundTrip()),
		"missing", o.Missing(), "of", max(1, len(q.route.Shards())),
		"shares", len(o.Shares()), "calls", o.CallsSent(), "extra", o.ExtraCalls(),
		"may-have-run", o.MayHaveRun(), "view-age-ms", int64(e.viewAge()), "misses", missText(o))
}

// missText names the parts that are not in, for one log line.
func missText(o searcher.Outcome) string {
	words := make([]string, len(o.Misses()))
	for i, m := range o.Misses() {
		words[i] = m.String()
	}
	return strings.Join(words, " ")
}
