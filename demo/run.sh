#!/usr/bin/env bash
# Runs the Associação deployment on loopback: the store stand-in, the backend
# servers, 7 entry VMs in 3 data centres; asks them and stops them gracefully.
# usage: demo/run.sh DIRECTORY-OF-PROGRAMS
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
logs=$(mktemp -d)
deployment=standin/deployment/associacao.json
documents=standin/deployment/associacao
export CICADAGRADE_STORE=127.0.0.1:21379
export CICADAGRADE_VMS=127.0.0.1:21001,127.0.0.1:21002,127.0.0.1:21003,127.0.0.1:21004,127.0.0.1:21005,127.0.0.1:21006,127.0.0.1:21007
pids=()

cleanup() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
}
trap cleanup EXIT

fail() {
  echo "demo failed: $1" >&2
  tail -n 5 "$logs"/*.log >&2
  exit 1
}

# start NAME COMMAND...: runs a process in the background, with a log.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  last=$!
}

# await SECONDS COMMAND...: tries until the command succeeds.
await() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.1
  done
}

say() { printf '\n== %s\n' "$*"; }

vms=(serra-caxias-1 serra-caxias-2 serra-caxias-3 litoral-itajai-1 litoral-itajai-2 oeste-chapeco-1 oeste-chapeco-2)
seeds=127.0.0.1:21101,127.0.0.1:21104,127.0.0.1:21106
api() { echo "127.0.0.1:2100$(($1 + 1))"; }
control=127.0.0.1:21200

say "start the store, the backend servers and 7 entry VMs in 3 data centres"
start store "$bin/standin" store --listen "$CICADAGRADE_STORE"
start backends "$bin/standin" backends --deployment $deployment
vmpids=()
for i in "${!vms[@]}"; do
  start "${vms[$i]}" "$bin/cicadagraded" serve --name "${vms[$i]}" --data-centre "${vms[$i]%-*}" \
    --api-address "$(api "$i")" --peer-address "127.0.0.1:2110$((i + 1))" \
    --store "$CICADAGRADE_STORE" --seeds $seeds --balancer-lag-ms 1000
  vmpids+=("$last")
done

say "apply the profiles and the shard sets"
await 10 "$bin/cicadagrade" status --vm "$(api 6)" || fail "no VM"
"$bin/cicadagrade" profile apply --who demo --reason "first profiles" --wait $documents/profiles.json
for f in "$documents"/set-*.json; do
  "$bin/cicadagrade" set apply --who demo --reason "first shard map" --wait "$f"
done
"$bin/cicadagrade" profile history

gate=("$bin/cicadagrade" search --profile gate --set portao)
for i in "${!vms[@]}"; do
  await 20 "${gate[@]}" --vm "$(api "$i")" grower-17 || fail "${vms[$i]} does not answer"
done

say "one search through two VMs, one of them in another data centre"
"${gate[@]}" --vm "$(api 0)" grower-17
"${gate[@]}" --vm "$(api 6)" grower-17

say "a straggler: one backend server 40 times slower; the search is hedged"
"$bin/standin" fault --control $control '{"server":"portao-01-a","slow-factor":40}'
hedged=0
for _ in $(seq 1 40); do
  "${gate[@]}" --vm "$(api 0)" --output json grower-17 >"$logs/answer.json" || fail "a search behind a straggler"
  if ! grep -q '"extra-leaf-calls": 0' "$logs/answer.json"; then
    hedged=1
    break
  fi
done
[ $hedged = 1 ] || fail "no search was hedged"
grep -E '"(outcome|fraction|leaf-calls|extra-leaf-calls)"' "$logs/answer.json"
"$bin/standin" fault --control $control '{"server":"portao-01-a","clear":true}'

say "a backend server leaves: it gets no new work, coverage stays whole"
"$bin/standin" fault --control $control '{"server":"portao-02-a","state":"leaving"}'
sleep 3
for i in 0 3 6; do "${gate[@]}" --vm "$(api "$i")" grower-17 | grep coverage; done
"$bin/cicadagrade" status --vm "$(api 0)" >"$logs/status.txt"

say "one booking sent twice, through two VMs, with one key: it runs once"
key=$(date -u +%Y-%m-%d)-load-993
book=("$bin/cicadagrade" book --profile certificate --set portao --record certificate-17 --key "$key")
"${book[@]}" --vm "$(api 1)" "hygiene certificate"
"${book[@]}" --vm "$(api 5)" "hygiene certificate"
runs=$("$bin/standin" booked --control $control --count certificate-17)
echo "runs on backend servers: $runs"
[ "$runs" = 1 ] || fail "the booking ran $runs times"

say "a planned stop of every VM"
for p in "${vmpids[@]}"; do kill -TERM "$p"; done
for i in "${!vmpids[@]}"; do
  wait "${vmpids[$i]}" || fail "${vms[$i]} did not stop gracefully"
done
echo "7 VMs stopped with exit code 0"
