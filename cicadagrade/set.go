package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

const setHelp = `Shows and changes the shard sets: for each its backend servers, its shards
with their replicas, and the settings of its owners. Each set is one document:

  cicadagrade set list
  cicadagrade set show portao > portao.json
  cicadagrade set diff portao.json
  cicadagrade set apply portao.json --who ana --reason "third replica" --wait
  cicadagrade set history portao

A shard holds the records whose key hash lies from "from" to "to", 16
hexadecimal digits each; the shards of a set divide all hashes without a gap.
When they divide them otherwise than before, "epoch" must be higher.` + exitCodesHelp

func setCommand(clock *tier.Clock) *cobra.Command {
	o := &configurer{clock: clock, kind: parser.KindSet}
	return o.group("set", "Show and change the shard sets", setHelp,
		o.listCommand("Show all shard sets", o.listSets),
		o.showCommand("show NAME", "Show the document of a set", arguments(1, 1)),
		o.applyCommand("apply FILE"),
		o.diffCommand(),
		o.historyCommand("history NAME", arguments(1, 1)),
		o.reconcileCommand("reconcile NAME", arguments(1, 1)),
	)
}
