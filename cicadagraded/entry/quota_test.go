package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/tier"
)

// newQuotaFleet starts VMs that report to each other, with the organisations of testdata. The
// record gets what they send each other.
func newQuotaFleet(t *testing.T, dataCentres ...string) (*linkFleet, *record) {
	vms := &record{}
	f := newWrappedLinkFleet(t, vms.recordCalls, dataCentres...)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, e := range f.entries {
		group.Go(func() { _ = e.RunQuotaReports(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	f.putConfiguration("organisations.json")
	f.readStores()
	return f, vms
}

// TestQuotaHoldsOverVMs guards against VMs that each grant the whole quota, against a Retry-After
// that leads to another refusal, and against messages without requests.
func TestQuotaHoldsOverVMs(t *testing.T) {
	f, vms := newQuotaFleet(t, "depot-a", "depot-a", "depot-a", "depot-c")
	started := time.Now()
	const requests = 200
	served, refused, shortest := 0, 0, time.Hour
	for i := range requests {
		w := f.sendWith(f.entries[i%len(f.entries)], http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-4")
		switch w.Code {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if err != nil || seconds <= 0 {
				t.Fatalf("Retry-After %q", w.Header().Get("Retry-After"))
			}
			shortest = min(shortest, time.Duration(seconds*float64(time.Second)))
		default:
			t.Fatalf("status %d", w.Code)
		}
		time.Sleep(2 * time.Millisecond)
	}
	passed := time.Since(started).Seconds()
	// The settings set no excess: a rate of 1, a burst of 2, and what four VMs admit before
	// they know of each other.
	if most := passed + 2 + float64(2*len(f.entries)); float64(served) > most || served < 2 || refused == 0 {
		t.Errorf("%d requests served and %d refused in %.1f s, at most %.0f may be served", served, refused, passed, most)
	}
	reports := strings.Count(vms.String(), "GatherService/Account")
	if most := int(10*passed+1) * len(f.entries) * (len(f.entries) - 1); reports == 0 || reports > min(most, requests) {
		t.Errorf("%d reports in %.1f s", reports, passed)
	}
	time.Sleep(300 * time.Millisecond)
	before := strings.Count(vms.String(), "GatherService/Account")
	time.Sleep(300 * time.Millisecond)
	if more := strings.Count(vms.String(), "GatherService/Account") - before; more > 0 {
		t.Errorf("%d reports without requests", more)
	}
	if w := f.sendWith(f.entries[0], http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-1"); w.Code != http.StatusOK {
		t.Errorf("an organisation without a quota gets %d", w.Code)
	}
}

// TestUnsentRequestsReturnTheirQuota guards against callers that are refused for their quota after
// requests that reached no leaf, and against refusals that the metrics of organisations lack.
func TestUnsentRequestsReturnTheirQuota(t *testing.T) {
	f := newTestFleet(t, 1)
	f.putConfiguration("organisations.json")
	f.readStores()
	e := f.entries[0]
	for range 20 { // there is no leaf of the service
		if w := f.sendWith(e, http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-4"); w.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d", w.Code)
		}
		if w := f.sendWith(e, http.MethodPost, "/book/1", strings.NewReader(strings.Repeat("x", 100)), "Authorization", "Bearer secret-4"); w.Code != http.StatusRequestEntityTooLarge {
			t.Fatalf("with a long body: status %d", w.Code)
		}
	}
	if refusals := e.organisationUse.of("three").refusals; refusals["bad-body"] != 20 {
		t.Errorf("refusals by cause: %v", refusals)
	}
	f.addLeafs("orders", 1)
	if w := f.sendWith(e, http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-4"); w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	for range 20 {
		f.sendWith(e, http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-4")
	}
	w := f.sendWith(e, http.MethodPost, "/book/1", panickingBody{}, "Authorization", "Bearer secret-4")
	if w.Code != http.StatusTooManyRequests {
		t.Errorf("over the quota, before the body is read: status %d", w.Code)
	}
}

// TestAccountsAreDeclined guards against reports that are lost in a VM that is stopping or has no
// configuration, and against news of organisations that don't exist.
func TestAccountsAreDeclined(t *testing.T) {
	f, _ := newQuotaFleet(t, "depot-a", "depot-a")
	e := f.entries[0]
	f.entries[1].mu.Lock()
	peers := f.entries[1].scheduler.Partitioner().HealthyPeers()
	f.entries[1].mu.Unlock()
	client := f.entries[1].peers.clientOf(peers[0].VM().Address())
	report := func(sequence uint64, requests int64) *gatherv1.AccountReply {
		t.Helper()
		response, err := client.Account(t.Context(), connect.NewRequest(&gatherv1.AccountRequest{
			Name: "other", Incarnation: 7, Sequence: sequence,
			Usages: []*gatherv1.Usage{{Organisation: "three", Requests: requests}, {Organisation: "none", Requests: 1}},
		}))
		if err != nil {
			t.Fatal(err)
		}
		return response.Msg
	}
	first, again := report(1, 50), report(1, 50)
	if len(first.GetLevels()) != 1 || first.GetLevels()[0].GetTokens() > -40 || again.GetLevels()[0].GetTokens() < first.GetLevels()[0].GetTokens() {
		t.Errorf("levels %v, then %v", first, again)
	}
	fetched, err := client.Fetch(t.Context(), connect.NewRequest(&gatherv1.FetchRequest{Levels: []*gatherv1.Level{{Organisation: "none", Tokens: -9}}}))
	if err != nil || len(fetched.Msg.GetLevels()) != 1 || fetched.Msg.GetLevels()[0].GetOrganisation() != "three" {
		t.Errorf("a view comes with the levels %v, %v", fetched.Msg.GetLevels(), err)
	}
	// Another VM that hears of the debt refuses its first request.
	e.BeginShutdown()
	if reply := report(2, 1); !reply.GetDeclined() {
		t.Errorf("while stopping: %v", reply)
	}
	other := f.entries[1]
	other.mu.Lock()
	other.hearLevels(fetched.Msg.GetLevels())
	other.mu.Unlock()
	if w := f.sendWith(other, http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-4"); w.Code != http.StatusTooManyRequests {
		t.Errorf("after news of a debt: status %d", w.Code)
	}
}

// TestPauseMakesAccountsUncertain guards against a VM that was paused and grants what another one
// has granted in its place.
func TestPauseMakesAccountsUncertain(t *testing.T) {
	e, _ := newOfflineEntry(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.candidates(tier.Minute)
	e.candidates(tier.Minute + pauseLimit - 1)
	if e.quotas.since != tier.Minute {
		t.Errorf("since %d without a pause", e.quotas.since)
	}
	resumed := tier.Minute + 2*pauseLimit
	e.candidates(resumed)
	if e.quotas.since != resumed {
		t.Errorf("since %d after a pause", e.quotas.since)
	}
}

// TestUnknownVMKeepsNoAccounts guards against small VMs that each admit the whole rate of an
// organisation after all large VMs have gone: no VM knows of another one.
func TestUnknownVMKeepsNoAccounts(t *testing.T) {
	e, _ := newOfflineEntry(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.candidates(tier.Minute)) != 1 {
		t.Error("a VM that is the only one keeps no accounts")
	}
	e.fleetHeard = 84
	if list := e.candidates(2 * tier.Minute); len(list) > 0 {
		t.Errorf("accounts of 84 VMs are kept by %v", list)
	}
	e.registered.Store(true)
	if len(e.candidates(3*tier.Minute)) != 1 {
		t.Error("a VM that others know keeps no accounts")
	}
}
