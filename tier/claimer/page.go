package claimer

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Where and how claims lie in the store.
const (
	PagePrefix      = "cicadagrade/claims/"
	MaxPageBytes    = 1_000_000
	MaxReceiptBytes = 512 // a longer receipt is not kept for repeats
	entryBytes      = 256 // an entry without key and receipt, at most
)

// state is how far a claim has come.
type state string

const (
	stateClaimed  state = "claimed"  // its holder may run it
	stateRefused  state = "refused"  // did not run; may be claimed anew
	stateAnswered state = "answered" // ran
	stateUnknown  state = "unknown"  // may have run; never runs again
)

// rank orders the states of one claim: a claim only moves upwards.
func (s state) rank() int {
	switch s {
	case stateClaimed:
		return 1
	case stateRefused, stateAnswered, stateUnknown:
		return 2
	}
	return 0
}

// entry is the claim of one key.
type entry struct {
	claim       tier.AttemptID
	generation  uint64 // counts the claims of this key
	fingerprint string
	state       state
	receipt     string
	reason      tier.UnknownReason
}

// newer reports whether e stands for a later state of its key than o.
func (e entry) newer(o entry) bool {
	if e.generation != o.generation {
		return e.generation > o.generation
	}
	return e.state.rank() > o.state.rank()
}

type pageDocument struct {
	Claims []claimDocument `json:"claims"`
}

type claimDocument struct {
	Key         string `json:"key"`
	Claim       string `json:"claim"`
	Generation  uint64 `json:"generation"`
	Fingerprint string `json:"fingerprint"`
	State       state  `json:"state"`
	Receipt     string `json:"receipt,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// encodePage writes a page, sorted by key.
func encodePage(entries map[string]entry) ([]byte, error) {
	d := pageDocument{Claims: make([]claimDocument, 0, len(entries))}
	for k, e := range entries {
		d.Claims = append(d.Claims, claimDocument{
			Key: k, Claim: e.claim.String(), Generation: e.generation, Fingerprint: e.fingerprint,
			State: e.state, Receipt: e.receipt, Reason: string(e.reason),
		})
	}
	sort.Slice(d.Claims, func(i, j int) bool { return d.Claims[i].Key < d.Claims[j].Key })
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encodePage")
}

// decodePage reads a page; no bytes are an empty one. Its error is a
// *PageError.
func decodePage(b []byte) (map[string]entry, error) {
	entries := map[string]entry{}
	if len(b) == 0 {
		return entries, nil
	}
	var d pageDocument
	r := json.NewDecoder(bytes.NewReader(b))
	r.DisallowUnknownFields()
	if err := r.Decode(&d); err != nil {
		return nil, errors.WithStack(&PageError{problem: err.Error()})
	}
	if _, err := r.Token(); err != io.EOF {
		return nil, errors.WithStack(&PageError{problem: "bytes after the document"})
	}
	for _, c := range d.Claims {
		e, err := c.entry()
		if err != nil {
			return nil, errors.Wrap(err, "decodePage")
		}
		if _, double := entries[c.Key]; double {
			return nil, errors.WithStack(&PageError{key: c.Key, problem: "stands twice"})
		}
		entries[c.Key] = e
	}
	return entries, nil
}

func (c claimDocument) entry() (entry, error) {
	k, err := ParseKey(c.Key)
	if err != nil || k.Minted() {
		return entry{}, &PageError{key: c.Key, problem: "not the key of a caller"}
	}
	vm, life, counter, ok := parseID(c.Claim)
	if !ok {
		return entry{}, &PageError{key: c.Key, problem: "bad claim"}
	}
	if c.State.rank() == 0 || (c.State == stateAnswered) != (c.Receipt != "") || c.Generation == 0 {
		return entry{}, &PageError{key: c.Key, problem: "bad state"}
	}
	return entry{
		claim: tier.NewAttemptID(vm, life, counter), generation: c.Generation, fingerprint: c.Fingerprint,
		state: c.State, receipt: c.Receipt, reason: tier.UnknownReason(c.Reason),
	}, nil
}
