package replicator

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/parser"
)

// Bounds of the delta steps that a VM keeps per document for its peers.
const (
	maxDeltaSteps     = 8
	maxDeltaStepBytes = 64 << 10
)

// Update brings a peer's copy of a document up to date, either with the whole document or
// with a delta from the version that the peer holds.
type Update struct {
	ref   Ref
	whole []byte
	delta []byte
	base  uint64
}

// NewUpdate returns an update. Exactly one of whole and delta is set.
func NewUpdate(ref Ref, whole, delta []byte, base uint64) Update {
	return Update{ref: ref, whole: whole, delta: delta, base: base}
}

// Ref identifies the version that the update leads to.
func (u Update) Ref() Ref { return u.ref }

// Whole is the encoded document, or nil.
func (u Update) Whole() []byte { return u.whole }

// Delta is the encoded delta from the base revision, or nil.
func (u Update) Delta() []byte { return u.delta }

// Base is the revision to which the delta applies.
func (u Update) Base() uint64 { return u.base }

// deltaStep is one change adopted by this VM, kept for peers that still have the version
// before it.
type deltaStep struct {
	base       Ref
	baseChange string // ID of the change that made the base
	patch      []byte
}

// servedDocument is a document that this VM serves.
type servedDocument struct {
	state *State
	steps []deltaStep
}

// replace replaces the state and keeps the step from the previous state.
func (sd *servedDocument) replace(s *State) {
	if sd.state != nil {
		sd.keepStep(s)
	}
	sd.state = s
	s.patch = nil
	for len(sd.steps) > maxDeltaSteps || sd.stepBytes() > maxDeltaStepBytes {
		sd.steps = sd.steps[1:]
	}
}

func (sd *servedDocument) keepStep(next *State) {
	patch := next.patch
	if patch == nil {
		var err error
		if patch, err = parser.Delta(sd.state.document, next.document); err != nil {
			sd.steps = nil
			return
		}
	}
	sd.steps = append(sd.steps, deltaStep{base: sd.state.ref, baseChange: sd.state.LastEntry().changeID, patch: patch})
}

func (sd *servedDocument) stepBytes() int {
	n := 0
	for _, s := range sd.steps {
		n += len(s.patch)
	}
	return n
}

type deltaBody struct {
	Base    string            `json:"base-change"`
	Patches []json.RawMessage `json:"patches"`
	Audit   []Entry           `json:"audit"`
}

// updateFrom returns the update for a peer that holds version have.
func (sd *servedDocument) updateFrom(have Ref) Update {
	for i, s := range sd.steps {
		if s.base == have {
			if delta, ok := sd.joinSteps(have, sd.steps[i:]); ok {
				return NewUpdate(sd.state.ref, nil, delta, have.revision)
			}
		}
	}
	return NewUpdate(sd.state.ref, sd.state.Encode(), nil, 0)
}

// joinSteps encodes consecutive steps as one delta. It reports false if the audit tail no
// longer holds every entry since the base.
func (sd *servedDocument) joinSteps(base Ref, steps []deltaStep) ([]byte, bool) {
	body := deltaBody{Base: steps[0].baseChange}
	for _, s := range steps {
		body.Patches = append(body.Patches, s.patch)
	}
	if !sd.state.TailCovers(base.epoch, base.revision) {
		return nil, false
	}
	last := Entry{epoch: base.epoch, revision: base.revision}
	for _, e := range sd.state.tail {
		if last.olderThan(e) {
			body.Audit = append(body.Audit, e)
		}
	}
	b, err := json.Marshal(body)
	return b, err == nil
}

// resolveUpdate returns the state that an update leads to. The error is a *CorruptError
// if a delta applies to another base or leads to another digest; the whole document is
// needed then.
func (sd *servedDocument) resolveUpdate(u Update) (*State, error) {
	if u.delta == nil {
		s, err := Decode(u.ref.key, u.whole)
		if err == nil && s.ref != u.ref {
			err = &CorruptError{key: u.ref.key, cause: "it is not the announced version"}
		}
		return s, errors.Wrap(err, "resolveUpdate")
	}
	if sd == nil || sd.state == nil || sd.state.ref.revision != u.base {
		return nil, errors.WithStack(&CorruptError{key: u.ref.key, cause: "the base revision of the delta is not served here"})
	}
	var body deltaBody
	if err := json.Unmarshal(u.delta, &body); err != nil {
		return nil, errors.Wrap(&CorruptError{key: u.ref.key, cause: err.Error()}, "resolveUpdate")
	}
	if body.Base != sd.state.LastEntry().changeID {
		return nil, errors.WithStack(&CorruptError{key: u.ref.key, cause: "the base of the delta is another change"})
	}
	d := sd.state.document
	for _, patch := range body.Patches {
		next, err := parser.Apply(d, patch)
		if err != nil {
			return nil, errors.Wrap(&CorruptError{key: u.ref.key, cause: err.Error()}, "resolveUpdate")
		}
		d = next
	}
	s := &State{ref: u.ref, document: d, tail: appendToTail(sd.state.tail, body.Audit...)}
	if len(body.Patches) == 1 {
		s.patch = body.Patches[0]
	}
	return s, errors.Wrap(s.check(), "resolveUpdate")
}
