package replicator

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/parser"
)

// Bounds of the deltas that a VM keeps of a document for its peers.
const (
	maxSteps     = 8
	maxStepBytes = 64 << 10
)

// Update brings a peer's document up to date: whole, or as a delta on the
// state that the peer named.
type Update struct {
	ref   Ref
	whole []byte
	delta []byte
	base  uint64
}

// NewUpdate returns an update; exactly one of whole and delta is set.
func NewUpdate(ref Ref, whole, delta []byte, base uint64) Update {
	return Update{ref: ref, whole: whole, delta: delta, base: base}
}

// Ref names the state that the update leads to.
func (u Update) Ref() Ref { return u.ref }

// Whole is the stored document, or nil.
func (u Update) Whole() []byte { return u.whole }

// Delta is what leads there from the base revision, or nil.
func (u Update) Delta() []byte { return u.delta }

// Base is the revision that the delta starts from.
func (u Update) Base() uint64 { return u.base }

// step is one change that this VM has taken, kept for peers behind it.
type step struct {
	base   Ref
	change string // that led to the base
	patch  []byte
}

// held is a document that this VM serves.
type held struct {
	state *State
	steps []step
}

// take replaces the state and keeps the step that led there.
func (h *held) take(s *State) {
	if h.state != nil {
		h.keepStep(s)
	}
	h.state = s
	s.patch = nil
	for len(h.steps) > maxSteps || h.stepBytes() > maxStepBytes {
		h.steps = h.steps[1:]
	}
}

func (h *held) keepStep(next *State) {
	patch := next.patch
	if patch == nil {
		var err error
		if patch, err = parser.Delta(h.state.document, next.document); err != nil {
			h.steps = nil
			return
		}
	}
	h.steps = append(h.steps, step{base: h.state.ref, change: h.state.LastEntry().change, patch: patch})
}

func (h *held) stepBytes() int {
	n := 0
	for _, s := range h.steps {
		n += len(s.patch)
	}
	return n
}

type deltaBody struct {
	Base    string            `json:"base-change"`
	Patches []json.RawMessage `json:"patches"`
	Audit   []Entry           `json:"audit"`
}

// update returns what brings a peer that holds have up to date.
func (h *held) update(have Ref) Update {
	for i, s := range h.steps {
		if s.base == have {
			if delta, ok := h.delta(have, h.steps[i:]); ok {
				return NewUpdate(h.state.ref, nil, delta, have.revision)
			}
		}
	}
	return NewUpdate(h.state.ref, h.state.Encode(), nil, 0)
}

// delta joins steps; it reports false when the audit tail does not hold
// every entry since the base.
func (h *held) delta(base Ref, steps []step) ([]byte, bool) {
	body := deltaBody{Base: steps[0].change}
	for _, s := range steps {
		body.Patches = append(body.Patches, s.patch)
	}
	if !h.state.TailCovers(base.epoch, base.revision) {
		return nil, false
	}
	last := Entry{epoch: base.epoch, revision: base.revision}
	for _, e := range h.state.tail {
		if last.before(e) {
			body.Audit = append(body.Audit, e)
		}
	}
	b, err := json.Marshal(body)
	return b, err == nil
}

// resolve turns an update into the state that it leads to. A delta on
// another base, or one whose result has another digest, is a *CorruptError:
// the whole document is needed.
func (h *held) resolve(u Update) (*State, error) {
	if u.delta == nil {
		s, err := Decode(u.ref.key, u.whole)
		if err == nil && s.ref != u.ref {
			err = &CorruptError{key: u.ref.key, cause: "it is of another revision than announced"}
		}
		return s, errors.Wrap(err, "resolve")
	}
	if h == nil || h.state == nil || h.state.ref.revision != u.base {
		return nil, errors.WithStack(&CorruptError{key: u.ref.key, cause: "its base is not held"})
	}
	var body deltaBody
	if err := json.Unmarshal(u.delta, &body); err != nil {
		return nil, errors.Wrap(&CorruptError{key: u.ref.key, cause: err.Error()}, "resolve")
	}
	if body.Base != h.state.LastEntry().change {
		return nil, errors.WithStack(&CorruptError{key: u.ref.key, cause: "its base is another change"})
	}
	d := h.state.document
	for _, patch := range body.Patches {
		next, err := parser.Apply(d, patch)
		if err != nil {
			return nil, errors.Wrap(&CorruptError{key: u.ref.key, cause: err.Error()}, "resolve")
		}
		d = next
	}
	s := &State{ref: u.ref, document: d, tail: extend(h.state.tail, body.Audit...)}
	if len(body.Patches) == 1 {
		s.patch = body.Patches[0]
	}
	return s, errors.Wrap(s.check(), "resolve")
}
