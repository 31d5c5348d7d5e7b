package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

const profileHelp = `Shows and changes the profiles. All profiles are in one document: show it, edit
it, check the difference, apply it and see that it is in force:

  cicadagrade profile show > profiles.json
  cicadagrade profile diff profiles.json
  cicadagrade profile apply profiles.json --who ana --reason "faster gate" --wait
  cicadagrade profile history

An example of a document; of each profile, only the name is required:

  {"profiles": [{"name": "gate", "rank": "urgent", "min-coverage": 1,
    "deadline-ms": 1000, "max-deadline-ms": 10000, "imposed-wait-ms": 100,
    "queue-limit": 256, "hedge": true}]}` + exitCodesHelp

func profileCommand(clock *tier.Clock) *cobra.Command {
	dc := &documentCommand{clock: clock, kind: parser.KindProfiles}
	return dc.parentCommand("profile", "Show and change the profiles", profileHelp,
		dc.listCommand("Show all profiles", dc.listProfiles),
		dc.showCommand("show [NAME]", "Show the document, or one profile of it", rangeArgs(0, 1)),
		dc.applyCommand("apply FILE"),
		dc.diffCommand(),
		dc.historyCommand("history", rangeArgs(0, 0)),
		dc.reconcileCommand("reconcile", rangeArgs(0, 0)),
	)
}
