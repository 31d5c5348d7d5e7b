package gossiper

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

// linkFailureLimit is how many exchanges with a data centre fail in a row before it
// counts as unreachable.
const linkFailureLimit = 2

// Values of the entry in which a contact says whether it reaches another data centre.
const (
	linkUp   = "up"
	linkDown = "cut"
)

// linkState is what this VM has observed of the link to another data centre.
type linkState struct {
	lastReplyAt         tier.Millis
	everReached         bool
	lastTriedAt         tier.Millis
	consecutiveFailures int
	recentFailures      []failedPeer
}

type failedPeer struct {
	name     string
	failedAt tier.Millis
}

func (g *Gossiper) linkTo(dataCentre string) *linkState {
	l, ok := g.links[dataCentre]
	if !ok {
		l = &linkState{}
		g.links[dataCentre] = l
	}
	return l
}

// recordReachable notes that a data centre answered. This shows that the link works,
// so VMs of that data centre that recently failed to answer are suspected.
func (g *Gossiper) recordReachable(dataCentre string) {
	if dataCentre == g.localDataCentre || dataCentre == "" {
		return
	}
	l := g.linkTo(dataCentre)
	l.lastReplyAt = g.now
	l.everReached = true
	l.consecutiveFailures = 0
	for _, p := range l.recentFailures {
		if r, ok := g.records[p.name]; ok && g.now-p.failedAt <= 3*g.idleInterval {
			g.suspect(r, max(r.highestVersion, 1))
		}
	}
	l.recentFailures = nil
}

func (g *Gossiper) recordLinkFailure(dataCentre, name string) {
	l := g.linkTo(dataCentre)
	l.consecutiveFailures++
	l.recentFailures = append(l.recentFailures, failedPeer{name: name, failedAt: g.now})
	l.recentFailures = l.recentFailures[max(0, len(l.recentFailures)-ContactsPerDataCentre):]
}

// recheckLink makes this VM try a data centre soon when another contact reports it as
// unreachable.
func (g *Gossiper) recheckLink(r *record, e Entry) {
	dataCentre, ok := strings.CutPrefix(e.key, keyLink)
	if !ok || string(e.value) != linkDown || r.vm.DataCentre() != g.localDataCentre {
		return
	}
	if l, ok := g.links[dataCentre]; ok {
		l.consecutiveFailures = max(l.consecutiveFailures, 1)
	}
}

// linkIsUp reports whether this VM itself reaches a data centre.
func (g *Gossiper) linkIsUp(l *linkState) bool {
	wait := max(g.linkTimeout, 3*g.idleInterval*tier.Millis(len(g.links)))
	return l.everReached && l.consecutiveFailures < linkFailureLimit && g.now-l.lastReplyAt <= wait
}

// isContact reports whether this VM exchanges with other data centres.
func (g *Gossiper) isContact() bool {
	ranked := g.rankedMembers(g.localDataCentre)
	return slices.Contains(ranked[:min(len(ranked), ContactsPerDataCentre)], g.self)
}

// remoteRound exchanges with the data centre that was tried longest ago, but prefers
// one whose last exchange failed and that does not yet count as unreachable.
func (g *Gossiper) remoteRound(digests bool) {
	if !g.isContact() {
		return
	}
	var next *linkState
	var dataCentre string
	for _, d := range g.remoteDataCentres() {
		l := g.linkTo(d)
		doubtful := l.consecutiveFailures > 0 && l.consecutiveFailures < linkFailureLimit
		if next == nil || doubtful || l.lastTriedAt < next.lastTriedAt {
			next, dataCentre = l, d
		}
		if doubtful {
			break
		}
	}
	if next == nil {
		return
	}
	next.lastTriedAt = g.now
	if r := g.pickRemotePeer(dataCentre, next); r != nil {
		g.sendRequest(r, r.vm.Address(), digests)
	}
}

// remoteDataCentres lists the other data centres in which a VM is known, sorted.
func (g *Gossiper) remoteDataCentres() []string {
	seen := map[string]bool{}
	for _, r := range g.records {
		if r.vmKnown && r.vm.DataCentre() != g.localDataCentre {
			seen[r.vm.DataCentre()] = true
		}
	}
	return sortedKeys(seen)
}

// pickRemotePeer picks one of the contacts of a data centre at random, or any of its
// VMs after a failure.
func (g *Gossiper) pickRemotePeer(dataCentre string, l *linkState) *record {
	list := g.rankedMembers(dataCentre)
	if l.consecutiveFailures == 0 {
		list = list[:min(len(list), ContactsPerDataCentre)]
	}
	if len(list) == 0 {
		return nil
	}
	return list[g.rng.IntN(len(list))]
}

// publishLinkStates publishes which data centres this VM reaches, if it is a contact.
func (g *Gossiper) publishLinkStates() {
	contact := g.isContact()
	for _, d := range sortedKeys(g.links) {
		published, ok := g.self.entries[keyLink+d]
		state := linkDown
		if g.linkIsUp(g.links[d]) {
			state = linkUp
		}
		switch {
		case contact && string(published.value) != state:
			g.writeOwn(keyLink+d, []byte(state))
		case !contact && ok && len(published.value) > 0:
			g.writeOwn(keyLink+d, nil)
		}
	}
}

// Reachable reports whether this VM, or a contact of its data centre, reaches a data
// centre.
func (g *Gossiper) Reachable(dataCentre string) bool {
	if dataCentre == g.localDataCentre {
		return true
	}
	if l, ok := g.links[dataCentre]; ok && g.linkIsUp(l) {
		return true
	}
	for _, r := range g.livePeers() {
		if string(r.entries[keyLink+dataCentre].value) == linkUp {
			return true
		}
	}
	return false
}
