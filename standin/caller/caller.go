// Package caller sends searches and bookings as the users' services do: to
// the API of the entry VMs, or, for comparison, straight to the backend
// servers.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/checker"
	"cicadagrade.example/tier"
)

// maxIdle bounds the idle connections kept to one address.
const maxIdle = 4096

// Search is a search to send.
type Search struct {
	requestID string
	profile   *tier.Profile
	set       string
	term      string
	deadline  tier.Millis
}

// NewSearch returns a search; the deadline is counted from its arrival.
func NewSearch(requestID string, p *tier.Profile, set, term string, deadline tier.Millis) Search {
	return Search{requestID: requestID, profile: p, set: set, term: term, deadline: deadline}
}

// Booking is a request that may not be repeated.
type Booking struct {
	requestID string
	profile   *tier.Profile
	set       string
	recordKey string
	body      string
	key       string
	deadline  tier.Millis
}

// NewBooking returns a booking. The idempotency key may be empty.
func NewBooking(requestID string, p *tier.Profile, set, recordKey, body, key string, deadline tier.Millis) Booking {
	return Booking{requestID: requestID, profile: p, set: set, recordKey: recordKey, body: body, key: key, deadline: deadline}
}

// Target answers searches: *VM or *Bare.
type Target interface {
	target()
	// Search sends a search and returns its answer. An error means that no
	// answer came.
	Search(ctx context.Context, q Search) (*checker.Answer, error)
}

// VMClient is one entry VM.
type VMClient struct {
	address string
	client  *http.Client
}

// NewVMClient returns an entry VM whose API has this address.
func NewVMClient(address string) *VMClient {
	t := &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle}
	return &VMClient{address: address, client: &http.Client{Transport: t}}
}

type searchBody struct {
	RequestID string      `json:"request-id"`
	Profile   string      `json:"profile"`
	Set       string      `json:"set"`
	Term      string      `json:"term"`
	Deadline  tier.Millis `json:"deadline-ms"`
}

type bookBody struct {
	RequestID      string      `json:"request-id"`
	Profile        string      `json:"profile"`
	Set            string      `json:"set"`
	RecordKey      string      `json:"record-key"`
	Body           string      `json:"body"`
	IdempotencyKey string      `json:"idempotency-key,omitempty"`
	Deadline       tier.Millis `json:"deadline-ms"`
}

func (*VMClient) target() {}

// Search posts a search.
func (v *VMClient) Search(ctx context.Context, q Search) (*checker.Answer, error) {
	a, err := v.post(ctx, "/v1/search", searchBody{
		RequestID: q.requestID,
		Profile:   q.profile.Name(),
		Set:       q.set,
		Term:      q.term,
		Deadline:  q.deadline,
	})
	return a, errors.Wrap(err, "VM.Search")
}

// Book posts a booking.
func (v *VMClient) Book(ctx context.Context, q Booking) (*checker.Answer, error) {
	a, err := v.post(ctx, "/v1/book", bookBody{
		RequestID:      q.requestID,
		Profile:        q.profile.Name(),
		Set:            q.set,
		RecordKey:      q.recordKey,
		Body:           q.body,
		IdempotencyKey: q.key,
		Deadline:       q.deadline,
	})
	return a, errors.Wrap(err, "VM.Book")
}

func (v *VMClient) post(ctx context.Context, path string, body any) (*checker.Answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := v.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return checker.ParseAnswer(answer)
}
