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
	operators  = 4
	rounds     = 12 // changes of each operator; the audit tail overflows
	seeds      = 60
	fewSeeds   = 10 // enough for a broken variant
	lostBefore = 0.05
	lostAfter  = 0.10
	lateEffect = 0.05
	refused    = 0.05
	staleRead  = 0.10
)

// breakage leaves out a part of the mechanism, to see the checks object.
type breakage int

const (
	whole breakage = iota
	noReadBack
	noArchive
)

// world interleaves operators' changes on one store by a seed.
type world struct {
	random  *rand.Rand
	broken  breakage
	now     tier.Millis
	keys    map[string][]storer.Value // all states of each key
	counter int64
	late    []*committer.Put // sent, but not yet carried out
	events  []porcupine.Operation
	results map[string]committer.Result
	key     string
}

// operator is one person at a command line; answer is on its way to it.
type operator struct {
	number int
	round  int
	change *committer.Change
	id     string
	called tier.Millis
	action committer.Action
	answer committer.Event
}

func newWorld(seed uint64, b breakage) *world {
	return &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		broken:  b,
		keys:    map[string][]storer.Value{},
		results: map[string]committer.Result{},
		key:     replicator.Key(parser.KindProfiles, ""),
	}
}

func (w *world) get(key string) storer.Value {
	states := w.keys[key]
	if len(states) == 0 {
		return storer.NewValue(key, nil, 0)
	}
	return states[len(states)-1]
}

func (w *world) put(p *committer.Put) committer.Event {
	if w.broken == noArchive && p.Key() != w.key {
		return &committer.Written{}
	}
	current := w.get(p.Key())
	if current.Revision() != p.ExpectedRevision() {
		return committer.NewConflicted(current)
	}
	w.counter++
	w.keys[p.Key()] = append(w.keys[p.Key()], storer.NewValue(p.Key(), p.Data(), w.counter))
	return &committer.Written{}
}

var errLost = errors.New("lost")

// perform carries out an action, with faults.
func (w *world) perform(a committer.Action) committer.Event {
	dice := w.random.Float64()
	switch a := a.(type) {
	case *committer.Get:
		if states := w.keys[a.Key()]; dice < staleRead && len(states) > 0 {
			return committer.NewRead(states[w.random.IntN(len(states))])
		}
		if dice < staleRead+refused {
			return committer.NewFailed(a, false, errLost)
		}
		return committer.NewRead(w.get(a.Key()))
	case *committer.Put:
		return w.send(a, dice)
	}
	return nil
}

func (w *world) send(p *committer.Put, dice float64) committer.Event {
	lost := committer.NewFailed(p, true, errLost)
	switch {
	case dice < lostBefore:
		return lost
	case dice < lostBefore+lostAfter:
		w.put(p)
		return lost
	case dice < lostBefore+lostAfter+lateEffect:
		w.late = append(w.late, p)
		return lost
	case dice < lostBefore+lostAfter+lateEffect+refused:
		return committer.NewFailed(p, false, errLost)
	default:
		return w.put(p)
	}
}

func (w *world) run(t *testing.T) {
	ops := make([]*operator, operators)
	for i := range ops {
		ops[i] = &operator{number: i}
	}
	for {
		w.now++
		busy := ops[:0:0]
		for _, o := range ops {
			if o.round < rounds || o.change != nil {
				busy = append(busy, o)
			}
		}
		if len(busy) == 0 {
			return
		}
		w.turn(t, busy[w.random.IntN(len(busy))])
		if len(w.late) > 0 && w.random.IntN(8) == 0 {
			w.put(w.late[0])
			w.late = w.late[1:]
		}
		if w.random.IntN(4) == 0 {
			w.read(t)
		}
	}
}

// turn moves one operator on by one step.
func (w *world) turn(t *testing.T, o *operator) {
	switch {
	case o.change == nil:
		w.begin(t, o)
	case o.answer != nil:
		e := o.answer
		o.answer = nil
		w.step(o, e)
	case o.action != nil:
		o.answer = w.perform(o.action)
		o.action = nil
	default:
		at, _ := o.change.Next()
		w.now = max(w.now, at)
		w.step(o, &committer.Tick{})
	}
}

func (w *world) begin(t *testing.T, o *operator) {
	o.round++
	o.id = fmt.Sprintf("%d-%d", o.number, o.round)
	p, err := tier.NewProfile("gate", tier.WithQueueLimit(1000*o.number+o.round))
	if err != nil {
		t.Fatal(err)
	}
	o.called = w.now
	o.change = committer.New(parser.NewProfilesDocument(p), o.id, "op", "", w.now, committer.WithSeed(w.random.Uint64()))
	w.step(o, &committer.Start{})
}

func (w *world) step(o *operator, e committer.Event) {
	if f, ok := e.(*committer.Failed); ok && w.broken == noReadBack && f.Unsure() {
		w.finish(o, &committer.Unavailable{})
		return
	}
	for _, a := range o.change.Step(w.now, e) {
		if f, ok := a.(*committer.Finish); ok {
			w.finish(o, f.Result())
			return
		}
		o.action = a
	}
}

// register is the document as a register: the revision and the change that
// wrote it.
type register struct {
	revision uint64
	change   string
}

type outcome int

const (
	accepted outcome = iota
	notMade
	maybe
	isRead
)

type result struct {
	outcome  outcome
	register register
}

func (w *world) finish(o *operator, r committer.Result) {
	w.results[o.id] = r
	out := result{outcome: notMade, register: register{change: o.id}}
	returned := w.now
	switch r := r.(type) {
	case *committer.Accepted:
		out.outcome = accepted
		for _, e := range r.State().Tail() {
			if e.ChangeID() == o.id {
				out.register.revision = e.Revision()
			}
		}
	case *committer.Unknown:
		out.outcome = maybe
		returned = 1 << 40 // it may take effect at any later time
	}
	w.record(o.number, o.called, returned, out)
	o.change, o.action = nil, nil
}

func (w *world) record(client int, called, returned tier.Millis, out result) {
	w.events = append(w.events, porcupine.Operation{
		ClientId: client, Call: int64(called), Return: int64(returned), Output: out,
	})
}

// read observes the register as it truly is.
func (w *world) read(t *testing.T) {
	v := w.get(w.key)
	out := result{outcome: isRead}
	if v.Present() {
		s := decode(t, v)
		out.register = register{revision: s.Ref().Revision(), change: s.LastEntry().ChangeID()}
	}
	w.record(operators, w.now, w.now, out)
}

func decode(t *testing.T, v storer.Value) *replicator.State {
	s, err := replicator.Decode(v.Key(), v.Data())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// model is a register: an accepted change is written on the state that it
// was made on, a rejected one never, an unknown one perhaps.
func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, _, output any) []any {
			s, out := state.(register), output.(result)
			written := register{revision: s.revision + 1, change: out.register.change}
			switch {
			case out.outcome == isRead && out.register == s, out.outcome == notMade:
				return []any{s}
			case out.outcome == accepted && out.register.revision == s.revision+1:
				return []any{written}
			case out.outcome == maybe:
				return []any{s, written}
			default:
				return nil
			}
		},
	}
	return m.ToModel()
}

// auditProblem compares the audit trail with what operators were told.
func (w *world) auditProblem(t *testing.T) error {
	final := decode(t, w.get(w.key))
	var archived []replicator.Entry
	for key := range w.keys {
		if key == w.key {
			continue
		}
		var e replicator.Entry
		if err := json.Unmarshal(w.get(key).Data(), &e); err != nil {
			t.Fatal(err)
		}
		archived = append(archived, e)
	}
	trail := replicator.MergeEntries(archived, final.Tail())
	made := map[string]bool{}
	for i, e := range trail {
		made[e.ChangeID()] = true
		if e.Revision() != uint64(i+1) {
			return fmt.Errorf("entry %d is of revision %d", i, e.Revision())
		}
	}
	for id, r := range w.results {
		_, yes := r.(*committer.Accepted)
		_, unknown := r.(*committer.Unknown)
		if yes != made[id] && !unknown {
			return fmt.Errorf("change %s ended %T, in the trail: %t", id, r, made[id])
		}
	}
	return nil
}

// histories counts the seeds whose register and audit checks object.
func histories(t *testing.T, b breakage, n uint64) (register, audit int) {
	ends := map[string]int{}
	for seed := uint64(1); seed <= n; seed++ {
		w := newWorld(seed, b)
		w.run(t)
		if !porcupine.CheckOperations(model(), w.events) {
			register++
			t.Logf("seed %d: the register check objects", seed)
		}
		if err := w.auditProblem(t); err != nil {
			audit++
			t.Logf("seed %d: the audit check objects: %v", seed, err)
		}
		for _, r := range w.results {
			ends[fmt.Sprintf("%T", r)]++
		}
	}
	t.Logf("%d seeds, changes by end: %v", n, ends)
	return register, audit
}

func TestHistories(t *testing.T) {
	if r, a := histories(t, whole, seeds); r != 0 || a != 0 {
		t.Errorf("%d histories are no register, %d lose audit entries", r, a)
	}
}

func TestCheckObjectsWithoutReadBack(t *testing.T) {
	if r, _ := histories(t, noReadBack, fewSeeds); r == 0 {
		t.Error("no history breaks the register check")
	}
}

func TestCheckObjectsWithoutArchive(t *testing.T) {
	if _, a := histories(t, noArchive, fewSeeds); a == 0 {
		t.Error("no history breaks the audit check")
	}
}
