#!/usr/bin/env bash
# Runs the Associação deployment under load over links that can be cut, and
# injects failures: two VMs are killed, the store is down, slow, loses answers
# and is stale, a data centre is cut off, a VM is paused, and every VM is
# restarted one after the other. The load generator checks each answer and
# booking against what the backend servers executed. A violated guarantee ends
# the script with exit code 1.
# usage: demo/failures.sh PROGRAM-DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
deployment=associacao
balancer_lag=2000
source demo/start.sh
links=$data/links.json

heading "start the deployment over links with a one-way delay of 20 ms between data centres"
start_platform
start links "$bin/standin" link --config "$links"
start_vms "$links"
apply_documents >/dev/null
for vm in "${vms[@]}"; do
  retry_for 20 "$bin/cicadagrade" search --profile gate --set portao --vm "${api[$vm]}" grower-17 || fail "$vm does not answer"
done

# start_load HEADING WORKLOAD: runs a workload in the background.
start_load() {
  heading "$1"
  "$bin/standin" load --deployment "$data.json" --workload "standin/workload/$2.json" --out "$logs/$2.json" >"$logs/load.txt" 2>&1 &
  load_pid=$!
}

# finish_load: waits for the end of the workload, prints its result and fails if
# a guarantee was violated.
finish_load() {
  local code=0
  wait "$load_pid" || code=$?
  cat "$logs/load.txt"
  [ $code = 0 ] || fail "a guarantee was violated"
}

start_load "kill -9 two VMs and restart them" associacao-kills
sleep 5
kill -9 "${vmpid[serra-caxias-2]}" "${vmpid[litoral-itajai-1]}"
sleep 10
start_vm serra-caxias-2 "$links"
start_vm litoral-itajai-1 "$links"
finish_load

start_load "the store is down, then slow, then loses answers, then is stale" associacao-store
finish_load

start_load "a data centre is cut off" associacao-cut-off
finish_load

start_load "a VM is paused for longer than the suspicion timeout, then resumed" associacao-pause
sleep 3
kill -STOP "${vmpid[serra-caxias-1]}"
sleep 12
kill -CONT "${vmpid[serra-caxias-1]}"
finish_load

start_load "every VM is restarted one after the other with a graceful stop" associacao-rolling
sleep 3
for vm in "${vms[@]}"; do
  stop_vm "$vm"
  start_vm "$vm" "$links"
  sleep 3
done
finish_load
heading "no guarantee was violated"
