package owner

import (
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/api/backend/v1/backendv1connect"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// leaf is a backend server that answers at once, unless reply changes what it
// says.
type leaf struct {
	reply  func(*backendv1.SearchReply)
	book   func() error
	booked chan string
}

func (l *leaf) Search(_ context.Context, r *connect.Request[backendv1.SearchRequest]) (*connect.Response[backendv1.SearchReply], error) {
	q := r.Msg
	records := []tier.Record{tier.NewRecord("key-"+q.GetShard(), "value")}
	w := &backendv1.SearchReply{
		Attempt: q.GetAttempt(), Set: q.GetSet(), Shard: q.GetShard(), Snapshot: q.GetSnapshot(),
		Records: []*backendv1.Record{{Key: records[0].Key(), Value: records[0].Value()}},
		Count:   1, Digest: tier.Digest(records), State: backendv1.ServerState_SERVER_STATE_LIVE,
	}
	if l.reply != nil {
		l.reply(w)
	}
	return connect.NewResponse(w), nil
}

func (l *leaf) Book(_ context.Context, r *connect.Request[backendv1.BookRequest]) (*connect.Response[backendv1.BookReply], error) {
	l.booked <- r.Msg.GetAttempt()
	if err := l.book(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&backendv1.BookReply{Attempt: r.Msg.GetAttempt(), Set: r.Msg.GetSet(), Shard: r.Msg.GetShard(), Receipt: "receipt"}), nil
}

func (l *leaf) Health(context.Context, *connect.Request[backendv1.HealthRequest]) (*connect.Response[backendv1.HealthReply], error) {
	w := &backendv1.HealthReply{State: backendv1.ServerState_SERVER_STATE_LIVE}
	for i := range maxLeafShards {
		w.Holdings = append(w.Holdings, &backendv1.Holding{Set: "set", Shard: shardName(i), Epoch: 1, Versions: []uint64{1}})
	}
	return connect.NewResponse(w), nil
}

const maxLeafShards = 40

func shardName(i int) string { return fmt.Sprintf("s%02d", i) }

// leafSet starts servers for a set of as many shards, one server each.
func leafSet(tb testing.TB, l *leaf, shards, slots int) *tier.ShardSet {
	tb.Helper()
	_, h := backendv1connect.NewLeafServiceHandler(l)
	var servers []tier.Backend
	var list []tier.Shard
	width := math.MaxUint64/uint64(shards) + 1
	for i := range shards {
		s := httptest.NewServer(h)
		tb.Cleanup(s.Close)
		name := fmt.Sprintf("b%02d", i)
		servers = append(servers, tier.NewBackend(name, s.Listener.Addr().String(), "here", tier.WithSlots(slots)))
		to := uint64(i+1)*width - 1
		if i == shards-1 {
			to = math.MaxUint64
		}
		list = append(list, tier.NewShard(shardName(i), uint64(i)*width, to, name))
	}
	set, err := tier.NewShardSet("set", tier.WithServers(servers...), tier.WithShards(list...))
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

// testPublisher passes reports on.
type testPublisher chan Report

func (c testPublisher) PublishReport(_ string, r Report, _ int) { c <- r }

func (testPublisher) PublishThreshold(string, admitter.Threshold) {}

func (testPublisher) WithdrawReport(string) {}

func (testPublisher) BackendChanged(string, string, tier.BackendState, string) {}

// startOwner runs an owner until the test ends, and waits until it knows what
// its servers hold.
func startOwner(tb testing.TB, set *tier.ShardSet) (*Owner, *tier.Clock) {
	tb.Helper()
	clock := tier.NewClock()
	reports := make(chan Report, 16)
	n := uint64(0)
	attempt := func() tier.AttemptID {
		n++
		return tier.NewAttemptID("vm-1", 1, n)
	}
	o := New(NewIdentity("vm-1", "here", 1), clock, set, attempt, testPublisher(reports))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return o.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	for r := range reports {
		if len(r.versions) == len(set.Shards()) {
			break
		}
	}
	return o, clock
}

func shardIDs(set *tier.ShardSet) []string {
	var ids []string
	for _, h := range set.Shards() {
		ids = append(ids, h.ID())
	}
	return ids
}

func gate(tb testing.TB, opts ...tier.ProfileOption) *tier.Profile {
	tb.Helper()
	p, err := tier.NewProfile("gate", append([]tier.ProfileOption{tier.WithRank(tier.Urgent)}, opts...)...)
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

func TestOwnerRejectsForeignReplies(t *testing.T) {
	changes := map[string]func(*backendv1.SearchReply){
		"attempt":   func(w *backendv1.SearchReply) { w.Attempt = "vm-1/1/999" },
		"shard":     func(w *backendv1.SearchReply) { w.Shard = "s01" },
		"snapshot":  func(w *backendv1.SearchReply) { w.Snapshot = &backendv1.Snapshot{Epoch: 1, Version: 2} },
		"truncated": func(w *backendv1.SearchReply) { w.Records = nil },
		"corrupted": func(w *backendv1.SearchReply) { w.Records[0].Value = "other" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			set := leafSet(t, &leaf{reply: change}, 1, 2)
			o, clock := startOwner(t, set)
			s := NewSearch(gate(t), tier.NewSnapshot(1, 1), shardIDs(set), "term", clock.Now()+tier.Second)
			d, ok := o.Search(context.Background(), s).(*Done)
			if !ok || len(d.Results()) != 1 {
				t.Fatalf("end %+v", d)
			}
			if got := d.Results()[0].Miss(); got != tier.MissBadReply {
				t.Errorf("miss %q, want %q", got, tier.MissBadReply)
			}
		})
	}
}

func TestOwnerSendsBookingOnce(t *testing.T) {
	lost := func() error { return connect.NewError(connect.CodeInternal, fmt.Errorf("no answer")) }
	shed := func() error { return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("busy")) }
	cases := map[string]struct {
		book func() error
		want func(PartResult) bool
	}{
		"answered": {func() error { return nil }, func(e PartResult) bool { d, ok := e.(*Done); return ok && d.Receipt() == "receipt" }},
		"lost":     {lost, func(e PartResult) bool { _, ok := e.(*Unknown); return ok }},
		"shed":     {shed, func(e PartResult) bool { _, ok := e.(*NotRun); return ok }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &leaf{book: c.book, booked: make(chan string, 8)}
			set := leafSet(t, l, 1, 2)
			o, clock := startOwner(t, set)
			e := o.Book(context.Background(), NewBooking(gate(t), "s00", "record", "body", clock.Now()+tier.Second))
			if !c.want(e) {
				t.Errorf("end %T", e)
			}
			if n := len(l.booked); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

func TestReportRoundTrip(t *testing.T) {
	r := Report{epoch: 3, versions: map[int][]tier.Version{0: {1, 2}, 1: {1, 2}, 3: {2}, 4: {1, 2}}}
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeReport(b)
	if err != nil || !got.holdsSame(r) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestAnnouncementRoundTrip(t *testing.T) {
	r := Report{epoch: 3, versions: map[int][]tier.Version{0: {1, 2}}}
	vm := tier.NewVM("vm-1", "there", "127.0.0.1:1", tier.WithIncarnation(7), tier.WithVMState(tier.VMLive))
	b, err := EncodeAnnouncement(vm, r)
	if err != nil {
		t.Fatal(err)
	}
	if gotVM, got, err := DecodeAnnouncement("there", b); err != nil || gotVM != vm || !got.holdsSame(r) {
		t.Errorf("got %+v, %+v, %v", gotVM, got, err)
	}
}

func TestThresholdRoundTrip(t *testing.T) {
	for _, want := range []admitter.Threshold{
		admitter.AdmitAll(),
		admitter.NewThreshold([3]float64{1, 0.5, 0.25}, [3]tier.Millis{0, 100, 200}),
	} {
		b, err := EncodeThreshold(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeThreshold(b); err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"holdings":[{"versions":[1],"runs":[[0,1]]}]}`))
	f.Add([]byte(`{"vm":"a","address":"127.0.0.1:1","report":{"epoch":1}}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _ = DecodeAnnouncement("there", b)
		_, _ = DecodeThreshold(b)
		r, err := DecodeReport(b)
		if err == nil {
			_, _ = r.Encode()
		}
	})
}
