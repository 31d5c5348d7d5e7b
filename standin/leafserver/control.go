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

// faultRequest changes the faults, state and holdings of the servers that match Server, Set
// and DataCentre; an empty one matches all. Settings that are left out stay as they are.
type faultRequest struct {
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

// startedRequest asks for which of the tags a search began to run.
type startedRequest struct {
	Tags []string `json:"tags"`
}

type startedReply struct {
	Started []string `json:"started"`
	Skipped int      `json:"skipped"`
}

type countersReply struct {
	Servers []Counters `json:"servers"`
}

// Counters are one server's counters since its start.
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
	Overbooked         int64  `json:"overbooked"` // calls that found no free slot
	InUse              int64  `json:"in-use"`
	InUseMax           int64  `json:"in-use-max"`
	OfferedMax         int64  `json:"offered-max"` // most calls running and queued at once
	Connections        int64  `json:"connections"`
	ConnectionsMax     int64  `json:"connections-max"`
	ConnectionsMade    int64  `json:"connections-made"`
	ConnectionsRefused int64  `json:"connections-refused"`
}

// Counters returns the server's current counters.
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
		Shed:       s.slots.shed.Load(),
		Refused:    s.counters.refused.Load(),
		Cancelled:  s.counters.cancelled.Load(),
		Overbooked: s.slots.noFreeSlot.Load(),
		InUse:      s.slots.inUse(),
		InUseMax:   s.slots.inUseMax.Load(),
		OfferedMax: s.slots.offeredMax.Load(),
	}
	if l := s.listener.Load(); l != nil {
		out.Connections = l.open.Load()
		out.ConnectionsMax = l.openMax.Load()
		out.ConnectionsMade = l.accepted.Load()
		out.ConnectionsRefused = l.refused.Load()
	}
	return out
}

// ControlHandler returns the handler of the control port: POST /faults and /started, GET
// /served, /booked and /counters. /served and /booked list the journal's entries from index
// ?from=N.
func (f *Fleet) ControlHandler() http.Handler {
	e := echo.New()
	e.POST("/faults", f.postFaults)
	e.GET("/served", func(c echo.Context) error {
		return c.JSON(http.StatusOK, servedReply{Served: f.journal.ServedSearches(fromParam(c)), Skipped: f.journal.skippedCounts().served})
	})
	e.GET("/booked", func(c echo.Context) error {
		return c.JSON(http.StatusOK, bookedReply{Booked: f.journal.AppliedBookings(fromParam(c)), Skipped: f.journal.skippedCounts().booked})
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
	var q startedRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, startedReply{Started: f.journal.StartedTags(q.Tags), Skipped: f.journal.skippedCounts().started})
}

func (f *Fleet) postFaults(c echo.Context) error {
	var q faultRequest
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	n, err := f.apply(q)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, faultReply{Changed: n})
}

// apply validates a request before it changes any server, and returns the number of servers
// that it changed.
func (f *Fleet) apply(q faultRequest) (int, error) {
	state, ok := parseState(q.State)
	if q.State != "" && !ok {
		return 0, errors.Errorf("unknown state %q", q.State)
	}
	var newMap *tier.ShardSet
	if len(q.Learn) > 0 {
		d, err := parser.ParseSet(q.Learn)
		if err != nil {
			return 0, errors.Wrap(err, "Fleet.apply")
		}
		newMap = d.Set()
	}
	changed := 0
	for _, s := range f.servers {
		if !q.matches(s) || (newMap != nil && newMap.Name() != s.set) {
			continue
		}
		changed++
		s.faults.update(q.applyTo)
		s.updateHoldings(q, newMap)
		if err := s.setDown(q); err != nil {
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

// matches reports whether the request applies to the server.
func (q faultRequest) matches(s *Server) bool {
	return (q.Server == "" || q.Server == s.Name()) &&
		(q.Set == "" || q.Set == s.Set()) &&
		(q.DataCentre == "" || q.DataCentre == s.DataCentre())
}

// applyTo changes the faults that the request gives, after clearing all if it says so.
func (q faultRequest) applyTo(f *faultState) {
	if q.Clear {
		*f = noFaults()
	}
	setIfGiven(&f.slowFactor, q.SlowFactor)
	setIfGiven(&f.healthLag, q.HealthLag)
	setIfGiven(&f.healthState, q.HealthState)
	setIfGiven(&f.serveVersion, q.ServeVersion)
	setIfGiven(&f.claimRequestedVersion, q.Disguise)
	setIfGiven(&f.reply, q.Reply)
	setIfGiven(&f.replyFraction, q.ReplyFraction)
	setIfGiven(&f.call, q.Call)
	setIfGiven(&f.callFraction, q.CallFraction)
}

// setIfGiven copies from to to, unless from is nil.
func setIfGiven[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// setDown takes the server down, or brings it up again.
func (s *Server) setDown(q faultRequest) error {
	l := s.listener.Load()
	if l == nil || (q.Down == nil && !q.Clear) {
		return nil
	}
	return l.setDown(q.Down != nil && *q.Down)
}

// updateHoldings changes the server's shard maps and index versions.
func (s *Server) updateHoldings(q faultRequest, newMap *tier.ShardSet) {
	if newMap != nil {
		s.holdings.addMap(newMap)
	}
	if q.Forget > 0 {
		s.holdings.removeMap(q.Forget)
	}
	if q.Publish > 0 {
		s.holdings.addVersion(q.Publish)
	}
	if q.Drop > 0 {
		s.holdings.removeVersion(q.Drop)
	}
	s.recordHealth()
}

// fromParam reads the query parameter from; 0 if it is missing or not a number.
func fromParam(c echo.Context) int {
	n, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil {
		return 0
	}
	return n
}
