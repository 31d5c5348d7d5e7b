#!/usr/bin/env bash
# Runs the Associação deployment on loopback: a simulated store, simulated
# backend servers and 7 entry VMs in 3 data centres. Sends searches and bookings
# to the VMs and stops them gracefully.
# usage: demo/run.sh PROGRAM-DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
deployment=associacao
source demo/start.sh

heading "start the store, the backend servers and 7 entry VMs in 3 data centres"
start_platform
start_vms

heading "apply the profiles and the shard sets"
apply_documents
"$bin/cicadagrade" profile history

control=$(deployment_field control)
gate=("$bin/cicadagrade" search --profile gate --set portao)
for vm in "${vms[@]}"; do
  retry_for 20 "${gate[@]}" --vm "${api[$vm]}" grower-17 || fail "$vm does not answer"
done

heading "the same search through two VMs in different data centres"
"${gate[@]}" --vm "${api[serra-caxias-1]}" grower-17 | sed -n 1,6p
"${gate[@]}" --vm "${api[oeste-chapeco-2]}" grower-17 | sed -n 1,6p

heading "a straggler: one backend server is 40 times slower; searches are hedged"
"$bin/standin" fault --control "$control" '{"server":"portao-01-a","slow-factor":40}'
hedged=0
for _ in $(seq 1 40); do
  "${gate[@]}" --vm "${api[serra-caxias-1]}" --output json grower-17 >"$logs/answer.json" || fail "a search failed while a backend server was slow"
  if ! grep -q '"extra-leaf-calls": 0' "$logs/answer.json"; then
    hedged=1
    break
  fi
done
[ $hedged = 1 ] || fail "no search was hedged"
grep -E '"(outcome|fraction|leaf-calls|extra-leaf-calls)"' "$logs/answer.json"
"$bin/standin" fault --control "$control" '{"server":"portao-01-a","clear":true}'

heading "a backend server leaves: it gets no new calls, coverage stays complete"
"$bin/standin" fault --control "$control" '{"server":"portao-02-a","state":"leaving"}'
sleep 3
for vm in serra-caxias-1 litoral-itajai-1 oeste-chapeco-1; do
  "${gate[@]}" --vm "${api[$vm]}" grower-17 | grep coverage
done
"$bin/standin" fault --control "$control" '{"server":"portao-02-a","state":"live"}'

heading "a booking sent twice through two VMs with the same key is executed once"
key=$(date -u +%Y-%m-%d)-load-993
book=("$bin/cicadagrade" book --profile certificate --set portao --record certificate-17 --key "$key")
"${book[@]}" --vm "${api[serra-caxias-2]}" "hygiene certificate"
"${book[@]}" --vm "${api[oeste-chapeco-1]}" "hygiene certificate"
executions=$("$bin/standin" booked --control "$control" --count certificate-17)
echo "executions on backend servers: $executions"
[ "$executions" = 1 ] || fail "the booking was executed $executions times"

heading "graceful stop of every VM"
for vm in "${vms[@]}"; do kill -TERM "${vmpid[$vm]}"; done
for vm in "${vms[@]}"; do
  wait "${vmpid[$vm]}" || fail "$vm did not stop gracefully"
done
echo "7 VMs stopped with exit code 0"
