package leafserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Client calls the control port of a fleet.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a client of the control port at an address, an IP address and port.
func NewClient(address string) *Client {
	return &Client{address: address, client: &http.Client{}}
}

// LearnRequest is the fault request that gives the servers of a set a new shard map. The
// argument is the set's JSON document.
func LearnRequest(set []byte) []byte { return fmt.Appendf(nil, `{"learn":%s}`, set) }

// SetFaults posts a fault request, a JSON object, and returns the number of servers that it
// changed.
func (c *Client) SetFaults(ctx context.Context, request []byte) (int, error) {
	var reply faultReply
	err := c.post(ctx, "/faults", request, &reply)
	return reply.Changed, errors.Wrap(err, "Client.SetFaults")
}

// StartedTags returns those of the tags for which a search began to run. It fails when the
// journal was full and skipped some.
func (c *Client) StartedTags(ctx context.Context, tags []string) ([]string, error) {
	b, err := json.Marshal(startedRequest{Tags: tags})
	if err != nil {
		return nil, errors.Wrap(err, "Client.StartedTags")
	}
	var reply startedReply
	if err := c.post(ctx, "/started", b, &reply); err != nil {
		return nil, errors.Wrap(err, "Client.StartedTags")
	}
	if reply.Skipped > 0 {
		return nil, errors.Errorf("Client.StartedTags: the journal skipped %d entries", reply.Skipped)
	}
	return reply.Started, nil
}

// Counters reads the counters of every server.
func (c *Client) Counters(ctx context.Context) ([]Counters, error) {
	var reply countersReply
	err := c.get(ctx, "/counters", &reply)
	return reply.Servers, errors.Wrap(err, "Client.Counters")
}

// AppliedBookings lists the bookings that took effect, from the given journal entry on. It
// fails when the journal was full and skipped some.
func (c *Client) AppliedBookings(ctx context.Context, from int) ([]AppliedBooking, error) {
	var reply bookedReply
	if err := c.get(ctx, fmt.Sprintf("/booked?from=%d", from), &reply); err != nil {
		return nil, errors.Wrap(err, "Client.AppliedBookings")
	}
	if reply.Skipped > 0 {
		return nil, errors.Errorf("Client.AppliedBookings: the journal skipped %d entries", reply.Skipped)
	}
	return reply.Booked, nil
}

func (c *Client) post(ctx context.Context, path string, body []byte, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.do(q, into)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	return c.do(q, into)
}

func (c *Client) do(q *http.Request, into any) error {
	r, err := c.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", r.Status, bytes.TrimSpace(b))
	}
	return json.Unmarshal(b, into)
}
