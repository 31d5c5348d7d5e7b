package leafserver

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// service answers the LeafService for one server.
type service struct{ s *Server }

// Search runs a search of one shard at one snapshot.
func (v *service) Search(ctx context.Context, q *connect.Request[backendv1.SearchRequest]) (*connect.Response[backendv1.SearchReply], error) {
	v.s.counters.searches.Add(1)
	fault, err := v.s.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer v.s.release()
	h, err := v.s.checkHeld(q.Msg.GetShard(), q.Msg.GetSnapshot())
	if err != nil {
		return nil, err
	}
	_, tag := recordgenerator.SplitTerm(q.Msg.GetTerm())
	v.s.journal.addStarted(tag)
	if err := v.s.work(ctx, v.s.serviceTime()); err != nil {
		return nil, err
	}
	reply := v.s.answer(q.Msg, h)
	v.s.counters.served.Add(1)
	if fault == CallDropAfter {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(v.s.spoil(reply)), nil
}

// Book runs a booking. It takes effect halfway through its service time, so
// that a cancelled one may or may not have run.
func (v *service) Book(ctx context.Context, q *connect.Request[backendv1.BookRequest]) (*connect.Response[backendv1.BookReply], error) {
	v.s.counters.bookings.Add(1)
	fault, err := v.s.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer v.s.release()
	if _, ok := v.s.holdings.findAny(q.Msg.GetShard()); !ok {
		return nil, v.s.refuse(connect.CodeFailedPrecondition, "this server does not hold the shard")
	}
	half := v.s.serviceTime() / 2
	if err := v.s.work(ctx, half); err != nil {
		return nil, err
	}
	reply := v.s.book(q.Msg)
	if err := v.s.work(ctx, half); err != nil {
		return nil, err
	}
	if fault == CallDropAfter {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(reply), nil
}

// Health shows the server as it was a set time ago.
func (v *service) Health(context.Context, *connect.Request[backendv1.HealthRequest]) (*connect.Response[backendv1.HealthReply], error) {
	f := v.s.faults.get()
	if f.call == CallHang && f.callFraction >= 1 {
		panic(http.ErrAbortHandler)
	}
	if f.healthLag == 0 {
		v.s.note()
	}
	m := v.s.timeline.at(v.s.clock.Now(), f.healthLag)
	out := &backendv1.HealthReply{
		Server:     v.s.Name(),
		State:      m.state,
		Slots:      uint32(v.s.backend.Slots()),
		SlotsInUse: uint32(m.inUse),
	}
	if l := v.s.listener.Load(); l != nil {
		out.Connections = uint32(l.open.Load())
	}
	if state, ok := parseState(f.healthState); ok {
		out.State = state
	}
	for _, h := range m.holdings {
		out.Holdings = append(out.Holdings, v.s.wireHolding(h))
	}
	return connect.NewResponse(out), nil
}

// admit lets a call in: it takes a slot or returns the refusal. A call that
// it refuses has not run.
func (s *Server) admit(ctx context.Context) (CallFault, error) {
	switch s.State() {
	case backendv1.ServerState_SERVER_STATE_LEAVING:
		return "", s.refuse(connect.CodeUnavailable, "this server is leaving")
	case backendv1.ServerState_SERVER_STATE_SHEDDING:
		if s.strikes(shedFraction) {
			return "", s.refuse(connect.CodeResourceExhausted, "this server sheds load")
		}
	}
	fault := s.callFault()
	if fault == CallDropBefore {
		panic(http.ErrAbortHandler)
	}
	if err := s.gate.enter(ctx); err != nil {
		return "", s.ended(err)
	}
	s.noteLoad()
	if fault != CallHang {
		return fault, nil
	}
	<-ctx.Done()
	s.release()
	return "", s.ended(ctx.Err())
}

func (s *Server) callFault() CallFault {
	f := s.faults.get()
	if f.call == CallNormal || !s.strikes(f.callFraction) {
		return CallNormal
	}
	return f.call
}

func (s *Server) release() {
	s.gate.leave()
	s.noteLoad()
}

// work takes time, unless the call is cancelled or its deadline passes.
func (s *Server) work(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return s.ended(ctx.Err())
	}
}

// ended gives the Connect error of a call that ended before its work.
func (s *Server) ended(err error) error {
	if errors.Is(err, errShed) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	s.counters.cancelled.Add(1)
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

func (s *Server) refuse(code connect.Code, why string) error {
	s.counters.refused.Add(1)
	return connect.NewError(code, errors.New(why))
}

// checkHeld finds the shard, or refuses a snapshot that is not held here.
func (s *Server) checkHeld(shard string, snap *backendv1.Snapshot) (held, error) {
	h, ok := s.holdings.find(shard, tier.Epoch(snap.GetEpoch()))
	if ok && slices.Contains(h.versions, tier.Version(snap.GetVersion())) {
		return h, nil
	}
	return held{}, s.refuse(connect.CodeFailedPrecondition, "this server does not hold the shard at the snapshot")
}

// answer reads the records and journals the snapshot that they come from.
func (s *Server) answer(q *backendv1.SearchRequest, h held) *backendv1.SearchReply {
	f := s.faults.get()
	asked := tier.Version(q.GetSnapshot().GetVersion())
	served := asked
	if f.serveVersion > 0 {
		served = f.serveVersion
	}
	named := served
	if f.disguise {
		named = asked
	}
	records := s.records.ShardRecords(s.set, served, q.GetTerm(), h.shard.From(), h.shard.To())
	s.journal.addServed(ServedSearch{
		At:      s.clock.WallTime(),
		Server:  s.Name(),
		Attempt: q.GetAttempt(),
		Set:     s.set,
		Shard:   q.GetShard(),
		Term:    q.GetTerm(),
		Epoch:   h.epoch,
		Version: served,
	})
	out := &backendv1.SearchReply{
		Attempt:  q.GetAttempt(),
		Set:      s.set,
		Shard:    q.GetShard(),
		Snapshot: &backendv1.Snapshot{Epoch: uint64(h.epoch), Version: uint64(named)},
		Holding:  s.wireHolding(h),
		State:    s.State(),
	}
	fill(out, records)
	return out
}

// book lets a booking take effect.
func (s *Server) book(q *backendv1.BookRequest) *backendv1.BookReply {
	receipt := fmt.Sprintf("%s-%d", s.Name(), s.counters.receipts.Add(1))
	s.counters.booked.Add(1)
	s.journal.addBooked(AppliedBooking{
		At:        s.clock.WallTime(),
		Server:    s.Name(),
		Attempt:   q.GetAttempt(),
		Set:       s.set,
		Shard:     q.GetShard(),
		RecordKey: q.GetRecordKey(),
		Body:      q.GetBody(),
		Receipt:   receipt,
	})
	return &backendv1.BookReply{
		Attempt: q.GetAttempt(),
		Set:     s.set,
		Shard:   q.GetShard(),
		Receipt: receipt,
		State:   s.State(),
	}
}

// spoil applies the reply fault to some replies.
func (s *Server) spoil(r *backendv1.SearchReply) *backendv1.SearchReply {
	f := s.faults.get()
	s.mu.Lock()
	earlier := s.previous
	s.previous = proto.Clone(r).(*backendv1.SearchReply)
	s.mu.Unlock()
	if f.reply == ReplyIntact || !s.strikes(f.replyFraction) {
		return r
	}
	switch f.reply {
	case ReplyTruncated:
		r.Records = r.Records[:len(r.Records)/2]
	case ReplyCorrupted:
		if len(r.Records) > 0 {
			r.Records[0].Value += " "
		}
	case ReplyRepeated:
		fill(r, append(wireRecords(r.Records), wireRecords(r.Records)...))
	case ReplyPrevious:
		if earlier != nil {
			return earlier
		}
	}
	return r
}

func (s *Server) wireHolding(h held) *backendv1.Holding {
	out := &backendv1.Holding{Set: s.set, Shard: h.shard.ID(), Epoch: uint64(h.epoch)}
	for _, v := range h.versions {
		out.Versions = append(out.Versions, uint64(v))
	}
	return out
}

// fill sets the records of a reply with their count and digest.
func fill(r *backendv1.SearchReply, records []tier.Record) {
	r.Records = make([]*backendv1.Record, 0, len(records))
	for _, x := range records {
		r.Records = append(r.Records, &backendv1.Record{Key: x.Key(), Value: x.Value()})
	}
	r.Count = uint32(len(records))
	r.Digest = tier.Digest(records)
}

func wireRecords(list []*backendv1.Record) []tier.Record {
	out := make([]tier.Record, 0, len(list))
	for _, x := range list {
		out = append(out, tier.NewRecord(x.GetKey(), x.GetValue()))
	}
	return out
}
