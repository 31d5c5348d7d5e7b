package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const bookHelp = `Makes a booking on a record of a shard set. A booking is not idempotent by itself.
With an idempotency key, it runs at most once, however often and to whichever VM
it is sent; sending the key again returns the same receipt. A key starts with
the date (UTC) on which it is first sent. Without a key, the entry VM generates
one that can't be sent again.

The exit code is 0 if the booking ran, 3 if it was refused and not run, and 4 if
it may have run: then send it again with the same key. A VM that refuses a key
and can't find out whether it was sent before reports the outcome unknown
(earlier-sending), unless --first-sending states that it was not.

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
	f := &requestFlags{}
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
	c.Flags().StringVar(&key, "key", "", "idempotency key, such as 2026-12-04-load-993; empty: the VM generates one")
	c.Flags().BoolVar(&first, "first-sending", false, "state that the key was never sent before, so that a VM that can't check may report refused")
	_ = c.MarkFlagRequired("record")
	return c
}

func printBooking(out io.Writer, b *responseBody) {
	printOutcome(out, b)
	_, _ = fmt.Fprintf(out, "idempotency-key %s\n", b.IdempotencyKey)
	if b.Receipt != "" {
		_, _ = fmt.Fprintf(out, "receipt %s repeated %t\n", b.Receipt, b.Repeated)
	}
}
