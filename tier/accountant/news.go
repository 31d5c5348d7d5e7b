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
	levels map[string]map[string]heardLevel // by organisation and keeper
}

type heardLevel struct {
	level Level
	at    tier.Millis // when the accountant told it, or later
}

// NewNews returns no news.
func NewNews() *News { return &News{levels: map[string]map[string]heardLevel{}} }

// Hear records levels and returns those that were news, and to be believed.
func (n *News) Hear(now tier.Millis, levels []Level) []Level {
	var news []Level
	for _, level := range levels {
		at, known := now-level.age, n.levels[level.organisation]
		if old, ok := known[level.keeper]; ok && at <= old.at {
			continue
		}
		believed := !isContradicted(known, level, at)
		if believed || level.keeper != "" {
			if known == nil {
				known = map[string]heardLevel{}
				n.levels[level.organisation] = known
			}
			known[level.keeper] = heardLevel{level, at}
		}
		if believed {
			news = append(news, level)
		}
	}
	return news
}

// isContradicted reports whether a level probably comes from a former accountant: others that are known are
// newer, or have told of more demand.
func isContradicted(known map[string]heardLevel, level Level, at tier.Millis) bool {
	for keeper, old := range known {
		if keeper != level.keeper && at <= old.at || contradicts(level, old.level.demand, at-old.at) {
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
	for name, heard := range n.levels[organisation] {
		if name != keeper && name != "" && now-heard.at < rivalTTL {
			vms += heard.level.vms
			demand += heard.level.demand
		}
	}
	return vms, demand
}

// Levels lists the levels that are not older than a window, with their ages.
func (n *News) Levels(now, window tier.Millis) []Level {
	var list []Level
	for organisation, known := range n.levels {
		for keeper, heard := range known {
			level := heard.level
			if level.age = now - heard.at; level.age >= window {
				delete(known, keeper)
				continue
			}
			list = append(list, level)
		}
		if len(known) == 0 {
			delete(n.levels, organisation)
		}
	}
	slices.SortFunc(list, func(a, b Level) int {
		return cmp.Or(strings.Compare(a.organisation, b.organisation), strings.Compare(a.keeper, b.keeper))
	})
	return list
}
