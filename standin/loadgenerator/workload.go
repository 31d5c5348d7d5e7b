// Package loadgenerator sends named workloads to a running deployment at set rates,
// whether or not earlier requests have ended, checks each answer on arrival
// and sums up what came back.
package loadgenerator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/reporter"
	"cicadagrade.example/tier"
)

// Bounds of a workload.
const (
	maxSeconds         = 900
	maxRequests        = 500_000
	defaultMaxInFlight = 2000
	limitMaxInFlight   = 20_000
)

// The kinds of a stream's requests.
const (
	kindSearch = "search"
	kindBook   = "book"
)

// Workload is a list of phases that follow each other without a pause.
type Workload struct {
	name        string
	seed        uint64
	maxInFlight int
	planned     bool // VMs only stop as planned: no request may be cut off
	phases      []phase
	maps        []*tier.ShardSet // later shard maps that answers may name
}

type phase struct {
	name    string
	seconds float64
	streams []stream
	orders  []order
}

type stream struct {
	name     string
	profile  *tier.Profile
	set      *tier.ShardSet
	book     bool
	bare     bool
	rate     float64
	deadline tier.Millis
	vms      []int // indices of the VMs that are asked
	repeats  float64
}

// order is posted to a control port during a phase.
type order struct {
	after tier.Millis
	to    string
	body  []byte
}

type workloadDocument struct {
	Name        string          `json:"name"`
	Description string          `json:"description"`
	Seed        uint64          `json:"seed"`
	MaxInFlight int             `json:"max-in-flight"`
	Planned     bool            `json:"planned-stops-only"`
	ShardMaps   []string        `json:"shard-maps"` // set documents of later epochs, relative to this file
	Phases      []phaseDocument `json:"phases"`
}

type phaseDocument struct {
	Name    string           `json:"name"`
	Seconds float64          `json:"seconds"`
	Streams []streamDocument `json:"streams"`
	Orders  []orderDocument  `json:"orders"`
}

type streamDocument struct {
	Profile    string      `json:"profile"`
	Set        string      `json:"set"`
	Kind       string      `json:"kind"`
	Rate       float64     `json:"rate"` // requests a second
	Deadline   tier.Millis `json:"deadline-ms"`
	DataCentre string      `json:"data-centre"` // of the VMs that are asked; empty: all
	VM         string      `json:"vm"`          // the one VM that is asked; empty: all
	Repeats    float64     `json:"repeats"`     // fraction of bookings sent twice
	Bare       bool        `json:"bare"`        // searches go straight to the backend servers
}

type orderDocument struct {
	After tier.Millis     `json:"after-ms"`
	To    string          `json:"to"` // backends, links or store
	Order json.RawMessage `json:"order"`
	Learn string          `json:"learn-file"` // a set document, in place of an order
}

// The control ports that orders go to.
const (
	toBackends = "backends"
	toLinks    = "links"
	toStore    = "store"
)

// Read reads a workload's file for a deployment.
func Read(path string, d *deployer.Deployment) (*Workload, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	var doc workloadDocument
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	w := &Workload{name: doc.Name, seed: doc.Seed, maxInFlight: doc.MaxInFlight, planned: doc.Planned}
	if w.maxInFlight == 0 {
		w.maxInFlight = defaultMaxInFlight
	}
	for _, name := range doc.ShardMaps {
		m, err := deployer.ReadSet(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			return nil, errors.Wrap(err, "Read "+path)
		}
		w.maps = append(w.maps, m)
	}
	if err := doc.learn(filepath.Dir(path)); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	if err := w.read(doc, d); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	return w, nil
}

// learn turns each learn-file into an order for the backend servers.
func (doc *workloadDocument) learn(dir string) error {
	for i := range doc.Phases {
		orders := doc.Phases[i].Orders
		for j := range orders {
			if orders[j].Learn == "" {
				continue
			}
			b, err := os.ReadFile(filepath.Join(dir, orders[j].Learn))
			if err != nil {
				return err
			}
			orders[j].Order = leafserver.LearnRequest(b)
		}
	}
	return nil
}

// read resolves names and checks the bounds, reporting every bad field.
func (w *Workload) read(doc workloadDocument, d *deployer.Deployment) error {
	var l problems
	seconds, requests := 0.0, 0.0
	l.check(w.maxInFlight > 0 && w.maxInFlight <= limitMaxInFlight, "max-in-flight", w.maxInFlight, "1 to 20000")
	for i, x := range doc.Phases {
		path := fmt.Sprintf("phases[%d]", i)
		l.check(x.Seconds > 0, path+".seconds", x.Seconds, "above 0")
		f := phase{name: x.Name, seconds: x.Seconds}
		for j, s := range x.Streams {
			f.streams = append(f.streams, l.stream(fmt.Sprintf("%s.streams[%d]", path, j), s, d))
			requests += s.Rate * x.Seconds * (1 + s.Repeats)
		}
		for j, o := range x.Orders {
			l.check(o.To == toBackends || o.To == toLinks || o.To == toStore, fmt.Sprintf("%s.orders[%d].to", path, j), o.To, "backends, links or store")
			f.orders = append(f.orders, order{after: o.After, to: o.To, body: o.Order})
		}
		seconds += x.Seconds
		w.phases = append(w.phases, f)
	}
	l.check(len(doc.Phases) > 0 && seconds <= maxSeconds, "phases", seconds, "at least one phase, 900 seconds in all")
	l.check(requests <= maxRequests, "phases", requests, "at most 500000 requests in all")
	return tier.NewInvalidError("workload "+doc.Name, l)
}

type problems []tier.FieldProblem

func (l *problems) check(ok bool, path string, value any, allowed string) {
	if !ok {
		*l = append(*l, tier.NewFieldProblem(path, value, allowed))
	}
}

func (l *problems) stream(path string, s streamDocument, d *deployer.Deployment) stream {
	p, known := d.Profile(s.Profile)
	l.check(known, path+".profile", s.Profile, "a profile of the deployment")
	set, found := d.Set(s.Set)
	l.check(found, path+".set", s.Set, "a set of the deployment")
	l.check(s.Kind == "" || s.Kind == kindSearch || s.Kind == kindBook, path+".kind", s.Kind, "search or book")
	l.check(s.Rate > 0, path+".rate", s.Rate, "above 0")
	l.check(s.Deadline >= 0, path+".deadline-ms", s.Deadline, "at least 1, or left out")
	l.check(s.Repeats >= 0 && s.Repeats <= 1, path+".repeats", s.Repeats, "0 to 1")
	vms := entries(d, s.DataCentre, s.VM)
	l.check(len(vms) > 0, path+".data-centre", s.DataCentre+" "+s.VM, "data centre and VM of the deployment that fit together")
	out := stream{
		name:     s.Profile + "/" + s.Set,
		profile:  p,
		set:      set,
		book:     s.Kind == kindBook,
		bare:     s.Bare,
		rate:     s.Rate,
		deadline: s.Deadline,
		vms:      vms,
		repeats:  s.Repeats,
	}
	l.check(!out.book || !out.bare, path+".bare", s.Bare, "false for bookings")
	if out.book {
		out.name += "/" + kindBook
	}
	for _, place := range []string{s.DataCentre, s.VM} {
		if place != "" {
			out.name += "/" + place
		}
	}
	if out.bare {
		out.name += reporter.DirectSuffix
	}
	if out.deadline == 0 && known {
		out.deadline = p.Deadline()
	}
	return out
}

// entries lists the indices of the VMs of a data centre, of one name, or of
// all.
func entries(d *deployer.Deployment, dataCentre, name string) []int {
	var out []int
	for i, v := range d.VMs() {
		if (dataCentre == "" || v.DataCentre() == dataCentre) && (name == "" || v.Name() == name) {
			out = append(out, i)
		}
	}
	return out
}
