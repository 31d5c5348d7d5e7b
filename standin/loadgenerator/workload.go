// Package loadgenerator generates load: it sends the requests of a workload file to a running
// deployment at fixed mean rates, whether or not earlier requests have ended (open
// loop). It checks each answer on arrival and aggregates the results.
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

// Limits of a workload.
const (
	maxTotalSeconds    = 900
	maxTotalRequests   = 500_000
	defaultMaxInFlight = 2000
	highestMaxInFlight = 20_000
)

// The kinds of a stream's requests.
const (
	kindSearch = "search"
	kindBook   = "book"
)

// Workload is a list of phases that run one after the other without a pause.
type Workload struct {
	name             string
	seed             uint64
	maxInFlight      int
	plannedStopsOnly bool // VMs are only stopped gracefully: every request must get an answer
	phases           []phase
	laterShardMaps   []*tier.ShardSet // shard maps of later epochs that answers may refer to
}

type phase struct {
	name     string
	seconds  float64
	streams  []stream
	commands []command
}

type stream struct {
	name           string
	profile        *tier.Profile
	set            *tier.ShardSet
	book           bool
	direct         bool
	rate           float64
	deadline       tier.Millis
	vms            []int // indices of the VMs that get the requests
	repeatFraction float64
}

// command is sent to a control port during a phase.
type command struct {
	after  tier.Millis
	target string
	body   []byte
}

type workloadDocument struct {
	Name             string          `json:"name"`
	Description      string          `json:"description"`
	Seed             uint64          `json:"seed"`
	MaxInFlight      int             `json:"max-in-flight"`
	PlannedStopsOnly bool            `json:"planned-stops-only"`
	ShardMaps        []string        `json:"shard-maps"` // set documents of later epochs; paths relative to this file
	Phases           []phaseDocument `json:"phases"`
}

type phaseDocument struct {
	Name     string            `json:"name"`
	Seconds  float64           `json:"seconds"`
	Streams  []streamDocument  `json:"streams"`
	Commands []commandDocument `json:"orders"`
}

type streamDocument struct {
	Profile    string      `json:"profile"`
	Set        string      `json:"set"`
	Kind       string      `json:"kind"`
	Rate       float64     `json:"rate"` // requests per second
	Deadline   tier.Millis `json:"deadline-ms"`
	DataCentre string      `json:"data-centre"` // send only to the VMs of this data centre; empty: to all
	VM         string      `json:"vm"`          // send only to this VM; empty: to all
	Repeats    float64     `json:"repeats"`     // fraction of the bookings that are sent twice
	Bare       bool        `json:"bare"`        // searches bypass the tier and go to the backend servers
}

type commandDocument struct {
	After     tier.Millis     `json:"after-ms"`
	To        string          `json:"to"` // backends, links or store
	Command   json.RawMessage `json:"order"`
	LearnFile string          `json:"learn-file"` // set document that backend servers add; replaces "order"
}

// The values of "to": whose control port a command goes to.
const (
	targetBackends = "backends"
	targetLinks    = "links"
	targetStore    = "store"
)

// Read reads and validates the workload file at path for a deployment.
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
	w := &Workload{name: doc.Name, seed: doc.Seed, maxInFlight: doc.MaxInFlight, plannedStopsOnly: doc.PlannedStopsOnly}
	if w.maxInFlight == 0 {
		w.maxInFlight = defaultMaxInFlight
	}
	for _, name := range doc.ShardMaps {
		m, err := deployer.ReadSet(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			return nil, errors.Wrap(err, "Read "+path)
		}
		w.laterShardMaps = append(w.laterShardMaps, m)
	}
	if err := doc.resolveLearnFiles(filepath.Dir(path)); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	if err := w.resolve(doc, d); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	return w, nil
}

// resolveLearnFiles replaces each learn-file by a command that has the backend servers
// learn its set document.
func (doc *workloadDocument) resolveLearnFiles(dir string) error {
	for i := range doc.Phases {
		commands := doc.Phases[i].Commands
		for j := range commands {
			if commands[j].LearnFile == "" {
				continue
			}
			b, err := os.ReadFile(filepath.Join(dir, commands[j].LearnFile))
			if err != nil {
				return err
			}
			commands[j].Command = leafserver.LearnRequest(b)
		}
	}
	return nil
}

// resolve looks up the names in the document and validates it. The error reports every
// bad field.
func (w *Workload) resolve(doc workloadDocument, d *deployer.Deployment) error {
	var l problems
	totalSeconds, totalRequests := 0.0, 0.0
	l.check(w.maxInFlight > 0 && w.maxInFlight <= highestMaxInFlight, "max-in-flight", w.maxInFlight, "1 to 20000")
	for i, x := range doc.Phases {
		path := fmt.Sprintf("phases[%d]", i)
		l.check(x.Seconds > 0, path+".seconds", x.Seconds, "above 0")
		f := phase{name: x.Name, seconds: x.Seconds}
		for j, s := range x.Streams {
			f.streams = append(f.streams, l.resolveStream(fmt.Sprintf("%s.streams[%d]", path, j), s, d))
			totalRequests += s.Rate * x.Seconds * (1 + s.Repeats)
		}
		for j, o := range x.Commands {
			l.check(o.To == targetBackends || o.To == targetLinks || o.To == targetStore, fmt.Sprintf("%s.orders[%d].to", path, j), o.To, "backends, links or store")
			f.commands = append(f.commands, command{after: o.After, target: o.To, body: o.Command})
		}
		totalSeconds += x.Seconds
		w.phases = append(w.phases, f)
	}
	l.check(len(doc.Phases) > 0 && totalSeconds <= maxTotalSeconds, "phases", totalSeconds, "at least one phase, at most 900 seconds in total")
	l.check(totalRequests <= maxTotalRequests, "phases", totalRequests, "at most 500000 requests in total")
	return tier.NewInvalidError("workload "+doc.Name, l)
}

type problems []tier.FieldProblem

func (l *problems) check(ok bool, path string, value any, allowed string) {
	if !ok {
		*l = append(*l, tier.NewFieldProblem(path, value, allowed))
	}
}

func (l *problems) resolveStream(path string, s streamDocument, d *deployer.Deployment) stream {
	p, known := d.Profile(s.Profile)
	l.check(known, path+".profile", s.Profile, "a profile of the deployment")
	set, found := d.Set(s.Set)
	l.check(found, path+".set", s.Set, "a set of the deployment")
	l.check(s.Kind == "" || s.Kind == kindSearch || s.Kind == kindBook, path+".kind", s.Kind, "search or book")
	l.check(s.Rate > 0, path+".rate", s.Rate, "above 0")
	l.check(s.Deadline >= 0, path+".deadline-ms", s.Deadline, "at least 1, or omitted")
	l.check(s.Repeats >= 0 && s.Repeats <= 1, path+".repeats", s.Repeats, "0 to 1")
	vms := vmIndices(d, s.DataCentre, s.VM)
	l.check(len(vms) > 0, path+".data-centre", s.DataCentre+" "+s.VM, "a data centre of the deployment and a VM in it")
	out := stream{
		name:           s.Profile + "/" + s.Set,
		profile:        p,
		set:            set,
		book:           s.Kind == kindBook,
		direct:         s.Bare,
		rate:           s.Rate,
		deadline:       s.Deadline,
		vms:            vms,
		repeatFraction: s.Repeats,
	}
	l.check(!out.book || !out.direct, path+".bare", s.Bare, "false for bookings")
	if out.book {
		out.name += "/" + kindBook
	}
	for _, name := range []string{s.DataCentre, s.VM} {
		if name != "" {
			out.name += "/" + name
		}
	}
	if out.direct {
		out.name += reporter.DirectSuffix
	}
	if out.deadline == 0 && known {
		out.deadline = p.Deadline()
	}
	return out
}

// vmIndices returns the indices of the VMs that are in the data centre and have the
// name. An empty argument matches all VMs.
func vmIndices(d *deployer.Deployment, dataCentre, name string) []int {
	var out []int
	for i, v := range d.VMs() {
		if (dataCentre == "" || v.DataCentre() == dataCentre) && (name == "" || v.Name() == name) {
			out = append(out, i)
		}
	}
	return out
}
