package accountant

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

const (
	// newsTTL is how long a VM tells the level of an account on which nobody reports any more:
	// another VM may have become the accountant.
	newsTTL = tier.Second
	// minDemandRatio is the least demand, as a fraction of what was heard within newsTTL, at
	// which news is believed. A former accountant, on whose accounts VMs have ceased to report,
	// sees the demand fall.
	minDemandRatio = 0.5
)

// News are the levels of organisations that use their quotas up, as a VM has heard them. VMs
// pass them on with their views, so that a VM knows them before it has a request.
type News struct {
	levels map[string]heardLevel
}

type heardLevel struct {
	level Level
	at    tier.Millis // when the accountant told it, or later
}

// NewNews returns no news.
func NewNews() *News { return &News{levels: map[string]heardLevel{}} }

// Hear records levels and returns those that were news.
func (n *News) Hear(now tier.Millis, levels []Level) []Level {
	var news []Level
	for _, level := range levels {
		at := now - level.age
		if old, ok := n.levels[level.organisation]; ok && (at <= old.at || contradicts(level, old.level.demand, at-old.at)) {
			continue
		}
		n.levels[level.organisation] = heardLevel{level, at}
		news = append(news, level)
	}
	return news
}

// contradicts reports whether a level probably comes from a former accountant.
func contradicts(level Level, demand float64, later tier.Millis) bool {
	return later < newsTTL && level.demand < minDemandRatio*demand
}

// Levels lists the levels that are not older than a window, with their ages.
func (n *News) Levels(now, window tier.Millis) []Level {
	var list []Level
	for name, heard := range n.levels {
		level := heard.level
		if level.age = now - heard.at; level.age >= window {
			delete(n.levels, name)
			continue
		}
		list = append(list, level)
	}
	slices.SortFunc(list, func(a, b Level) int { return strings.Compare(a.organisation, b.organisation) })
	return list
}
