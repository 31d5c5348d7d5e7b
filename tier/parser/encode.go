package parser

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

type profilesJSON struct {
	Profiles []profileJSON `json:"profiles"`
}

type profileJSON struct {
	Name        string      `json:"name"`
	Rank        string      `json:"rank"`
	MinCoverage float64     `json:"min-coverage"`
	Deadline    tier.Millis `json:"deadline-ms"`
	MaxDeadline tier.Millis `json:"max-deadline-ms"`
	ImposedWait tier.Millis `json:"imposed-wait-ms"`
	QueueLimit  int         `json:"queue-limit"`
	Hedge       bool        `json:"hedge"`
}

type setJSON struct {
	Name          string       `json:"name"`
	Epoch         tier.Epoch   `json:"epoch"`
	Servers       []serverJSON `json:"servers"`
	Shards        []shardJSON  `json:"shards"`
	DailyFloor    float64      `json:"daily-floor"`
	ReportsFloor  float64      `json:"reports-floor"`
	ReportsShare  float64      `json:"reports-share"`
	HedgeQuantile float64      `json:"hedge-quantile"`
	HedgeBudget   float64      `json:"hedge-budget"`
	ColdRamp      tier.Millis  `json:"cold-ramp-ms"`
	Owners        int          `json:"owners"`
}

type serverJSON struct {
	Name           string      `json:"name"`
	Address        string      `json:"address"`
	DataCentre     string      `json:"data-centre"`
	Slots          int         `json:"slots"`
	Connections    int         `json:"connections"`
	ConnectionCost tier.Millis `json:"connection-cost-ms"`
}

type shardJSON struct {
	ID       string   `json:"id"`
	From     string   `json:"from"`
	To       string   `json:"to"`
	Replicas []string `json:"replicas"`
}

// KnownFields are the names of the fields that may be beside the one at path, or nil if none may.
func KnownFields(kind Kind, path string) []string {
	parent, _, _ := strings.Cut(path[:max(strings.LastIndexByte(path, '.'), 0)], "[")
	var object reflect.Type
	switch string(kind) + "." + parent {
	case "profiles.":
		object = reflect.TypeFor[profilesJSON]()
	case "profiles.profiles":
		object = reflect.TypeFor[profileJSON]()
	case "set.":
		object = reflect.TypeFor[setJSON]()
	case "set.servers":
		object = reflect.TypeFor[serverJSON]()
	case "set.shards":
		object = reflect.TypeFor[shardJSON]()
	default:
		return nil
	}
	var names []string
	for f := range object.Fields() {
		names = append(names, f.Tag.Get("json"))
	}
	return names
}

// Parse decodes a document of the given kind. The error is a *tier.InvalidError.
func Parse(kind Kind, body []byte) (Document, error) {
	switch kind {
	case KindProfiles:
		d, err := ParseProfiles(body)
		if err != nil {
			return nil, err
		}
		return d, nil
	case KindSet:
		d, err := ParseSet(body)
		if err != nil {
			return nil, err
		}
		return d, nil
	default:
		p := tier.NewFieldProblem("kind", string(kind), "profiles or set")
		return nil, errors.Wrap(tier.NewInvalidError("document", []tier.FieldProblem{p}), "Parse")
	}
}

// Encode returns the canonical encoding of a document: without white space, with every field,
// and with items sorted by name or id.
func Encode(d Document) []byte {
	var body any
	switch d := d.(type) {
	case *ProfilesDocument:
		body = encodeProfiles(d)
	case *SetDocument:
		body = encodeSet(d.set)
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // can't happen: the bodies hold only text, finite numbers and booleans
	}
	return b
}

func encodeProfiles(d *ProfilesDocument) profilesJSON {
	body := profilesJSON{Profiles: make([]profileJSON, 0, len(d.profiles))}
	for _, p := range d.profiles {
		body.Profiles = append(body.Profiles, profileJSON{
			Name:        p.Name(),
			Rank:        p.Rank().String(),
			MinCoverage: p.MinCoverage(),
			Deadline:    p.Deadline(),
			MaxDeadline: p.MaxDeadline(),
			ImposedWait: p.ImposedWait(),
			QueueLimit:  p.QueueLimit(),
			Hedge:       p.Hedge(),
		})
	}
	return body
}

func encodeSet(s *tier.ShardSet) setJSON {
	body := setJSON{
		Name:          s.Name(),
		Epoch:         s.Epoch(),
		Servers:       make([]serverJSON, 0, len(s.Servers())),
		Shards:        make([]shardJSON, 0, len(s.Shards())),
		DailyFloor:    s.Floor(tier.Daily),
		ReportsFloor:  s.Floor(tier.Reports),
		ReportsShare:  s.ReportsShare(),
		HedgeQuantile: s.HedgeQuantile(),
		HedgeBudget:   s.HedgeBudget(),
		ColdRamp:      s.ColdRamp(),
		Owners:        s.OwnerCount(),
	}
	for _, b := range s.Servers() {
		body.Servers = append(body.Servers, serverJSON{
			Name:           b.Name(),
			Address:        b.Address(),
			DataCentre:     b.DataCentre(),
			Slots:          b.Slots(),
			Connections:    b.Connections(),
			ConnectionCost: b.ConnectionCost(),
		})
	}
	for _, h := range s.Shards() {
		body.Shards = append(body.Shards, shardJSON{
			ID:       h.ID(),
			From:     hashText(h.From()),
			To:       hashText(h.To()),
			Replicas: h.Replicas(),
		})
	}
	sort.Slice(body.Servers, func(i, j int) bool { return body.Servers[i].Name < body.Servers[j].Name })
	sort.Slice(body.Shards, func(i, j int) bool { return body.Shards[i].ID < body.Shards[j].ID })
	return body
}
