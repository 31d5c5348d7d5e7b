#!/usr/bin/env bash
# Runs the Associação deployment over links that can be cut, under load, and
# causes failures: two VMs killed, the store down and slow, a data centre cut
# off, a VM paused, every VM restarted one after the other. The load checks
# each answer and booking against what the backend servers ran; a broken
# promise ends the run with exit code 1.
# usage: demo/failures.sh DIRECTORY-OF-PROGRAMS
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
deployment=associacao
balancer_lag=2000
source demo/start.sh
links=$data/links.json

say "start the deployment over links with 20 ms between data centres"
start_platform
start links "$bin/standin" link --config "$links"
start_vms "$links"
apply_documents >/dev/null
for vm in "${vms[@]}"; do
  await 20 "$bin/cicadagrade" search --profile gate --set portao --vm "${api[$vm]}" grower-17 || fail "$vm does not answer"
done

# phase NAME WORKLOAD: starts a load in the background.
phase() {
  say "$1"
  "$bin/standin" load --deployment "$data.json" --workload "standin/workload/$2.json" --out "$logs/$2.json" >"$logs/load.txt" 2>&1 &
  load=$!
}

# settle: waits for the load and prints what it found.
settle() {
  local code=0
  wait "$load" || code=$?
  cat "$logs/load.txt"
  [ $code = 0 ] || fail "a promise was broken"
}

phase "kill -9 two VMs and start them again" associacao-kills
sleep 5
kill -9 "${vmpid[serra-caxias-2]}" "${vmpid[litoral-itajai-1]}"
sleep 10
start_vm serra-caxias-2 "$links"
start_vm litoral-itajai-1 "$links"
settle

phase "the store is down, then slow, then loses answers, then is stale" associacao-store
settle

phase "a data centre is cut off" associacao-cut-off
settle

phase "a VM is paused beyond its suspicion, then goes on" associacao-pause
sleep 3
kill -STOP "${vmpid[serra-caxias-1]}"
sleep 12
kill -CONT "${vmpid[serra-caxias-1]}"
settle

phase "every VM is restarted, one after the other, by a planned stop" associacao-rolling
sleep 3
for vm in "${vms[@]}"; do
  stop_vm "$vm"
  start_vm "$vm" "$links"
  sleep 3
done
settle
say "every promise held"
