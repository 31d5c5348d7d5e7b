package leafserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// faultOrder changes servers: those named by server, set and data centre,
// each of which may be left out. Fields left out stay as they are.
type faultOrder struct {
	Server        string          `json:"server,omitempty"`
	Set           string          `json:"set,omitempty"`
	DataCentre    string          `json:"data-centre,omitempty"`
	Clear         bool            `json:"clear,omitempty"`
	SlowFactor    *float64        `json:"slow-factor,omitempty"`
	HealthLag     *tier.Millis    `json:"health-lag-ms,omitempty"`
	HealthState   *string         `json:"health-state,omitempty"`
	ServeVersion  *tier.Version   `json:"serve-version,omitempty"`
	Disguise      *bool           `json:"disguise,omitempty"`
	Reply         *ReplyFault     `json:"reply,omitempty"`
	ReplyFraction *float64        `json:"reply-fraction,omitempty"`
	Call          *CallFault      `json:"call,omitempty"`
	CallFraction  *float64        `json:"call-fraction,omitempty"`
	Down          *bool           `json:"down,omitempty"`
	State         string          `json:"state,omitempty"`
	Publish       tier.Version    `json:"publish,omitempty"`
	Drop          tier.Version    `json:"drop,omitempty"`
	Learn         json.RawMessage `json:"learn,omitempty"`
	Forget        tier.Epoch      `json:"forget,omitempty"`
}

type faultReply struct {
	Changed int `json:"changed"`
}

type errorReply struct {
	Error string `json:"error"`
}

type bookedReply struct {
	Booked  []AppliedBooking `json:"booked"`
	Skipped int              `json:"skipped"`
}

type servedReply struct {
	Served  []ServedSearch `json:"served"`
	Skipped int            `json:"skipped"`
}

// startedQuery asks which of the tags of searches began to run.
type startedQuery struct {
	Tags []string `json:"tags"`
}

type startedReply struct {
	Started []string `json:"started"`
	Skipped int      `json:"skipped"`
}

type countersReply struct {
	Servers []Counters `json:"servers"`
}

// Counters are what one server counted since its start.
type Counters struct {
	Server             string `json:"server"`
	Set                string `json:"set"`
	State              string `json:"state"`
	Slots              int    `json:"slots"`
	Searches           int64  `json:"searches"`
	Bookings           int64  `json:"bookings"`
	Served             int64  `json:"served"`
	Booked             int64  `json:"booked"`
	Shed               int64  `json:"shed"`
	Refused            int64  `json:"refused"`
	Cancelled          int64  `json:"cancelled"`
	Overbooked         int64  `json:"overbooked"` // calls that found no slot free
	InUse              int64  `json:"in-use"`
	InUseMax           int64  `json:"in-use-max"`
	OfferedMax         int64  `json:"offered-max"` // running and waiting together
	Connections        int64  `json:"connections"`
	ConnectionsMax     int64  `json:"connections-max"`
	ConnectionsMade    int64  `json:"connections-made"`
	ConnectionsRefused int64  `json:"connections-refused"`
}

// Counters reads the server's counters.
func (s *Server) Counters() Counters {
	out := Counters{
		Server:     s.Name(),
		Set:        s.set,
		State:      stateName(s.State()),
		Slots:      s.backend.Slots(),
		Searches:   s.counters.searches.Load(),
		Bookings:   s.counters.bookings.Load(),
		Served:     s.counters.served.Load(),
		Booked:     s.counters.booked.Load(),
		Shed:       s.gate.shed.Load(),
		Refused:    s.counters.refused.Load(),
		Cancelled:  s.counters.cancelled.Load(),
		Overbooked: s.gate.overbooked.Load(),
		InUse:      s.gate.inUse(),
		InUseMax:   s.gate.inUseMax.Load(),
		OfferedMax: s.gate.offeredMax.Load(),
	}
	if l := s.listener.Load(); l != nil {
		out.Connections = l.open.Load()
		out.ConnectionsMax = l.openMax.Load()
		out.ConnectionsMade = l.made.Load()
		out.ConnectionsRefused = l.refused.Load()
	}
	return out
}

// ControlHandler is the handler of the control port: POST /faults, GET /served,
// /booked (both ?from=N, the first entry wanted) and /counters, POST /started.
func (f *Fleet) ControlHandler() http.Handler {
	e := echo.New()
	e.POST("/faults", f.postFaults)
	e.GET("/served", func(c echo.Context) error {
		return c.JSON(http.StatusOK, servedReply{Served: f.journal.ServedSearches(from(c)), Skipped: f.journal.skips().served})
	})
	e.GET("/booked", func(c echo.Context) error {
		return c.JSON(http.StatusOK, bookedReply{Booked: f.journal.AppliedBookings(from(c)), Skipped: f.journal.skips().booked})
	})
	e.GET("/counters", f.getCounters)
	e.POST("/started", f.postStarted)
	return e
}

func (f *Fleet) getCounters(c echo.Context) error {
	out := countersReply{Servers: []Counters{}}
	for _, s := range f.servers {
		out.Servers = append(out.Servers, s.Counters())
	}
	return c.JSON(http.StatusOK, out)
}

func (f *Fleet) postStarted(c echo.Context) error {
	var q startedQuery
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, startedReply{Started: f.journal.StartedTags(q.Tags), Skipped: f.journal.skips().started})
}

func (f *Fleet) postFaults(c echo.Context) error {
	var o faultOrder
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	n, err := f.apply(o)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, faultReply{Changed: n})
}

// apply checks an order whole before it changes any server.
func (f *Fleet) apply(o faultOrder) (int, error) {
	state, ok := parseState(o.State)
	if o.State != "" && !ok {
		return 0, errors.Errorf("unknown state %q", o.State)
	}
	var learned *tier.ShardSet
	if len(o.Learn) > 0 {
		d, err := parser.ParseSet(o.Learn)
		if err != nil {
			return 0, errors.Wrap(err, "Fleet.apply")
		}
		learned = d.Set()
	}
	changed := 0
	for _, s := range f.servers {
		if !o.names(s) || (learned != nil && learned.Name() != s.set) {
			continue
		}
		changed++
		s.faults.change(o.change)
		s.hold(o, learned)
		if err := s.setDown(o); err != nil {
			return 0, errors.Wrap(err, "Fleet.apply")
		}
		if ok {
			s.SetState(state)
		}
	}
	if changed == 0 {
		return 0, errors.New("no server matches server, set and data-centre")
	}
	return changed, nil
}

func (o faultOrder) names(s *Server) bool {
	return (o.Server == "" || o.Server == s.Name()) &&
		(o.Set == "" || o.Set == s.Set()) &&
		(o.DataCentre == "" || o.DataCentre == s.DataCentre())
}

func (o faultOrder) change(f *faultState) {
	if o.Clear {
		*f = noFaults()
	}
	set(&f.slowFactor, o.SlowFactor)
	set(&f.healthLag, o.HealthLag)
	set(&f.healthState, o.HealthState)
	set(&f.serveVersion, o.ServeVersion)
	set(&f.disguise, o.Disguise)
	set(&f.reply, o.Reply)
	set(&f.replyFraction, o.ReplyFraction)
	set(&f.call, o.Call)
	set(&f.callFraction, o.CallFraction)
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// setDown loses the server, or brings it back.
func (s *Server) setDown(o faultOrder) error {
	l := s.listener.Load()
	if l == nil || (o.Down == nil && !o.Clear) {
		return nil
	}
	return l.setDown(o.Down != nil && *o.Down)
}

// hold changes what the server holds.
func (s *Server) hold(o faultOrder, learned *tier.ShardSet) {
	if learned != nil {
		s.holdings.learn(learned)
	}
	if o.Forget > 0 {
		s.holdings.forget(o.Forget)
	}
	if o.Publish > 0 {
		s.holdings.publish(o.Publish)
	}
	if o.Drop > 0 {
		s.holdings.drop(o.Drop)
	}
	s.note()
}

func from(c echo.Context) int {
	n, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil {
		return 0
	}
	return n
}
