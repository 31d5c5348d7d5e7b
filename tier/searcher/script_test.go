package searcher

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/throttler"
)

// TestScriptTranscripts plays each script of testdata and compares the transcript
// with its golden file.
func TestScriptTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				s.play(lines.Text())
			}
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}

// script drives the searches of one VM, which is in data centre a of region home.
// Its commands are:
//
//	even                            spreads load evenly, before all other commands
//	connected ID                    there is an open connection to a leaf
//	budget RATIO SLACK              sets the retry budget
//	leaf ID SERVICE DC [SLOTS]      registers a leaf; DC a or b is in the home region, e in
//	                                third, and any other one in away
//	evacuate DC | return DC         an evacuation begins, or ends
//	leaves ID                       the leaf says in a reply that it leaves
//	rest ID MS                      the leaf, which has turned a call away, asks for a rest
//	limit ID RATE                   the leaf names a limit of requests a second
//	peer NAME REGION [DC CORES]     adds another VM, in DC x with 1 core
//	search NAME target MS deadline MS [minimum N] [attempts N] [once] [peer] [rank N]
//	    [sweep] [refuses PEER,..] [cautious] [regions R,..] [organisation NAME WEIGHT] [share PEER=PART,..] [divided]
//	    SERVICE ...
//	                                starts a search; its times count from now;
//	                                once: not idempotent; sweep: no leaf's failure is the answer; peer: on behalf of another VM
//	NAME answer CALL | fail CALL    the leaf replies, or reports a failure
//	NAME lose CALL | reset CALL     the connection breaks; reset: a new one without a byte
//	NAME end CALL                   the leaf ends the connection
//	quarantine NAME                 three leafs have ended under the request of a search
//	NAME shed CALL                  the leaf has no capacity
//	NAME wrong CALL                 another server answers at the leaf's address
//	NAME refuse CALL                no connection can be made
//	NAME accept SHARE               the other VM accepts its share
//	NAME decline SHARE              the other VM takes no shares
//	NAME overload SHARE             the other VM refuses the share, because it is overloaded
//	NAME report SHARE PART,.. [last [PART,..]]
//	                                the other VM reports the parts, or - for none; the
//	                                second list is those for which it knew no leaf
//	NAME suspect SHARE              the other VM has lost a leaf under the request
//	NAME broken SHARE PART,.. LEAF,..
//	                                the last report: the leafs have ended under these parts
//	NAME expire                     the VM is about to stop
//	NAME warn                       another VM warns that leafs may have ended
//	NAME relay SHARE [failure]      the other VM reports the whole reply of a leaf, or its
//	                                failure in the last report
//	NAME break SHARE                the other VM's stream of reports breaks off
//	stall MS                        the VM's own processor has no turn for so long
//	room                            prints how many parts were sent, and how many waited long
//	close                           queued parts are not sent any more
//	links lost | links restored     a survey finds that this VM reaches no leaf, or does
//	NAME leave                      the caller disconnects
//	at MS                           advances the clock and runs expired timers
type script struct {
	t         *testing.T
	out       strings.Builder
	now       tier.Millis
	lister    *lister.Lister
	scheduler *Scheduler
	distance  func(dataCentre string) balancer.Distance
	searches  map[string]*Search
	names     []string
	peers     map[string]partitioner.Member
	sequence  int
}

func newScript(t *testing.T) *script {
	s := &script{t: t, lister: lister.New(), searches: map[string]*Search{}, peers: map[string]partitioner.Member{}}
	s.distance = func(dataCentre string) balancer.Distance {
		switch dataCentre {
		case "a":
			return balancer.SameDataCentre
		case "b":
			return balancer.SameRegion
		}
		return balancer.OtherRegion
	}
	s.schedule(nil)
	return s
}

func (s *script) play(line string) {
	s.out.WriteString(line + "\n")
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	switch words[0] {
	case "even":
		s.schedule([]balancer.Option{balancer.WithEvenLoad()}, WithEvenLoad())
	case "connected":
		for _, leaf := range s.lister.Usable() {
			if leaf.ID() == words[1] {
				s.scheduler.balancer.Connected(s.now, leaf)
			}
		}
	case "budget":
		s.scheduler.budgeter.Configure(s.float(words[1]), s.float(words[2]))
	case "leaf":
		s.sequence++
		slots := 2
		if len(words) > 4 {
			slots = s.number(words[4])
		}
		leaf := lister.NewLeaf(words[1], words[2], words[1]+":1", lister.InDataCentre(words[3]), lister.WithSlots(slots))
		s.lister.Put(s.now, lister.NewEntry("servers/"+words[1], leaf, int64(s.sequence)))
	case "evacuate":
		s.sequence++
		s.lister.Evacuate(s.now, words[1], int64(s.sequence))
	case "return":
		s.lister.EndEvacuation(s.now, words[1], 0)
	case "quarantine":
		s.scheduler.quarantiner.Heard(s.now, quarantiner.Fingerprint(words[1]), "vm", 1, quarantiner.Report{Leafs: []string{"x", "y", "z"}, Alone: true})
	case "room":
		use := s.scheduler.TakeRoomUse()
		fmt.Fprintf(&s.out, "  %4d parts %d, late %d\n", s.now, use.Parts(), use.Late())
	case "close":
		s.scheduler.Close()
	case "links":
		accepted := 0
		if words[1] == "restored" {
			accepted = 1
		}
		s.scheduler.balancer.Surveyed(s.now, accepted, 1)
		s.scheduler.LinksChanged(s.now)
		s.print("", nil)
	case "limit":
		for _, leaf := range s.lister.Leafs("s") {
			if leaf.ID() == words[1] {
				s.scheduler.balancer.Heard(s.now, s.now, leaf, throttler.RateLimit{PerSecond: s.float(words[2])})
			}
		}
	case "leaves":
		s.lister.SaidLeaving("s", words[1], 0)
	case "rest":
		for _, leaf := range s.lister.Leafs("s") {
			if leaf.ID() == words[1] {
				s.scheduler.balancer.WantsRest(s.now, leaf, tier.Millis(s.number(words[2])))
			}
		}
	case "peer":
		dataCentre, cores := "x", 1.0
		if len(words) > 3 {
			dataCentre, cores = words[3], s.float(words[4])
		}
		m := partitioner.NewMember(tier.NewVM(words[1], dataCentre, words[1]+":1", tier.WithVMState(tier.VMLive)), words[2], cores)
		s.peers[words[1]] = m
		s.scheduler.partitioner.Put(m)
	case "search":
		s.search(words[1], words[2:])
	case "at":
		s.advance(tier.Millis(s.number(words[1])))
	case "stall":
		s.now += tier.Millis(s.number(words[1]))
		for _, name := range s.names {
			s.print(name, s.searches[name].Tick(s.now))
		}
	default:
		s.event(words[0], words[1:])
	}
}

func (s *script) search(name string, words []string) {
	var target, deadline tier.Millis
	options := []TermsOption{Idempotent(), WithFingerprints(func() []quarantiner.Fingerprint { return []quarantiner.Fingerprint{quarantiner.Fingerprint(name)} })}
	var once, divided, sweep bool
	var regions tier.RegionSet
	var shares []partitioner.Share
	var delegated []partitioner.Share
	i := 0
	for ; i < len(words); i++ {
		switch words[i] {
		case "target":
			i++
			target = tier.Millis(s.number(words[i]))
		case "deadline":
			i++
			deadline = tier.Millis(s.number(words[i]))
		case "minimum":
			i++
			options = append(options, WithMinimumParts(s.number(words[i])))
		case "attempts":
			i++
			options = append(options, WithMaxAttempts(s.number(words[i])))
		case "rank":
			i++
			options = append(options, WithRank(s.number(words[i])))
		case "divided":
			divided = true
		case "regions":
			i++
			regions = parseRegions(words[i])
			options = append(options, InRegions(regions))
		case "organisation":
			options = append(options, WithOrganisation(words[i+1], s.float(words[i+2])))
			i += 2
		case "cautious":
			options = append(options, Cautious())
		case "once":
			once = true
		case "sweep":
			sweep = true
		case "peer":
			options = append(options, ForAnotherVM())
		case "refuses":
			i++
			names := strings.Split(words[i], ",")
			options = append(options, WithRefusals(func(vm string) bool { return slices.Contains(names, vm) }))
		case "share":
			i++
			peer, parts, _ := strings.Cut(words[i], "=")
			delegated = append(delegated, partitioner.NewShare(s.peers[peer], s.numbers(parts)))
		default:
			goto services
		}
	}
services:
	if once {
		options = options[1:]
	}
	if !sweep {
		options = append(options, ForwardFailures())
	}
	if shares = append(shares, delegated...); divided {
		shares = s.scheduler.Divide("class", words[i:], regions)
	}
	terms := NewTerms("class", s.now+target, s.now+deadline, options...)
	search := NewSearch(s.scheduler, terms, words[i:], shares)
	s.searches[name] = search
	s.names = append(s.names, name)
	s.print(name, search.Start(s.now))
}

func (s *script) event(name string, words []string) {
	search := s.searches[name]
	if search == nil {
		s.t.Fatalf("no search %q", name)
	}
	if words[0] == "leave" {
		s.print(name, search.Abandon(s.now))
		return
	}
	if words[0] == "expire" {
		s.print(name, search.Expire(s.now))
		return
	}
	if words[0] == "warn" {
		search.Warned()
		return
	}
	index := s.number(words[1])
	results := map[string]Result{
		"answer": Answered{Reply: "reply"}, "fail": FailedReply{Reply: "failure"}, "lose": Lost{Cause: "cut"},
		"reset": Lost{Cause: "reset", NewConnection: true}, "end": Lost{Cause: "end", Ended: true}, "shed": NotRun{Reason: Shed},
		"wrong": NotRun{Reason: WrongServer}, "refuse": NotRun{Reason: NoConnection},
	}
	switch words[0] {
	case "accept":
		s.print(name, search.ShareAccepted(s.now, index))
	case "report":
		report := ShareReport{Parts: s.numbers(words[2]), Reply: "share", MayHaveRun: true, Last: len(words) > 3}
		if len(words) > 4 {
			report.Uncalled = s.numbers(words[4])
		}
		s.print(name, search.ShareReported(s.now, index, report))
	case "suspect":
		s.print(name, search.ShareReported(s.now, index, ShareReport{Suspected: true}))
	case "broken":
		s.print(name, search.ShareReported(s.now, index, ShareReport{
			Last: true, MayHaveRun: true, Broken: s.numbers(words[2]), Ended: strings.Split(words[3], ","),
		}))
	case "relay":
		report := ShareReport{Parts: []int{0}, Whole: "reply", MayHaveRun: true}
		if len(words) > 2 {
			report = ShareReport{Failure: "failure", MayHaveRun: true, Last: true}
		}
		s.print(name, search.ShareReported(s.now, index, report))
	case "decline":
		s.print(name, search.ShareDeclined(s.now, index))
	case "overload":
		s.print(name, search.ShareRefused(s.now, index))
	case "break":
		s.print(name, search.ShareFailed(s.now, index))
	default:
		r, ok := results[words[0]]
		if !ok {
			s.t.Fatalf("unknown command %q", words[0])
		}
		s.print(name, search.CallEnded(s.now, index, r))
	}
}

// advance stops at each time at which a timer of a search expires.
func (s *script) advance(to tier.Millis) {
	for {
		next := to
		for _, name := range s.names {
			if search := s.searches[name]; !search.done {
				next = min(next, max(search.NextTick(), s.now+1))
			}
		}
		s.now = next
		s.lister.Tick(s.now)
		for _, name := range s.names {
			if search := s.searches[name]; !search.done && search.NextTick() <= s.now {
				s.print(name, search.Tick(s.now))
			}
		}
		if next == to {
			return
		}
	}
}

// print writes the actions of a search, and those of the searches that they woke.
func (s *script) print(name string, actions []Action) {
	for _, action := range actions {
		fmt.Fprintf(&s.out, "  %4d %s> %s\n", s.now, name, describe(action))
	}
	for _, woken := range s.scheduler.TakeWoken() {
		for _, other := range s.names {
			if s.searches[other] == woken {
				s.print(other, woken.Resume(s.now))
			}
		}
	}
}

func (s *script) number(word string) int { return parseInt(s.t, word) }

func (s *script) numbers(list string) []int {
	var values []int
	for _, word := range strings.Split(list, ",") {
		if word != "-" {
			values = append(values, s.number(word))
		}
	}
	return values
}

func (s *script) float(word string) float64 { return parseFloat(s.t, word) }
