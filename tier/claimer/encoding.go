package claimer

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Location and bounds of the stored claims.
const (
	PagePrefix      = "cicadagrade/claims/"
	MaxPageBytes    = 1_000_000
	MaxReceiptBytes = 512 // a longer receipt is not stored: a repeat gets an unknown outcome
	maxEntryBytes   = 256 // of an encoded entry, without its key and receipt
)

// state is the stored state of a claim.
type state string

const (
	stateClaimed  state = "claimed"  // its holder may run the booking
	stateRefused  state = "refused"  // the booking did not run; the key may be claimed again
	stateAnswered state = "answered" // the booking ran
	stateUnknown  state = "unknown"  // the booking may have run; it never runs again
)

// rank orders the states of one claim: the rank of a claim never decreases.
func (s state) rank() int {
	switch s {
	case stateClaimed:
		return 1
	case stateRefused, stateAnswered, stateUnknown:
		return 2
	}
	return 0
}

// entry is the stored claim of one key.
type entry struct {
	claimID     tier.AttemptID
	generation  uint64 // counts the claims of this key
	fingerprint string
	state       state
	receipt     string
	reason      tier.UnknownReason
}

// newerThan reports whether e is a later state of the same key than o.
func (e entry) newerThan(o entry) bool {
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

// encodePage encodes a page, sorted by key.
func encodePage(entries map[string]entry) ([]byte, error) {
	d := pageDocument{Claims: make([]claimDocument, 0, len(entries))}
	for k, e := range entries {
		d.Claims = append(d.Claims, claimDocument{
			Key: k, Claim: e.claimID.String(), Generation: e.generation, Fingerprint: e.fingerprint,
			State: e.state, Receipt: e.receipt, Reason: string(e.reason),
		})
	}
	sort.Slice(d.Claims, func(i, j int) bool { return d.Claims[i].Key < d.Claims[j].Key })
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encodePage")
}

// decodePage decodes a page; empty input is an empty page. Its error is a *PageError.
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
		return nil, errors.WithStack(&PageError{problem: "unexpected data after the document"})
	}
	for _, c := range d.Claims {
		e, err := c.entry()
		if err != nil {
			return nil, errors.Wrap(err, "decodePage")
		}
		if _, duplicate := entries[c.Key]; duplicate {
			return nil, errors.WithStack(&PageError{key: c.Key, problem: "claimed twice"})
		}
		entries[c.Key] = e
	}
	return entries, nil
}

func (c claimDocument) entry() (entry, error) {
	k, err := ParseKey(c.Key)
	if err != nil || k.Minted() {
		return entry{}, &PageError{key: c.Key, problem: "not a caller-made key"}
	}
	vm, incarnation, counter, ok := parseID(c.Claim)
	if !ok {
		return entry{}, &PageError{key: c.Key, problem: "malformed claim ID"}
	}
	if c.State.rank() == 0 || (c.State == stateAnswered) != (c.Receipt != "") || c.Generation == 0 {
		return entry{}, &PageError{key: c.Key, problem: "inconsistent state, receipt or generation"}
	}
	return entry{
		claimID: tier.NewAttemptID(vm, incarnation, counter), generation: c.Generation, fingerprint: c.Fingerprint,
		state: c.State, receipt: c.Receipt, reason: tier.UnknownReason(c.Reason),
	}, nil
}
