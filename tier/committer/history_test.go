package committer_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

const (
	operators          = 4
	changesPerOperator = 12 // enough to overflow the audit tail
	seeds              = 60
	brokenSeeds        = 10 // enough for a broken variant to be detected
	lostRequestRate    = 0.05
	lostReplyRate      = 0.10
	lateEffectRate     = 0.05
	refusedRate        = 0.05
	staleReadRate      = 0.10
)

// breakage disables a part of the mechanism, to verify that the checks detect it.
type breakage int

const (
	notBroken breakage = iota
	noReadBack
	noArchive
)

// simulation interleaves the changes of several operators on one store. The seed
// determines the interleaving and the faults.
type simulation struct {
	random       *rand.Rand
	broken       breakage
	now          tier.Millis
	history      map[string][]storer.Value // all states of each key, oldest first
	lastRevision int64
	delayedPuts  []*committer.Put // their reply was lost and they take effect later
	operations   []porcupine.Operation
	results      map[string]committer.Result
	documentKey  string
}

// operator makes one change after the other; reply is the event to be handled next.
type operator struct {
	number      int
	changesMade int
	change      *committer.Change
	changeID    string
	calledAt    tier.Millis
	action      committer.Action
	reply       committer.Event
}

func newSimulation(seed uint64, b breakage) *simulation {
	return &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		broken:      b,
		history:     map[string][]storer.Value{},
		results:     map[string]committer.Result{},
		documentKey: replicator.Key(parser.KindProfiles, ""),
	}
}

func (s *simulation) get(key string) storer.Value {
	states := s.history[key]
	if len(states) == 0 {
		return storer.NewValue(key, nil, 0)
	}
	return states[len(states)-1]
}

func (s *simulation) put(p *committer.Put) committer.Event {
	if s.broken == noArchive && p.Key() != s.documentKey {
		return &committer.Written{}
	}
	current := s.get(p.Key())
	if current.Revision() != p.ExpectedRevision() {
		return committer.NewConflicted(current)
	}
	s.lastRevision++
	s.history[p.Key()] = append(s.history[p.Key()], storer.NewValue(p.Key(), p.Data(), s.lastRevision))
	return &committer.Written{}
}

var errLost = errors.New("lost")

// perform performs an action, subject to faults.
func (s *simulation) perform(a committer.Action) committer.Event {
	roll := s.random.Float64()
	switch a := a.(type) {
	case *committer.Get:
		if states := s.history[a.Key()]; roll < staleReadRate && len(states) > 0 {
			return committer.NewRead(states[s.random.IntN(len(states))])
		}
		if roll < staleReadRate+refusedRate {
			return committer.NewFailed(a, false, errLost)
		}
		return committer.NewRead(s.get(a.Key()))
	case *committer.Put:
		return s.send(a, roll)
	}
	return nil
}

func (s *simulation) send(p *committer.Put, roll float64) committer.Event {
	lost := committer.NewFailed(p, true, errLost)
	switch {
	case roll < lostRequestRate:
		return lost
	case roll < lostRequestRate+lostReplyRate:
		s.put(p)
		return lost
	case roll < lostRequestRate+lostReplyRate+lateEffectRate:
		s.delayedPuts = append(s.delayedPuts, p)
		return lost
	case roll < lostRequestRate+lostReplyRate+lateEffectRate+refusedRate:
		return committer.NewFailed(p, false, errLost)
	default:
		return s.put(p)
	}
}

func (s *simulation) run(t *testing.T) {
	ops := make([]*operator, operators)
	for i := range ops {
		ops[i] = &operator{number: i}
	}
	for {
		s.now++
		active := ops[:0:0]
		for _, o := range ops {
			if o.changesMade < changesPerOperator || o.change != nil {
				active = append(active, o)
			}
		}
		if len(active) == 0 {
			return
		}
		s.advance(t, active[s.random.IntN(len(active))])
		if len(s.delayedPuts) > 0 && s.random.IntN(8) == 0 {
			s.put(s.delayedPuts[0])
			s.delayedPuts = s.delayedPuts[1:]
		}
		if s.random.IntN(4) == 0 {
			s.read(t)
		}
	}
}

// advance makes one step of one operator.
func (s *simulation) advance(t *testing.T, o *operator) {
	switch {
	case o.change == nil:
		s.begin(t, o)
	case o.reply != nil:
		e := o.reply
		o.reply = nil
		s.step(o, e)
	case o.action != nil:
		o.reply = s.perform(o.action)
		o.action = nil
	default:
		at, _ := o.change.Next()
		s.now = max(s.now, at)
		s.step(o, &committer.Tick{})
	}
}

func (s *simulation) begin(t *testing.T, o *operator) {
	o.changesMade++
	o.changeID = fmt.Sprintf("%d-%d", o.number, o.changesMade)
	p, err := tier.NewProfile("gate", tier.WithQueueLimit(1000*o.number+o.changesMade))
	if err != nil {
		t.Fatal(err)
	}
	o.calledAt = s.now
	o.change = committer.New(parser.NewProfilesDocument(p), o.changeID, "op", "", s.now, committer.WithSeed(s.random.Uint64()))
	s.step(o, &committer.Start{})
}

func (s *simulation) step(o *operator, e committer.Event) {
	if f, ok := e.(*committer.Failed); ok && s.broken == noReadBack && f.Unsure() {
		s.finish(o, &committer.Unavailable{})
		return
	}
	for _, a := range o.change.Step(s.now, e) {
		if f, ok := a.(*committer.Finish); ok {
			s.finish(o, f.Result())
			return
		}
		o.action = a
	}
}

// register is the modelled state of the document: its revision and the change that wrote
// it.
type register struct {
	revision uint64
	change   string
}

type outcome int

const (
	accepted outcome = iota
	hadNoEffect
	mayHaveEffect
	observed
)

type result struct {
	outcome  outcome
	register register
}

func (s *simulation) finish(o *operator, r committer.Result) {
	s.results[o.changeID] = r
	out := result{outcome: hadNoEffect, register: register{change: o.changeID}}
	returned := s.now
	switch r := r.(type) {
	case *committer.Accepted:
		out.outcome = accepted
		for _, e := range r.State().Tail() {
			if e.ChangeID() == o.changeID {
				out.register.revision = e.Revision()
			}
		}
	case *committer.Unknown:
		out.outcome = mayHaveEffect
		returned = 1 << 40 // it may take effect at any later time
	}
	s.record(o.number, o.calledAt, returned, out)
	o.change, o.action = nil, nil
}

func (s *simulation) record(client int, called, returned tier.Millis, out result) {
	s.operations = append(s.operations, porcupine.Operation{
		ClientId: client, Call: int64(called), Return: int64(returned), Output: out,
	})
}

// read records an observation of the current state of the document.
func (s *simulation) read(t *testing.T) {
	v := s.get(s.documentKey)
	out := result{outcome: observed}
	if v.Present() {
		state := decode(t, v)
		out.register = register{revision: state.Ref().Revision(), change: state.LastEntry().ChangeID()}
	}
	s.record(operators, s.now, s.now, out)
}

func decode(t *testing.T, v storer.Value) *replicator.State {
	s, err := replicator.Decode(v.Key(), v.Data())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// model is a register: an accepted change is written on top of the state that it was
// based on, a rejected one is never written, and an unknown one may be written at any
// time.
func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, _, output any) []any {
			s, out := state.(register), output.(result)
			written := register{revision: s.revision + 1, change: out.register.change}
			switch {
			case out.outcome == observed && out.register == s, out.outcome == hadNoEffect:
				return []any{s}
			case out.outcome == accepted && out.register.revision == s.revision+1:
				return []any{written}
			case out.outcome == mayHaveEffect:
				return []any{s, written}
			default:
				return nil
			}
		},
	}
	return m.ToModel()
}

// checkAuditTrail compares the audit trail with the results that the operators got.
func (s *simulation) checkAuditTrail(t *testing.T) error {
	final := decode(t, s.get(s.documentKey))
	var archived []replicator.Entry
	for key := range s.history {
		if key == s.documentKey {
			continue
		}
		var e replicator.Entry
		if err := json.Unmarshal(s.get(key).Data(), &e); err != nil {
			t.Fatal(err)
		}
		archived = append(archived, e)
	}
	trail := replicator.MergeEntries(archived, final.Tail())
	inTrail := map[string]bool{}
	for i, e := range trail {
		inTrail[e.ChangeID()] = true
		if e.Revision() != uint64(i+1) {
			return fmt.Errorf("entry %d is of revision %d", i, e.Revision())
		}
	}
	for id, r := range s.results {
		_, wasAccepted := r.(*committer.Accepted)
		_, unknown := r.(*committer.Unknown)
		if wasAccepted != inTrail[id] && !unknown {
			return fmt.Errorf("change %s ended as %T, in the audit trail: %t", id, r, inTrail[id])
		}
	}
	return nil
}

// countViolations counts the seeds whose history violates the register model and those
// that violate the audit trail check.
func countViolations(t *testing.T, b breakage, n uint64) (register, audit int) {
	ends := map[string]int{}
	for seed := uint64(1); seed <= n; seed++ {
		s := newSimulation(seed, b)
		s.run(t)
		if !porcupine.CheckOperations(model(), s.operations) {
			register++
			t.Logf("seed %d: the history is not linearizable", seed)
		}
		if err := s.checkAuditTrail(t); err != nil {
			audit++
			t.Logf("seed %d: the audit trail is wrong: %v", seed, err)
		}
		for _, r := range s.results {
			ends[fmt.Sprintf("%T", r)]++
		}
	}
	t.Logf("%d seeds, changes by end: %v", n, ends)
	return register, audit
}

func TestHistories(t *testing.T) {
	if r, a := countViolations(t, notBroken, seeds); r != 0 || a != 0 {
		t.Errorf("%d histories are not linearizable, %d have a wrong audit trail", r, a)
	}
}

func TestRegisterCheckDetectsMissingReadBack(t *testing.T) {
	if r, _ := countViolations(t, noReadBack, brokenSeeds); r == 0 {
		t.Error("every history passes the register check")
	}
}

func TestAuditCheckDetectsMissingArchive(t *testing.T) {
	if _, a := countViolations(t, noArchive, brokenSeeds); a == 0 {
		t.Error("every history passes the audit check")
	}
}
