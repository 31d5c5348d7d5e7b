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

const applyHelp = `Checks the file as the command check does and replaces the document with it, in one compare-and-swap
together with the audit entry. FILE may be "-" for standard input.

A file with errors is refused. With --force it is not checked; what VMs can't
decode is rejected all the same.

With --expect-revision, the change is made only if the document is still at
that revision (0: does not exist yet). Without it, a change that another
operator makes at the same time is never overwritten either. If the store's
reply is lost, the command looks for the change id in the store to find out
whether the change was made. If the store stays unreachable, the exit code is 4;
run the same command again later with --change-id to find out whether the
change was made, and to make it if it was not.

With --vms, the store is first compared with what these VMs serve: if it was
restored from an old copy or is empty, nothing is changed (see reconcile). With
--wait, the command waits until the change is in force on all of these VMs, and
lists the VMs where it is in force and those that were not reached; exit code 1
then means that the change was accepted but is not yet in force on all of them.` + exitCodesHelp

const (
	maxReasonBytes   = 1024
	maxWhoBytes      = 128
	maxChangeIDBytes = 64
)

// changeFlags holds the flags of the commands that change a document.
type changeFlags struct {
	who              string
	reason           string
	id               string
	force            bool
	expectedRevision int64
	wait             bool
	waitMs           int64
	retryMs          int64
}

func (dc *documentCommand) applyCommand(use string) *cobra.Command {
	ch := &changeFlags{}
	c := &cobra.Command{
		Use: use, Short: "Replace the document with a file", Long: applyHelp, Args: rangeArgs(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := ch.validate(dc); err != nil {
				return err
			}
			return dc.apply(c, ch, args[0])
		},
	}
	ch.register(c)
	c.Flags().BoolVar(&ch.force, "force", false, "apply the file although the check finds errors")
	c.Flags().Int64Var(&ch.expectedRevision, "expect-revision", committer.AnyRevision, "revision that the document must have; 0: absent; -1: any")
	return c
}

func (ch *changeFlags) register(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&ch.who, "who", os.Getenv(whoEnv), "who makes the change ("+whoEnv+")")
	f.StringVar(&ch.reason, "reason", "", "reason for the change, for the audit trail")
	f.StringVar(&ch.id, "change-id", "", "id of the change; empty: a random one")
	f.BoolVar(&ch.wait, "wait", false, "wait until the change is in force on the VMs of --vms")
	f.Int64Var(&ch.waitMs, "wait-ms", 10000, "maximum time that --wait waits")
	f.Int64Var(&ch.retryMs, "patience-ms", 10000, "how long to retry while the store does not respond")
}

// validate checks the flags, and generates a change id if none was given.
func (ch *changeFlags) validate(dc *documentCommand) error {
	switch {
	case ch.who == "" || len(ch.who) > maxWhoBytes:
		return exitErrorf(exitBadInput, "--who: say who makes the change, in at most %d characters", maxWhoBytes)
	case ch.reason == "" || len(ch.reason) > maxReasonBytes:
		return exitErrorf(exitBadInput, "--reason: say why, in at most %d characters", maxReasonBytes)
	case ch.id != "" && (!tier.ValidName(ch.id) || len(ch.id) > maxChangeIDBytes):
		return exitErrorf(exitBadInput, "--change-id: %q is not allowed: a kebab-case name", ch.id)
	case ch.expectedRevision < committer.AnyRevision:
		return exitErrorf(exitBadInput, "--expect-revision: %d is not allowed: a revision, 0 or -1", ch.expectedRevision)
	case ch.wait && dc.vms == "":
		return exitErrorf(exitBadInput, "--wait: --vms is empty: give the addresses of the VMs")
	case ch.waitMs < 0 || ch.retryMs < 0:
		return exitErrorf(exitBadInput, "--wait-ms and --patience-ms may not be negative")
	}
	if ch.id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		ch.id = hex.EncodeToString(b[:])
	}
	return dc.validateOutput()
}

func (dc *documentCommand) apply(c *cobra.Command, ch *changeFlags, file string) error {
	d, err := dc.readChecked(c, file, ch.force)
	if err != nil {
		return err
	}
	opts := []committer.Option{
		committer.WithExpectedRevision(ch.expectedRevision),
		committer.WithTimeout(tier.Millis(ch.retryMs)),
		committer.WithHighestServed(dc.highestServed(c, replicator.KeyOf(d))),
	}
	return dc.commit(c, ch, committer.New(d, ch.id, ch.who, ch.reason, dc.clock.WallTime(), opts...))
}

// highestServed returns the newest reference to a document that the VMs of --vms serve. It
// prints a warning if no VM responds.
func (dc *documentCommand) highestServed(c *cobra.Command, key string) replicator.Ref {
	configurations := dc.queryVMs(c.Context())
	highest := replicator.NewRef(key, 0, 0, "")
	responses := 0
	for _, v := range configurations {
		if v.err != nil {
			continue
		}
		responses++
		if r := v.ref(key); r.NewerThan(highest) {
			highest = r
		}
	}
	if responses == 0 {
		fmt.Fprintln(c.ErrOrStderr(), "warning: no VM answered: the store could not be compared with what VMs serve")
	}
	return highest
}

// commit makes a change in the store and reports the result to the operator.
func (dc *documentCommand) commit(c *cobra.Command, ch *changeFlags, pending *committer.Change) error {
	store := dc.openStore()
	defer store.Close()
	switch r := committer.Run(c.Context(), dc.clock, store, pending).(type) {
	case *committer.Accepted:
		return dc.printAccepted(c, ch, r)
	case *committer.Rejected:
		return exitErrorf(exitRefused, "change %s was not made: %v", ch.id, r)
	case *committer.Invalid:
		return badInputError(r.Cause())
	case *committer.Unavailable:
		return exitErrorf(1, "change %s was not made: %v", ch.id, r.Cause())
	case *committer.Unknown:
		return exitErrorf(exitUnknown, "it is unknown whether change %s was made: %v; ask again with --change-id %s", ch.id, r.Cause(), ch.id)
	default:
		return exitErrorf(1, "change %s ended as %T", ch.id, r)
	}
}

// acceptedBody is the JSON output of apply and reconcile.
type acceptedBody struct {
	Change    string       `json:"change"`
	Unchanged bool         `json:"unchanged"`
	Document  refBody      `json:"document"`
	VMs       *propagation `json:"vms,omitempty"`
}

func (dc *documentCommand) printAccepted(c *cobra.Command, ch *changeFlags, r *committer.Accepted) error {
	ref := r.State().Ref()
	body := acceptedBody{Change: ch.id, Unchanged: r.Unchanged(), Document: newRefBody(ref)}
	if ch.wait {
		body.VMs = dc.waitInForce(c.Context(), ref, tier.Millis(ch.waitMs))
	}
	err := dc.print(c, body, func(w io.Writer) {
		result := "accepted"
		if r.Unchanged() {
			result = "nothing to change"
		}
		fmt.Fprintf(w, "%s: %s is at epoch %d, revision %d (change %s)\n", result, ref.Key(), ref.Epoch(), ref.Revision(), ch.id)
		body.VMs.print(w)
	})
	if err != nil {
		return err
	}
	if body.VMs != nil && len(body.VMs.InForce) < body.VMs.Asked {
		return exitErrorf(1, "the change was accepted, but is not in force on every VM yet")
	}
	return nil
}

// withTimeout returns a context for a request to a VM.
func withTimeout(ctx context.Context, m tier.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.Duration())
}
