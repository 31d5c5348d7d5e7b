package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

const profileHelp = `Shows and changes the profiles. All profiles are one document: show it, edit
it, look at the difference, apply it, and see that it is in force:

  cicadagrade profile show > profiles.json
  cicadagrade profile diff profiles.json
  cicadagrade profile apply profiles.json --who ana --reason "faster gate" --wait
  cicadagrade profile history

A document looks like this; only the name of a profile is required:

  {"profiles": [{"name": "gate", "rank": "urgent", "min-coverage": 1,
    "deadline-ms": 1000, "max-deadline-ms": 10000, "imposed-wait-ms": 100,
    "queue-limit": 256, "hedge": true}]}` + exitCodesHelp

func profileCommand(clock *tier.Clock) *cobra.Command {
	o := &configurer{clock: clock, kind: parser.KindProfiles}
	return o.group("profile", "Show and change the profiles", profileHelp,
		o.listCommand("Show all profiles", o.listProfiles),
		o.showCommand("show [NAME]", "Show the document, or one profile of it", arguments(0, 1)),
		o.applyCommand("apply FILE"),
		o.diffCommand(),
		o.historyCommand("history", arguments(0, 0)),
		o.reconcileCommand("reconcile", arguments(0, 0)),
	)
}
