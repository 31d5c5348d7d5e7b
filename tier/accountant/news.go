package accountant

import (
	"cmp"
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
	// rivalTTL is how long after it was told an account counts that another VM keeps of the same
	// organisation. News are on their way for up to a second.
	rivalTTL = 2 * tier.Second
)

// News are the levels of organisations that use their quotas up, as a VM has heard them. VMs
// pass them on with their views, so that a VM knows them before it has a request. Where VMs don't agree on
// which of them keeps an account, there are several levels of an organisation.
type News struct {
	levels map[newsKey]heardLevel
}

type newsKey struct{ organisation, keeper string }

type heardLevel struct {
	level Level
	at    tier.Millis // when the accountant told it, or later
}

// NewNews returns no news.
func NewNews() *News { return &News{levels: map[newsKey]heardLevel{}} }

// Hear records levels and returns those that were news, and to be believed.
func (n *News) Hear(now tier.Millis, levels []Level) []Level {
	var news []Level
	for _, level := range levels {
		at, key := now-level.age, newsKey{level.organisation, level.keeper}
		if old, ok := n.levels[key]; ok && at <= old.at {
			continue
		}
		believed := !n.contradicted(level, at)
		if believed || level.keeper != "" {
			n.levels[key] = heardLevel{level, at}
		}
		if believed {
			news = append(news, level)
		}
	}
	return news
}

// contradicted reports whether a level probably comes from a former accountant: others are newer, or
// have told of more demand.
func (n *News) contradicted(level Level, at tier.Millis) bool {
	for key, old := range n.levels {
		if key.organisation != level.organisation {
			continue
		}
		if key.keeper != level.keeper && at <= old.at || contradicts(level, old.level.demand, at-old.at) {
			return true
		}
	}
	return false
}

// contradicts reports whether a level probably comes from a former accountant.
func contradicts(level Level, demand float64, later tier.Millis) bool {
	return later < newsTTL && level.demand < minDemandRatio*demand
}

// Rivals returns how many VMs have reported on an organisation lately to VMs that keep its account beside
// one, and the rate of these requests.
func (n *News) Rivals(now tier.Millis, organisation, keeper string) (vms int, demand float64) {
	for key, heard := range n.levels {
		if key.organisation == organisation && key.keeper != keeper && key.keeper != "" && now-heard.at < rivalTTL {
			vms += heard.level.vms
			demand += heard.level.demand
		}
	}
	return vms, demand
}

// Levels lists the levels that are not older than a window, with their ages.
func (n *News) Levels(now, window tier.Millis) []Level {
	var list []Level
	for key, heard := range n.levels {
		level := heard.level
		if level.age = now - heard.at; level.age >= window {
			delete(n.levels, key)
			continue
		}
		list = append(list, level)
	}
	slices.SortFunc(list, func(a, b Level) int {
		return cmp.Or(strings.Compare(a.organisation, b.organisation), strings.Compare(a.keeper, b.keeper))
	})
	return list
}
