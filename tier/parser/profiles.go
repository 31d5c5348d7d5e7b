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

// ParseProfiles reads a profiles document. The error is *tier.InvalidError.
func ParseProfiles(body []byte) (*ProfilesDocument, error) {
	bad := &problems{}
	n, err := readNode(body)
	if err != nil {
		bad.add(rootPath, err.Error(), "one JSON document")
		return nil, errors.Wrap(tier.NewInvalidError(profilesObject, bad.list), "ParseProfiles")
	}
	o := newObject(n, rootPath, bad)
	o.require("profiles")
	items, paths := o.list("profiles")
	o.done()
	if len(bad.list) == 0 && (len(items) < 1 || len(items) > maxProfiles) {
		bad.add("profiles", fmt.Sprint(len(items)), profilesAllowed)
	}
	profiles := readProfiles(items, paths, bad)
	if err := tier.NewInvalidError(profilesObject, bad.list); err != nil {
		return nil, errors.Wrap(err, "ParseProfiles")
	}
	return NewProfilesDocument(profiles...), nil
}

func readProfiles(items []*node, paths []string, bad *problems) []*tier.Profile {
	names := map[string]bool{}
	profiles := make([]*tier.Profile, 0, len(items))
	for i, n := range items {
		p := readProfile(n, paths[i], bad)
		if p == nil {
			continue
		}
		if names[p.Name()] {
			bad.add(paths[i]+".name", p.Name(), "each name once")
		}
		names[p.Name()] = true
		profiles = append(profiles, p)
	}
	return profiles
}

func readProfile(n *node, path string, bad *problems) *tier.Profile {
	o := newObject(n, path, bad)
	if o.broken {
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
		tier.WithQueueLimit(int(o.whole("queue-limit", int64(d.QueueLimit())))),
		tier.WithHedge(o.flag("hedge", d.Hedge())),
	)
	o.done()
	bad.mergeError(o.prefix, err)
	return p
}

func (o *object) millis(name string, fallback tier.Millis) tier.Millis {
	return tier.Millis(o.whole(name, int64(fallback)))
}

func (o *object) rank(name string, fallback tier.Rank) tier.Rank {
	n, ok := o.take(name, textNode)
	if !ok {
		return fallback
	}
	r, err := tier.ParseRank(n.text)
	if err != nil {
		o.bad.add(o.prefix+name, n.text, "urgent, daily or reports")
		return fallback
	}
	return r
}

// mergeError adds the problems of a domain object's *tier.InvalidError.
func (p *problems) mergeError(prefix string, err error) {
	var e *tier.InvalidError
	if errors.As(err, &e) {
		p.merge(prefix, e.Problems())
	}
}
