package searcher

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// TestFairShares plays each script of testdata/fair twice: in the order of deadlines, as without
// organisations, and in that of fair shares. It guards against a surge of one organisation that
// displaces the usual load of others. Commands are:
//
//	leafs SERVICE COUNT LEAFS SLOTS       COUNT services with a number of leafs each
//	profile NAME MS TARGET DEADLINE MINIMUM SERVICE COUNT
//	                                      a kind of request to all these services
//	load PROFILE ORGANISATION WEIGHT PER-SECOND
//	surge ORGANISATION | PROFILE FACTOR FROM UNTIL
//	run MS                                plays so long
//	expect deadline | fair in-time | served | wait | refused ORGANISATION PROFILE < | > VALUE
//	                                      shares of the requests, or the mean wait of parts in ms,
//	                                      from the start of the request
//	least deadline | fair SHARE COUNT     no organisation is served less than this share as often
//	                                      as all, and so many requests are served at least
//	conserves                             no part waits that a leaf with capacity can take
func TestFairShares(t *testing.T) {
	files, err := filepath.Glob("testdata/fair/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		for _, order := range []string{"deadline", "fair"} {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txt")+"/"+order, func(t *testing.T) {
				in, err := os.Open(file)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = in.Close() }()
				r := &fairRun{fleet: newFleet(t), order: order, profiles: map[string]*profile{}, free: map[string][]tier.Millis{}}
				r.addVM("home", 1)
				for lines := bufio.NewScanner(in); lines.Scan(); {
					r.play(strings.Fields(lines.Text()))
				}
				if r.checked == 0 {
					t.Error("no part has waited")
				}
				for _, l := range r.loads {
					t.Logf("%-8s %-8s asked %5d in time %.2f served %.2f refused %.2f mean wait %5.0f ms, longest %d ms", l.organisation, l.profile.name,
						l.asked, l.share(l.inTime), l.share(l.served), l.share(l.refused), l.meanWait(), l.longest)
				}
			})
		}
	}
}

type fairRun struct {
	*fleet
	order    string
	profiles map[string]*profile
	loads    []*organisationLoad
	surges   []surge
	free     map[string][]tier.Millis // by leaf: when each of its slots is free
	checked  int
}

type profile struct {
	name             string
	latency          tier.Millis
	target, deadline tier.Millis
	minimum          int
	services         []string
}

type surge struct {
	name        string
	factor      float64
	from, until tier.Millis
}

// organisationLoad is the requests of one organisation and profile, with what became of them.
type organisationLoad struct {
	run                            *fairRun
	profile                        *profile
	organisation                   string
	weight                         float64
	asked, served, inTime, refused int
	parts                          int
	waited, longest                tier.Millis
}

func (r *fairRun) play(words []string) {
	if len(words) == 0 || words[0] == "#" {
		return
	}
	number := func(k int) int { return parseInt(r.t, words[k]) }
	millis := func(k int) tier.Millis { return tier.Millis(number(k)) }
	switch words[0] {
	case "leafs":
		for k := range number(2) {
			for n := range number(3) {
				service := fmt.Sprint(words[1], k)
				id := fmt.Sprint(service, "-", n)
				r.leafs = append(r.leafs, &fleetLeaf{leaf: lister.NewLeaf(id, service, id+":1", lister.InDataCentre("home"), lister.WithSlots(number(4)))})
				r.free[id] = make([]tier.Millis, number(4))
			}
		}
	case "profile":
		p := &profile{name: words[1], latency: millis(2), target: millis(3), deadline: millis(4), minimum: number(5)}
		for k := range number(7) {
			p.services = append(p.services, fmt.Sprint(words[6], k))
		}
		r.profiles[words[1]] = p
	case "load":
		l := &organisationLoad{run: r, profile: r.profiles[words[1]], organisation: words[2], weight: parseFloat(r.t, words[3])}
		r.loads = append(r.loads, l)
		r.traffic = append(r.traffic, &fleetTraffic{perSecond: parseFloat(r.t, words[4]), region: "home", load: l})
	case "surge":
		r.surges = append(r.surges, surge{words[1], parseFloat(r.t, words[2]), millis(3), millis(4)})
	case "conserves":
		r.at(1, r.checkConserves)
	case "run":
		r.run(millis(1))
	case "expect":
		if words[1] == r.order {
			r.expect(words[2:])
		}
	case "least":
		if words[1] == r.order {
			r.expectLeast(parseFloat(r.t, words[2]), number(3))
		}
	default:
		r.t.Fatalf("unknown command %q", words[0])
	}
}

func (r *fairRun) expectLeast(share float64, count int) {
	asked, served := map[string]int{}, map[string]int{}
	allAsked, allServed := 0, 0
	for _, l := range r.loads {
		asked[l.organisation] += l.asked
		served[l.organisation] += l.served
		allAsked, allServed = allAsked+l.asked, allServed+l.served
	}
	if allServed < count {
		r.t.Errorf("%d requests are served, want %d", allServed, count)
	}
	all := float64(allServed) / float64(allAsked)
	least := 1.0
	for name, n := range asked {
		if got := float64(served[name]) / float64(max(n, 1)); n > 0 {
			least = min(least, got)
			if got < share*all {
				r.t.Errorf("%s: %d of %d requests are served, but %.2f of all", name, served[name], n, all)
			}
		}
	}
	r.t.Logf("of all %d requests %d are served, a share of %.2f; of the organisation served least %.2f", allAsked, allServed, all, least)
}

// checkConserves fails if a part waits that a leaf could take.
func (r *fairRun) checkConserves() {
	const interval = 10 * tier.Millisecond
	scheduler := r.vms[0].scheduler
	for service, list := range scheduler.queue {
		for _, q := range list {
			if leaf, _, found := scheduler.pickWithCapacity(r.now, q.search, &q.search.parts[q.part]); found {
				r.t.Fatalf("at %d ms, a part of %q waits for %s while %s has capacity", r.now, q.search.terms.organisation, service, leaf.ID())
			}
			r.checked++
		}
	}
	r.at(r.now+interval, r.checkConserves)
}

func (r *fairRun) expect(words []string) {
	found := false
	for _, l := range r.loads {
		if l.organisation != words[1] || l.profile.name != words[2] {
			continue
		}
		found = true
		got := map[string]float64{"in-time": l.share(l.inTime), "served": l.share(l.served), "refused": l.share(l.refused), "wait": l.meanWait()}[words[0]]
		if want := parseFloat(r.t, words[4]); (words[3] == "<") != (got < want) {
			r.t.Errorf("%s %s of %s: %.3f, want %s %g", l.profile.name, words[0], l.organisation, got, words[3], want)
		}
	}
	if !found {
		r.t.Fatalf("nothing to expect of %v", words)
	}
}

// factor is how much the load exceeds its usual rate.
func (l *organisationLoad) factor(now tier.Millis) float64 {
	factor := 1.0
	if l == nil {
		return factor
	}
	for _, s := range l.run.surges {
		if (s.name == l.organisation || s.name == l.profile.name) && now >= s.from && now < s.until {
			factor *= s.factor
		}
	}
	return factor
}

func (l *organisationLoad) request(now tier.Millis) (Terms, []string) {
	l.asked++
	options := []TermsOption{Idempotent(), WithMaxAttempts(2), WithMinimumParts(l.profile.minimum)}
	if l.run.order == "fair" {
		options = append(options, WithOrganisation(l.organisation, l.weight))
	}
	return NewTerms(l.profile.name, now+l.profile.target, now+l.profile.deadline, options...), l.profile.services
}

// sent puts a call on the first free slot of its leaf and returns the latency.
func (l *organisationLoad) sent(f *fleet, s *Search, action Send) tier.Millis {
	slots, first := l.run.free[action.Leaf.ID()], 0
	for k := range slots {
		if slots[k] < slots[first] {
			first = k
		}
	}
	begin := max(f.now, slots[first])
	slots[first] = begin + l.profile.latency
	if !action.Extra {
		l.parts++
		l.waited += begin - s.startedAt
		l.longest = max(l.longest, begin-s.startedAt)
	}
	return slots[first] - f.now + 1
}

func (l *organisationLoad) finished(now tier.Millis, s *Search, o Outcome) {
	switch {
	case o.Success():
		l.served++
		if now <= s.terms.target+pastTargetTolerance {
			l.inTime++
		}
	case now == s.startedAt:
		l.refused++
	}
}

func (l *organisationLoad) share(count int) float64 { return float64(count) / float64(max(l.asked, 1)) }

func (l *organisationLoad) meanWait() float64 { return float64(l.waited) / float64(max(l.parts, 1)) }
