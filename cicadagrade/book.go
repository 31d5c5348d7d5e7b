package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const bookHelp = `Books on a record of a shard set: a request that may not be repeated. With an
idempotency key it runs at most once however often and wherever it is sent; the
same key again gives the same receipt. A key starts with the date on which it
is first sent (UTC). Without a key the entry VM makes one, which no one else
can send.

The exit code is 0 when the booking ran, 3 when it was refused and not run, and
4 when it may have run: ask again with the same key. A VM that refuses without
being able to look for an earlier sending of the key says unknown
(earlier-sending), unless --first-sending vouches that there was none.

  cicadagrade book --vm 127.0.0.1:7070 --profile certificate --set portao \
    --record certificate-17 --key 2026-12-04-load-993 "hygiene certificate"`

// bookBody is the body of POST /v1/book.
type bookBody struct {
	RequestID      string `json:"request-id"`
	Profile        string `json:"profile"`
	Set            string `json:"set"`
	RecordKey      string `json:"record-key"`
	Body           string `json:"body"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	FirstSending   bool   `json:"first-sending,omitempty"`
	DeadlineMs     *int64 `json:"deadline-ms,omitempty"`
}

func bookCommand() *cobra.Command {
	f := &callFlags{}
	var record, key string
	var first bool
	c := &cobra.Command{
		Use:   "book BODY",
		Short: "Make a booking, at most once",
		Long:  bookHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			body := bookBody{
				RequestID: f.id(), Profile: f.profile, Set: f.set, RecordKey: record,
				Body: args[0], IdempotencyKey: key, FirstSending: first, DeadlineMs: f.deadline(),
			}
			return f.run(c, "/v1/book", body, printBooking)
		},
	}
	f.register(c)
	c.Flags().StringVar(&record, "record", "", "key of the record to book on")
	c.Flags().StringVar(&key, "key", "", "idempotency key, such as 2026-12-04-load-993; empty: the VM makes one")
	c.Flags().BoolVar(&first, "first-sending", false, "vouch that the key was never sent before, so that a VM that can't look may say refused")
	_ = c.MarkFlagRequired("record")
	return c
}

func printBooking(out io.Writer, w *answerBody) {
	printOutcome(out, w)
	_, _ = fmt.Fprintf(out, "idempotency-key %s\n", w.IdempotencyKey)
	if w.Receipt != "" {
		_, _ = fmt.Fprintf(out, "receipt %s repeated %t\n", w.Receipt, w.Repeated)
	}
}
