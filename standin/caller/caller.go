// Package caller sends searches and bookings as the organisations' services do: to the
// API of the entry VMs or, as a baseline, directly to the backend servers.
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

// maxIdleConns is the maximum number of idle connections kept to one address.
const maxIdleConns = 4096

// Search holds the parameters of a search.
type Search struct {
	requestID string
	profile   *tier.Profile
	set       string
	term      string
	deadline  tier.Millis
}

// NewSearch returns a search. The deadline is a duration from the arrival of the
// request.
func NewSearch(requestID string, p *tier.Profile, set, term string, deadline tier.Millis) Search {
	return Search{requestID: requestID, profile: p, set: set, term: term, deadline: deadline}
}

// Booking holds the parameters of a booking, which must take effect at most once.
type Booking struct {
	requestID      string
	profile        *tier.Profile
	set            string
	recordKey      string
	body           string
	idempotencyKey string
	deadline       tier.Millis
}

// NewBooking returns a booking. The idempotency key may be empty.
func NewBooking(requestID string, p *tier.Profile, set, recordKey, body, idempotencyKey string, deadline tier.Millis) Booking {
	return Booking{requestID: requestID, profile: p, set: set, recordKey: recordKey, body: body, idempotencyKey: idempotencyKey, deadline: deadline}
}

// Target is a client for searches: *VMClient or *DirectClient.
type Target interface {
	isTarget()
	// Search sends a search and returns its answer, or an error if none arrived.
	Search(ctx context.Context, q Search) (*checker.Answer, error)
}

// VMClient sends requests to the API of one entry VM.
type VMClient struct {
	address string
	client  *http.Client
}

// NewVMClient returns a client of the entry VM whose API has this address.
func NewVMClient(address string) *VMClient {
	t := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
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

func (*VMClient) isTarget() {}

// Search sends a search to the VM and returns its answer.
func (c *VMClient) Search(ctx context.Context, q Search) (*checker.Answer, error) {
	a, err := c.post(ctx, "/v1/search", searchBody{
		RequestID: q.requestID,
		Profile:   q.profile.Name(),
		Set:       q.set,
		Term:      q.term,
		Deadline:  q.deadline,
	})
	return a, errors.Wrap(err, "VMClient.Search")
}

// Book sends a booking to the VM and returns its answer.
func (c *VMClient) Book(ctx context.Context, q Booking) (*checker.Answer, error) {
	a, err := c.post(ctx, "/v1/book", bookBody{
		RequestID:      q.requestID,
		Profile:        q.profile.Name(),
		Set:            q.set,
		RecordKey:      q.recordKey,
		Body:           q.body,
		IdempotencyKey: q.idempotencyKey,
		Deadline:       q.deadline,
	})
	return a, errors.Wrap(err, "VMClient.Book")
}

func (c *VMClient) post(ctx context.Context, path string, body any) (*checker.Answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.client.Do(q)
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
