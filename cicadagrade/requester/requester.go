// Package requester is a client of an entry VM's HTTP API.
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

// maxResponseBytes limits the bytes that are read of a response.
const maxResponseBytes = 64 << 20

// Requester sends requests to one entry VM.
type Requester struct {
	address string
	client  *http.Client
}

// New returns a client of the VM whose API is at address, an IP address and port.
func New(address string) *Requester {
	return &Requester{address: address, client: &http.Client{}}
}

// Response is the status code and body of an HTTP response.
type Response struct {
	status int
	body   []byte
}

// Status returns the HTTP status code.
func (r Response) Status() int { return r.status }

// Body returns the JSON body.
func (r Response) Body() []byte { return r.body }

// Decode decodes the JSON body into v.
func (r Response) Decode(v any) error {
	return errors.Wrap(json.Unmarshal(r.body, v), "Response.Decode")
}

// MismatchError reports that the records of a response do not match its count or digest.
type MismatchError struct{ problem string }

// Error states what does not match.
func (e *MismatchError) Error() string { return "the records do not match the response: " + e.problem }

// Post sends a POST request with a JSON body. It is not retried.
func (r *Requester) Post(ctx context.Context, path string, body any) (Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Post")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(b))
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Post")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.do(request)
	return response, errors.Wrap(err, "Requester.Post")
}

// Get sends a GET request.
func (r *Requester) Get(ctx context.Context, path string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+path, nil)
	if err != nil {
		return Response{}, errors.Wrap(err, "Requester.Get")
	}
	response, err := r.do(request)
	return response, errors.Wrap(err, "Requester.Get")
}

// do sends a request and reads its response.
func (r *Requester) do(request *http.Request) (Response, error) {
	reply, err := r.client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes))
	if err != nil {
		return Response{}, err
	}
	return Response{status: reply.StatusCode, body: body}, nil
}

// CheckComplete checks the records of a response against the count and digest that it states.
// The error is a *MismatchError.
func CheckComplete(records []tier.Record, count int, digest string) error {
	if len(records) != count {
		return errors.WithStack(&MismatchError{problem: fmt.Sprintf("%d of %d records", len(records), count)})
	}
	if d := tier.Digest(records); d != digest {
		return errors.WithStack(&MismatchError{problem: fmt.Sprintf("digest %s, want %s", d, digest)})
	}
	return nil
}
