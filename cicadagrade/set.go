package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

const setHelp = `Shows and changes the shard sets. A set has backend servers, shards with their
replicas, and settings of its owners. Each set is a document of its own:

  cicadagrade set list
  cicadagrade set show portao > portao.json
  cicadagrade set diff portao.json
  cicadagrade set apply portao.json --who ana --reason "third replica" --wait
  cicadagrade set history portao

A shard holds the records whose key hash is in the range "from" to "to", given
as 16 hexadecimal digits each. The ranges of a set's shards must cover all
hashes without a gap. A change of the ranges needs a higher "epoch".` + exitCodesHelp

func setCommand(clock *tier.Clock) *cobra.Command {
	dc := &documentCommand{clock: clock, kind: parser.KindSet}
	return dc.parentCommand("set", "Show and change the shard sets", setHelp,
		dc.listCommand("Show all shard sets", dc.listSets),
		dc.showCommand("show NAME", "Show the document of a set", rangeArgs(1, 1)),
		dc.applyCommand("apply FILE"),
		dc.diffCommand(),
		dc.historyCommand("history NAME", rangeArgs(1, 1)),
		dc.reconcileCommand("reconcile NAME", rangeArgs(1, 1)),
	)
}
