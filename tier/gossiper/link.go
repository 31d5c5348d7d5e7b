package gossiper

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

// cutFailures is how many exchanges with a data centre fail in a row before
// it counts as cut off.
const cutFailures = 2

// Values of a contact's entry about another data centre.
const (
	linkUp  = "up"
	linkCut = "cut"
)

// link is what this VM itself knows of the way to another data centre.
type link struct {
	heard    tier.Millis
	ever     bool
	tried    tier.Millis
	failures int
	failed   []failedPeer
}

type failedPeer struct {
	name string
	at   tier.Millis
}

func (g *Gossiper) link(dataCentre string) *link {
	l, ok := g.links[dataCentre]
	if !ok {
		l = &link{}
		g.links[dataCentre] = l
	}
	return l
}

// heardFrom notes that a data centre answered. Whoever did not answer there a
// moment before is then suspected.
func (g *Gossiper) heardFrom(dataCentre string) {
	if dataCentre == g.home || dataCentre == "" {
		return
	}
	l := g.link(dataCentre)
	l.heard = g.now
	l.ever = true
	l.failures = 0
	for _, p := range l.failed {
		if r, ok := g.records[p.name]; ok && g.now-p.at <= 3*g.idle {
			g.suspect(r, max(r.highest, 1))
		}
	}
	l.failed = nil
}

func (g *Gossiper) linkFailed(dataCentre, name string) {
	l := g.link(dataCentre)
	l.failures++
	l.failed = append(l.failed, failedPeer{name: name, at: g.now})
	l.failed = l.failed[max(0, len(l.failed)-Contacts):]
}

// doubt has this VM try a data centre next that another contact finds cut off.
func (g *Gossiper) doubt(r *record, e Entry) {
	dataCentre, ok := strings.CutPrefix(e.key, keyLink)
	if !ok || string(e.value) != linkCut || r.vm.DataCentre() != g.home {
		return
	}
	if l, ok := g.links[dataCentre]; ok {
		l.failures = max(l.failures, 1)
	}
}

// up reports whether this VM itself reaches a data centre.
func (g *Gossiper) up(l *link) bool {
	wait := max(g.linkTimeout, 3*g.idle*tier.Millis(len(g.links)))
	return l.ever && l.failures < cutFailures && g.now-l.heard <= wait
}

// contact reports whether this VM exchanges with other data centres.
func (g *Gossiper) contact() bool {
	ranked := g.ranked(g.home)
	return slices.Contains(ranked[:min(len(ranked), Contacts)], g.own)
}

// crossRound exchanges with the data centre that was tried longest ago, first
// with those that may be cut off just now.
func (g *Gossiper) crossRound(digests bool) {
	if !g.contact() {
		return
	}
	var due *link
	var dataCentre string
	for _, d := range g.remotes() {
		l := g.link(d)
		doubted := l.failures > 0 && l.failures < cutFailures
		if due == nil || doubted || l.tried < due.tried {
			due, dataCentre = l, d
		}
		if doubted {
			break
		}
	}
	if due == nil {
		return
	}
	due.tried = g.now
	if r := g.remotePeer(dataCentre, due); r != nil {
		g.send(r, r.vm.Address(), digests)
	}
}

// remotes lists the other data centres of which a VM is known, sorted.
func (g *Gossiper) remotes() []string {
	seen := map[string]bool{}
	for _, r := range g.records {
		if r.known && r.vm.DataCentre() != g.home {
			seen[r.vm.DataCentre()] = true
		}
	}
	return sortedKeys(seen)
}

// remotePeer picks one of the contacts of a data centre, or anyone there when
// they fail.
func (g *Gossiper) remotePeer(dataCentre string, l *link) *record {
	list := g.ranked(dataCentre)
	if l.failures == 0 {
		list = list[:min(len(list), Contacts)]
	}
	if len(list) == 0 {
		return nil
	}
	return list[g.random.IntN(len(list))]
}

// watchLinks publishes, as a contact, which data centres it reaches.
func (g *Gossiper) watchLinks() {
	contact := g.contact()
	for _, d := range sortedKeys(g.links) {
		held, ok := g.own.entries[keyLink+d]
		say := linkCut
		if g.up(g.links[d]) {
			say = linkUp
		}
		switch {
		case contact && string(held.value) != say:
			g.write(keyLink+d, []byte(say))
		case !contact && ok && len(held.value) > 0:
			g.write(keyLink+d, nil)
		}
	}
}

// Reachable reports whether this VM, or a contact of its data centre, reaches
// a data centre.
func (g *Gossiper) Reachable(dataCentre string) bool {
	if dataCentre == g.home {
		return true
	}
	if l, ok := g.links[dataCentre]; ok && g.up(l) {
		return true
	}
	for _, r := range g.peers() {
		if string(r.entries[keyLink+dataCentre].value) == linkUp {
			return true
		}
	}
	return false
}
