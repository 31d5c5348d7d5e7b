#!/usr/bin/env bash
# Measures the tier with real processes on loopback: added latency, hedging and
# floods, for both deployments where it says so. Results go to .run/ as JSON;
# the tables are printed. The figures of a shared machine are trials.
# usage: demo/measure.sh DIRECTORY-OF-PROGRAMS [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
shift
wanted=${*:-added-latency two-cores hedging floods-associacao floods-zorin flood-one-vm flood-cut-off day-zorin}
mkdir -p .run

# measure NAME DEPLOYMENT "BACKEND FLAGS" COMMAND...: a deployment of its own
# for one measurement.
measure() {
  local name=$1 deployment=$2 flags=$3
  shift 3
  [[ " $wanted " == *" $name "* ]] || return 0
  (
    source demo/start.sh
    say "$name"
    # shellcheck disable=SC2086
    start_platform $flags
    if [ -n "${linked:-}" ]; then
      start links "$bin/standin" link --config "$data/links.json"
      start_vms "$data/links.json"
    else
      start_vms
    fi
    apply_documents >/dev/null
    sleep 4
    "$bin/standin" "$@" --deployment "$data.json"
  )
}

w=standin/workload
measure added-latency associacao "" load --workload $w/associacao-one-set.json --out .run/added-latency.json
vm_procs=2 measure two-cores associacao "--median 1ms" load --workload $w/associacao-two-cores.json --out .run/two-cores.json
measure hedging associacao "" experiment --file $w/experiment-hedging.json --out .run
measure floods-associacao associacao "--median 15ms" load --workload $w/associacao-floods.json --out .run/floods-associacao.json
measure floods-zorin zorin "--median 15ms" load --workload $w/zorin-floods.json --out .run/floods-zorin.json
measure flood-one-vm associacao "--median 15ms" load --workload $w/associacao-flood-one-vm.json --out .run/flood-one-vm.json
linked=1 measure flood-cut-off associacao "--median 15ms" load --workload $w/associacao-flood-cut-off.json --out .run/flood-cut-off.json
measure day-zorin zorin "" load --workload $w/zorin-day.json --out .run/day-zorin.json
