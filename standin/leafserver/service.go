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

// service implements the LeafService of one server.
type service struct{ server *Server }

// Search searches one shard at one snapshot.
func (v *service) Search(ctx context.Context, q *connect.Request[backendv1.SearchRequest]) (*connect.Response[backendv1.SearchReply], error) {
	v.server.counters.searches.Add(1)
	fault, err := v.server.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer v.server.release()
	h, err := v.server.findHeld(q.Msg.GetShard(), q.Msg.GetSnapshot())
	if err != nil {
		return nil, err
	}
	_, tag := recordgenerator.SplitTerm(q.Msg.GetTerm())
	v.server.journal.addStarted(tag)
	if err := v.server.work(ctx, v.server.drawServiceTime()); err != nil {
		return nil, err
	}
	reply := v.server.runSearch(q.Msg, h)
	v.server.counters.served.Add(1)
	if fault == CallDropAfter {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(v.server.applyReplyFault(reply)), nil
}

// Book runs a booking. It takes effect halfway through its service time, so that a
// cancelled booking may or may not have taken effect.
func (v *service) Book(ctx context.Context, q *connect.Request[backendv1.BookRequest]) (*connect.Response[backendv1.BookReply], error) {
	v.server.counters.bookings.Add(1)
	fault, err := v.server.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer v.server.release()
	if _, ok := v.server.holdings.findAny(q.Msg.GetShard()); !ok {
		return nil, v.server.refuse(connect.CodeFailedPrecondition, "this server does not hold the shard")
	}
	half := v.server.drawServiceTime() / 2
	if err := v.server.work(ctx, half); err != nil {
		return nil, err
	}
	reply := v.server.applyBooking(q.Msg)
	if err := v.server.work(ctx, half); err != nil {
		return nil, err
	}
	if fault == CallDropAfter {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(reply), nil
}

// Health reports the server as it was health-lag-ms ago.
func (v *service) Health(context.Context, *connect.Request[backendv1.HealthRequest]) (*connect.Response[backendv1.HealthReply], error) {
	f := v.server.faults.get()
	if f.call == CallHang && f.callFraction >= 1 {
		panic(http.ErrAbortHandler)
	}
	if f.healthLag == 0 {
		v.server.recordHealth()
	}
	m := v.server.healthHistory.at(v.server.clock.Now(), f.healthLag)
	out := &backendv1.HealthReply{
		Server:     v.server.Name(),
		State:      m.state,
		Slots:      uint32(v.server.backend.Slots()),
		SlotsInUse: uint32(m.inUse),
	}
	if l := v.server.listener.Load(); l != nil {
		out.Connections = uint32(l.open.Load())
	}
	if state, ok := parseState(f.healthState); ok {
		out.State = state
	}
	for _, h := range m.holdings {
		out.Holdings = append(out.Holdings, v.server.holdingMessage(h))
	}
	return connect.NewResponse(out), nil
}

// admit takes a slot for a call. If it returns an error, the call has not run. It draws the
// fault of the call, and applies the kinds that take effect before the call runs.
func (s *Server) admit(ctx context.Context) (CallFault, error) {
	switch s.State() {
	case backendv1.ServerState_SERVER_STATE_LEAVING:
		return "", s.refuse(connect.CodeUnavailable, "this server is leaving")
	case backendv1.ServerState_SERVER_STATE_SHEDDING:
		if s.chance(shedFraction) {
			return "", s.refuse(connect.CodeResourceExhausted, "this server sheds load")
		}
	}
	fault := s.callFault()
	if fault == CallDropBefore {
		panic(http.ErrAbortHandler)
	}
	if err := s.slots.acquire(ctx); err != nil {
		return "", s.callError(err)
	}
	s.recordLoad()
	if fault != CallHang {
		return fault, nil
	}
	<-ctx.Done()
	s.release()
	return "", s.callError(ctx.Err())
}

// callFault draws the fault of a call.
func (s *Server) callFault() CallFault {
	f := s.faults.get()
	if f.call == CallNormal || !s.chance(f.callFraction) {
		return CallNormal
	}
	return f.call
}

// release gives back the slot of a call.
func (s *Server) release() {
	s.slots.release()
	s.recordLoad()
}

// work waits for a part of the service time. It returns early with an error when the call
// is cancelled or its deadline passes.
func (s *Server) work(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return s.callError(ctx.Err())
	}
}

// callError returns the Connect error of a call that was shed, cancelled or too late.
func (s *Server) callError(err error) error {
	if errors.Is(err, errShed) {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	s.counters.cancelled.Add(1)
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// refuse counts a refused call and returns its error.
func (s *Server) refuse(code connect.Code, reason string) error {
	s.counters.refused.Add(1)
	return connect.NewError(code, errors.New(reason))
}

// findHeld returns the shard, or refuses the call if the server does not hold the shard at
// the snapshot.
func (s *Server) findHeld(shard string, snapshot *backendv1.Snapshot) (heldShard, error) {
	h, ok := s.holdings.find(shard, tier.Epoch(snapshot.GetEpoch()))
	if ok && slices.Contains(h.versions, tier.Version(snapshot.GetVersion())) {
		return h, nil
	}
	return heldShard{}, s.refuse(connect.CodeFailedPrecondition, "this server does not hold the shard at the snapshot")
}

// runSearch reads the matching records, and journals the version that they come from, which
// a fault may make another than the reply says.
func (s *Server) runSearch(q *backendv1.SearchRequest, h heldShard) *backendv1.SearchReply {
	f := s.faults.get()
	requested := tier.Version(q.GetSnapshot().GetVersion())
	served := requested
	if f.serveVersion > 0 {
		served = f.serveVersion
	}
	reported := served
	if f.claimRequestedVersion {
		reported = requested
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
	reply := &backendv1.SearchReply{
		Attempt:  q.GetAttempt(),
		Set:      s.set,
		Shard:    q.GetShard(),
		Snapshot: &backendv1.Snapshot{Epoch: uint64(h.epoch), Version: uint64(reported)},
		Holding:  s.holdingMessage(h),
		State:    s.State(),
	}
	setRecords(reply, records)
	return reply
}

// applyBooking journals a booking as having taken effect, and returns the reply.
func (s *Server) applyBooking(q *backendv1.BookRequest) *backendv1.BookReply {
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

// applyReplyFault falsifies a reply, with the probability that is set.
func (s *Server) applyReplyFault(r *backendv1.SearchReply) *backendv1.SearchReply {
	f := s.faults.get()
	s.mu.Lock()
	previous := s.previousReply
	s.previousReply = proto.Clone(r).(*backendv1.SearchReply)
	s.mu.Unlock()
	if f.reply == ReplyIntact || !s.chance(f.replyFraction) {
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
		setRecords(r, append(parseRecords(r.Records), parseRecords(r.Records)...))
	case ReplyPrevious:
		if previous != nil {
			return previous
		}
	}
	return r
}

// holdingMessage converts a held shard to its protobuf message.
func (s *Server) holdingMessage(h heldShard) *backendv1.Holding {
	out := &backendv1.Holding{Set: s.set, Shard: h.shard.ID(), Epoch: uint64(h.epoch)}
	for _, v := range h.versions {
		out.Versions = append(out.Versions, uint64(v))
	}
	return out
}

// setRecords sets the records of a reply, their count and their digest.
func setRecords(r *backendv1.SearchReply, records []tier.Record) {
	r.Records = make([]*backendv1.Record, 0, len(records))
	for _, x := range records {
		r.Records = append(r.Records, &backendv1.Record{Key: x.Key(), Value: x.Value()})
	}
	r.Count = uint32(len(records))
	r.Digest = tier.Digest(records)
}

// parseRecords converts the records of a reply from their protobuf messages.
func parseRecords(list []*backendv1.Record) []tier.Record {
	out := make([]tier.Record, 0, len(list))
	for _, x := range list {
		out = append(out, tier.NewRecord(x.GetKey(), x.GetValue()))
	}
	return out
}
