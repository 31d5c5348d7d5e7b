package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
)

// Relay is a number of links with one control port.
type Relay struct {
	control string
	links   []*Link
}

type configDocument struct {
	Control string         `json:"control"`
	Links   []linkDocument `json:"links"`
}

type linkDocument struct {
	Name   string      `json:"name"`
	From   string      `json:"from"`
	To     string      `json:"to"`
	Listen string      `json:"listen"`
	Target string      `json:"target"`
	Delay  tier.Millis `json:"delay-ms"`
}

// linkOrder changes links: the one named, or all between two places, of
// which each may be left out. Fields left out stay as they are.
type linkOrder struct {
	Name        string       `json:"name,omitempty"`
	From        string       `json:"from,omitempty"`
	To          string       `json:"to,omitempty"`
	BothWays    bool         `json:"both-ways,omitempty"`
	Cut         *Cut         `json:"cut,omitempty"`
	Delay       *tier.Millis `json:"delay-ms,omitempty"`
	LoseAnswers *bool        `json:"lose-answers,omitempty"`
}

type linkStatus struct {
	Name        string      `json:"name"`
	From        string      `json:"from"`
	To          string      `json:"to"`
	Listen      string      `json:"listen"`
	Target      string      `json:"target"`
	Cut         Cut         `json:"cut"`
	Delay       tier.Millis `json:"delay-ms"`
	LoseAnswers bool        `json:"lose-answers"`
	Connections int64       `json:"connections"`
	LostBytes   int64       `json:"lost-bytes"`
}

type changedReply struct {
	Changed int `json:"changed"`
}

type errorReply struct {
	Error string `json:"error"`
}

// New returns a relay of links.
func New(control string, links ...*Link) *Relay { return &Relay{control: control, links: links} }

// Read reads a relay's configuration file.
func Read(path string) (*Relay, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	var doc configDocument
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	r := New(doc.Control)
	for _, l := range doc.Links {
		r.links = append(r.links, NewLink(l.Name, l.From, l.To, l.Listen, l.Target, NewCondition(CutNone, l.Delay, false)))
	}
	return r, nil
}

// Encode writes the configuration that Read reads.
func Encode(r *Relay) ([]byte, error) {
	doc := configDocument{Control: r.control}
	for _, l := range r.links {
		doc.Links = append(doc.Links, linkDocument{
			Name:   l.name,
			From:   l.from,
			To:     l.to,
			Listen: l.listen,
			Target: l.target,
			Delay:  l.Condition().delay,
		})
	}
	b, err := json.Marshal(doc)
	return b, errors.Wrap(err, "Encode")
}

// ControlAddress is where the control port listens.
func (r *Relay) ControlAddress() string { return r.control }

// Links lists the links.
func (r *Relay) Links() []*Link { return r.links }

// Serve runs all links until ctx ends or one fails to listen.
func (r *Relay) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range r.links {
		g.Go(func() error { return l.Serve(ctx) })
	}
	return g.Wait()
}

// ControlHandler is the handler of the control port: GET and POST /links.
func (r *Relay) ControlHandler() http.Handler {
	e := echo.New()
	e.GET("/links", func(c echo.Context) error { return c.JSON(http.StatusOK, r.status()) })
	e.POST("/links", r.postLinks)
	return e
}

func (r *Relay) status() []linkStatus {
	out := []linkStatus{}
	for _, l := range r.links {
		c := l.Condition()
		out = append(out, linkStatus{
			Name:        l.name,
			From:        l.from,
			To:          l.to,
			Listen:      l.listen,
			Target:      l.target,
			Cut:         c.cut,
			Delay:       c.delay,
			LoseAnswers: c.loseAnswers,
			Connections: l.open.Load(),
			LostBytes:   l.lost.Load(),
		})
	}
	return out
}

func (r *Relay) postLinks(c echo.Context) error {
	var o linkOrder
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{Error: err.Error()})
	}
	if o.Cut != nil && !o.Cut.Valid() {
		return c.JSON(http.StatusBadRequest, errorReply{Error: "cut is none, stall or reset"})
	}
	n := r.apply(o)
	if n == 0 {
		return c.JSON(http.StatusBadRequest, errorReply{Error: "no link matches name, from and to"})
	}
	return c.JSON(http.StatusOK, changedReply{Changed: n})
}

func (r *Relay) apply(o linkOrder) int {
	changed := 0
	for _, l := range r.links {
		if !o.names(l) {
			continue
		}
		changed++
		l.SetCondition(o.change(l.Condition()))
	}
	return changed
}

func (o linkOrder) names(l *Link) bool {
	if o.Name != "" && o.Name != l.name {
		return false
	}
	return o.joins(l.from, l.to) || (o.BothWays && o.joins(l.to, l.from))
}

func (o linkOrder) joins(from, to string) bool {
	return (o.From == "" || o.From == from) && (o.To == "" || o.To == to)
}

func (o linkOrder) change(c Condition) Condition {
	if o.Cut != nil {
		c.cut = *o.Cut
	}
	if o.Delay != nil {
		c.delay = *o.Delay
	}
	if o.LoseAnswers != nil {
		c.loseAnswers = *o.LoseAnswers
	}
	return c
}
