package parser

import (
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

const (
	maxProfiles     = 256
	profilesObject  = "profiles document"
	profilesAllowed = "1 to 256 profiles"
)

// ParseProfiles decodes a profiles document. The error is a *tier.InvalidError.
func ParseProfiles(body []byte) (*ProfilesDocument, error) {
	problems := &problemList{}
	n, err := readNode(body)
	if err != nil {
		problems.add(rootPath, err.Error(), "one JSON document")
		return nil, errors.Wrap(tier.NewInvalidError(profilesObject, problems.list), "ParseProfiles")
	}
	o := newObjectReader(n, rootPath, problems)
	o.require("profiles")
	items, paths := o.list("profiles")
	o.reportUnknownFields()
	if len(problems.list) == 0 && (len(items) < 1 || len(items) > maxProfiles) {
		problems.add("profiles", fmt.Sprint(len(items)), profilesAllowed)
	}
	profiles := readProfiles(items, paths, problems)
	if err := tier.NewInvalidError(profilesObject, problems.list); err != nil {
		return nil, errors.Wrap(err, "ParseProfiles")
	}
	return NewProfilesDocument(profiles...), nil
}

func readProfiles(items []*node, paths []string, problems *problemList) []*tier.Profile {
	names := map[string]bool{}
	profiles := make([]*tier.Profile, 0, len(items))
	for i, n := range items {
		p := readProfile(n, paths[i], problems)
		if p == nil {
			continue
		}
		if names[p.Name()] {
			problems.add(paths[i]+".name", p.Name(), "each name once")
		}
		names[p.Name()] = true
		profiles = append(profiles, p)
	}
	return profiles
}

func readProfile(n *node, path string, problems *problemList) *tier.Profile {
	o := newObjectReader(n, path, problems)
	if o.notObject {
		return nil
	}
	var d tier.Profile
	d.SetDefaults()
	o.require("name")
	p, err := tier.NewProfile(
		o.text("name"),
		tier.WithRank(o.rank("rank", d.Rank())),
		tier.WithMinCoverage(o.fraction("min-coverage", d.MinCoverage())),
		tier.WithDeadline(o.millis("deadline-ms", d.Deadline())),
		tier.WithMaxDeadline(o.millis("max-deadline-ms", d.MaxDeadline())),
		tier.WithImposedWait(o.millis("imposed-wait-ms", d.ImposedWait())),
		tier.WithQueueLimit(int(o.integer("queue-limit", int64(d.QueueLimit())))),
		tier.WithHedge(o.boolean("hedge", d.Hedge())),
	)
	o.reportUnknownFields()
	problems.addNestedError(o.prefix, err)
	return p
}

func (o *objectReader) millis(name string, fallback tier.Millis) tier.Millis {
	return tier.Millis(o.integer(name, int64(fallback)))
}

func (o *objectReader) rank(name string, fallback tier.Rank) tier.Rank {
	n, ok := o.take(name, textNode)
	if !ok {
		return fallback
	}
	r, err := tier.ParseRank(n.text)
	if err != nil {
		o.problems.add(o.prefix+name, n.text, "urgent, daily or reports")
		return fallback
	}
	return r
}

// addNestedError adds the problems listed by err, if it is a *tier.InvalidError, under
// prefix.
func (p *problemList) addNestedError(prefix string, err error) {
	var e *tier.InvalidError
	if errors.As(err, &e) {
		p.addNested(prefix, e.Problems())
	}
}
