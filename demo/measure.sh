#!/usr/bin/env bash
# Measures the tier with real processes on loopback: added latency, hedging,
# overload and a day's load. The names of some measurements end with their
# deployment. Results are written to .run/ as JSON and printed as tables. Figures
# from a machine with other load are only trials.
# usage: demo/measure.sh PROGRAM-DIRECTORY [MEASUREMENT ...]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
shift
selected=${*:-added-latency two-cores hedging floods-associacao floods-zorin flood-one-vm flood-cut-off day-zorin}
mkdir -p .run

# measure NAME DEPLOYMENT "BACKEND FLAGS" COMMAND...: starts a new deployment
# and runs a standin command on it, if the measurement was selected.
# The variable linked, if set, puts the VMs behind links that can be cut.
measure() {
  local name=$1 deployment=$2 backend_flags=$3
  shift 3
  [[ " $selected " == *" $name "* ]] || return 0
  (
    source demo/start.sh
    heading "$name"
    # shellcheck disable=SC2086
    start_platform $backend_flags
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

workloads=standin/workload
measure added-latency associacao "" load --workload $workloads/associacao-one-set.json --out .run/added-latency.json
vm_procs=2 measure two-cores associacao "--median 1ms" load --workload $workloads/associacao-two-cores.json --out .run/two-cores.json
measure hedging associacao "" experiment --file $workloads/experiment-hedging.json --out .run
measure floods-associacao associacao "--median 15ms" load --workload $workloads/associacao-floods.json --out .run/floods-associacao.json
measure floods-zorin zorin "--median 15ms" load --workload $workloads/zorin-floods.json --out .run/floods-zorin.json
measure flood-one-vm associacao "--median 15ms" load --workload $workloads/associacao-flood-one-vm.json --out .run/flood-one-vm.json
linked=1 measure flood-cut-off associacao "--median 15ms" load --workload $workloads/associacao-flood-cut-off.json --out .run/flood-cut-off.json
measure day-zorin zorin "" load --workload $workloads/zorin-day.json --out .run/day-zorin.json
