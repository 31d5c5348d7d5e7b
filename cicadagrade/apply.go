package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/replicator"
)

const applyHelp = `Checks the file and makes it the document, in one compare-and-swap together
with its audit entry. FILE may be "-" for standard input.

With --expect-revision the change is made only if the document is still at
that revision (0: does not exist yet). Without it, a change that another
operator makes at the same moment is still never overwritten. When the store's
answer is lost, the change id is looked for before anything is said; if the
store stays away, the exit code is 4 and the same command with --change-id
tells later whether the change was made, and makes it if not.

With --vms, the store is first compared with what VMs serve: if it was restored
from an old copy or is empty, nothing is changed (see reconcile). With --wait
the command goes on until the change is in force on each of these VMs, and
names those where it is and those not reached; exit code 1 then says that the
change was accepted but is not in force on all of them yet.` + exitCodesHelp

const (
	maxReason   = 1024
	maxWho      = 128
	maxChangeID = 64
)

// change is what the flags of a command say of a change.
type change struct {
	who      string
	reason   string
	id       string
	expect   int64
	wait     bool
	waitMs   int64
	patience int64
}

func (o *configurer) applyCommand(use string) *cobra.Command {
	ch := &change{}
	c := &cobra.Command{
		Use: use, Short: "Change the document to a file", Long: applyHelp, Args: arguments(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := ch.check(o); err != nil {
				return err
			}
			return o.apply(c, ch, args[0])
		},
	}
	ch.register(c)
	c.Flags().Int64Var(&ch.expect, "expect-revision", committer.AnyRevision, "revision that the document must be at; 0: absent; -1: any")
	return c
}

func (ch *change) register(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&ch.who, "who", os.Getenv(whoEnv), "who makes the change ("+whoEnv+")")
	f.StringVar(&ch.reason, "reason", "", "why, for the audit trail")
	f.StringVar(&ch.id, "change-id", "", "id of the change; empty: one is made")
	f.BoolVar(&ch.wait, "wait", false, "wait until the change is in force on the VMs of --vms")
	f.Int64Var(&ch.waitMs, "wait-ms", 10000, "how long --wait waits")
	f.Int64Var(&ch.patience, "patience-ms", 10000, "how long to go on trying while the store does not answer")
}

func (ch *change) check(o *configurer) error {
	switch {
	case ch.who == "" || len(ch.who) > maxWho:
		return fail(exitBadInput, "--who: say who makes the change, in at most %d characters", maxWho)
	case ch.reason == "" || len(ch.reason) > maxReason:
		return fail(exitBadInput, "--reason: say why, in at most %d characters", maxReason)
	case ch.id != "" && (!tier.ValidName(ch.id) || len(ch.id) > maxChangeID):
		return fail(exitBadInput, "--change-id: %q is not allowed: a kebab-case name", ch.id)
	case ch.expect < committer.AnyRevision:
		return fail(exitBadInput, "--expect-revision: %d is not allowed: a revision, 0 or -1", ch.expect)
	case ch.wait && o.vms == "":
		return fail(exitBadInput, "--wait: --vms is empty: name the VMs to ask")
	case ch.waitMs < 0 || ch.patience < 0:
		return fail(exitBadInput, "--wait-ms and --patience-ms may not be negative")
	}
	if ch.id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		ch.id = hex.EncodeToString(b[:])
	}
	return o.check()
}

func (o *configurer) apply(c *cobra.Command, ch *change, file string) error {
	d, err := o.readFile(c, file)
	if err != nil {
		return err
	}
	opts := []committer.Option{
		committer.WithExpectedRevision(ch.expect),
		committer.WithTimeout(tier.Millis(ch.patience)),
		committer.WithHighestServed(o.floor(c, replicator.KeyOf(d))),
	}
	return o.drive(c, ch, committer.New(d, ch.id, ch.who, ch.reason, o.clock.WallTime(), opts...))
}

// floor is the highest state of a document that the VMs serve. It warns when
// none answers.
func (o *configurer) floor(c *cobra.Command, key string) replicator.Ref {
	views := o.ask(c.Context())
	highest := replicator.NewRef(key, 0, 0, "")
	answered := 0
	for _, v := range views {
		if v.err != nil {
			continue
		}
		answered++
		if r := v.ref(key); r.NewerThan(highest) {
			highest = r
		}
	}
	if answered == 0 {
		fmt.Fprintln(c.ErrOrStderr(), "warning: no VM answered: the store could not be compared with what VMs serve")
	}
	return highest
}

// drive carries a change out and tells the operator how it ended.
func (o *configurer) drive(c *cobra.Command, ch *change, machine *committer.Change) error {
	store := o.open()
	defer store.Close()
	switch r := committer.Run(c.Context(), o.clock, store, machine).(type) {
	case *committer.Accepted:
		return o.accepted(c, ch, r)
	case *committer.Rejected:
		return fail(exitRefused, "change %s was not made: %v", ch.id, r)
	case *committer.Invalid:
		return badInput(r.Cause())
	case *committer.Unavailable:
		return fail(1, "change %s was not made: %v", ch.id, r.Cause())
	case *committer.Unknown:
		return fail(exitUnknown, "it is unknown whether change %s was made: %v; ask again with --change-id %s", ch.id, r.Cause(), ch.id)
	default:
		return fail(1, "change %s ended as %T", ch.id, r)
	}
}

// acceptedBody is the answer of apply and reconcile.
type acceptedBody struct {
	Change    string     `json:"change"`
	Unchanged bool       `json:"unchanged"`
	Document  refBody    `json:"document"`
	VMs       *spreadOut `json:"vms,omitempty"`
}

func (o *configurer) accepted(c *cobra.Command, ch *change, r *committer.Accepted) error {
	ref := r.State().Ref()
	body := acceptedBody{Change: ch.id, Unchanged: r.Unchanged(), Document: newRefBody(ref)}
	if ch.wait {
		body.VMs = o.awaitInForce(c.Context(), ref, tier.Millis(ch.waitMs))
	}
	err := o.print(c, body, func(w io.Writer) {
		what := "accepted"
		if r.Unchanged() {
			what = "nothing to change"
		}
		fmt.Fprintf(w, "%s: %s is at epoch %d, revision %d (change %s)\n", what, ref.Key(), ref.Epoch(), ref.Revision(), ch.id)
		body.VMs.print(w)
	})
	if err != nil {
		return err
	}
	if body.VMs != nil && len(body.VMs.InForce) < body.VMs.Asked {
		return fail(1, "the change was accepted, but is not in force on every VM yet")
	}
	return nil
}

// withTimeout bounds a question to VMs.
func withTimeout(ctx context.Context, m tier.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.Duration())
}
