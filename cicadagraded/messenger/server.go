package messenger

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Owners runs parts of searches on the owners on this VM.
type Owners interface {
	Search(ctx context.Context, set string, s owner.Search) owner.PartResult
	// Threshold returns the admission threshold of a set's owner on this VM.
	Threshold(set string) admitter.Threshold
}

// Booker runs bookings on this VM, each at most once.
type Booker interface {
	Book(ctx context.Context, b coordinator.ForwardedBooking) (tier.Outcome, error)
}

// Exchanger handles gossip exchanges.
type Exchanger interface {
	Exchange(context.Context, *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error)
}

// Fetcher handles fetches of configuration documents.
type Fetcher interface {
	Fetch(context.Context, *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error)
}

// Server handles the requests of other VMs.
type Server struct {
	Exchanger
	Fetcher
	clock  *tier.Clock
	owners Owners
	booker Booker
	begin  func(name string) (end func())
}

// NewServer returns the server of a VM. begin is called at the start of each request that
// another VM forwards, and end when it has finished, so that a graceful shutdown can wait for
// them.
func NewServer(clock *tier.Clock, o Owners, b Booker, e Exchanger, f Fetcher, begin func(name string) (end func())) *Server {
	return &Server{Exchanger: e, Fetcher: f, clock: clock, owners: o, booker: b, begin: begin}
}

// Handler returns the HTTP handler of the peer service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s))
	return mux
}

// Ask implements the peer service's Ask: it runs a part of a search.
func (s *Server) Ask(ctx context.Context, r *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskReply], error) {
	defer s.begin("ask of " + r.Msg.GetFront())()
	p, err := fromTerms(r.Msg.GetTerms())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Wrap(err, "Server.Ask"))
	}
	snapshot := fromPeerSnapshot(r.Msg.GetSnapshot())
	deadline := s.clock.Now() + tier.Millis(r.Msg.GetDeadlineMs())
	result := s.search(ctx, r.Msg.GetSet(), owner.NewSearch(p, snapshot, r.Msg.GetShards(), r.Msg.GetTerm(), deadline))
	if _, ok := result.(*owner.Unknown); ok {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, errors.New("the part was given up"))
	}
	reply := toAskReply(r.Msg.GetPart(), snapshot, result)
	reply.Request = r.Msg.GetRequest()
	reply.Admission = toAdmission(s.owners.Threshold(r.Msg.GetSet()))
	return connect.NewResponse(reply), nil
}

func (s *Server) search(ctx context.Context, set string, q owner.Search) owner.PartResult {
	return s.owners.Search(ctx, set, q)
}

// Book implements the peer service's Book: it runs a booking.
func (s *Server) Book(ctx context.Context, r *connect.Request[peerv1.BookRequest]) (*connect.Response[peerv1.BookReply], error) {
	defer s.begin("book " + r.Msg.GetRequest())()
	p, err := fromTerms(r.Msg.GetTerms())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errors.Wrap(err, "Server.Book"))
	}
	m := r.Msg
	deadline := s.clock.Now() + tier.Millis(m.GetDeadlineMs())
	b := coordinator.NewBooking(m.GetRequest(), p, m.GetSet(), m.GetRecordKey(), m.GetBody(), deadline,
		coordinator.WithIdempotencyKey(m.GetIdempotencyKey(), m.GetFirst()))
	o, err := s.book(ctx, coordinator.NewForwardedBooking(b, m.GetShard(), m.GetMinted()))
	if err != nil {
		return nil, toWireBookError(err)
	}
	reply := toBookReply(o)
	reply.Request = m.GetRequest()
	reply.IdempotencyKey = m.GetIdempotencyKey()
	return connect.NewResponse(reply), nil
}

func (s *Server) book(ctx context.Context, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	return s.booker.Book(ctx, b)
}
