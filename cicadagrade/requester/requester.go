// Package requester is a client of the callers' API of an entry VM.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// maxAnswer bounds the bytes read of an answer.
const maxAnswer = 64 << 20

// Requester asks one entry VM.
type Requester struct {
	address string
	client  *http.Client
}

// New returns a client of the VM whose API is at address, an IP number and
// port.
func New(address string) *Requester {
	return &Requester{address: address, client: &http.Client{}}
}

// Response is the body of an answer with its status code.
type Response struct {
	status int
	body   []byte
}

// Status is the HTTP status code.
func (a Response) Status() int { return a.status }

// Body is the JSON body.
func (a Response) Body() []byte { return a.body }

// Decode decodes the body.
func (a Response) Decode(v any) error {
	return errors.Wrap(json.Unmarshal(a.body, v), "Answer.Into")
}

// MismatchError says that an answer did not arrive whole.
type MismatchError struct{ problem string }

// Error names what does not match.
func (e *MismatchError) Error() string { return "the answer is not whole: " + e.problem }

// Post sends a JSON body. It is sent once.
func (r *Requester) Post(ctx context.Context, path string, body any) (Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Post")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(b))
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Post")
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := r.do(q)
	return a, errors.Wrap(err, "Requester.Post")
}

// Get reads a JSON body.
func (r *Requester) Get(ctx context.Context, path string) (Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+path, nil)
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Get")
	}
	a, err := r.do(q)
	return a, errors.Wrap(err, "Requester.Get")
}

func (r *Requester) do(q *http.Request) (Response, error) {
	reply, err := r.client.Do(q)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer))
	if err != nil {
		return Response{}, err
	}
	return Response{status: reply.StatusCode, body: b}, nil
}

// CheckComplete reports whether the records of an answer are as many as it
// states and have the digest that it states. Its error is a *CutError.
func CheckComplete(records []tier.Record, count int, digest string) error {
	if len(records) != count {
		return errors.WithStack(&MismatchError{problem: fmt.Sprintf("%d of %d records", len(records), count)})
	}
	if d := tier.Digest(records); d != digest {
		return errors.WithStack(&MismatchError{problem: fmt.Sprintf("digest %s, want %s", d, digest)})
	}
	return nil
}
