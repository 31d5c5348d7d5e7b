# Functions that start a deployment on loopback, for the scripts beside this
# one. They need bin (the directory of the programs) and deployment (the name
# of one); logs go to $logs, and every process started is ended at the exit.
logs=$(mktemp -d)
data=$logs/$deployment
cp -r "standin/deployment/$deployment" "standin/deployment/$deployment.json" "$logs"
# Another loopback address lets two runs go on at once.
sed -i "s/127\.0\.0\.1/${LOOPBACK:-127.0.0.1}/g" "$data.json" "$data"/*.json
pids=()

cleanup() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  # The next run needs their ports.
  wait 2>/dev/null || true
}
trap cleanup EXIT

fail() {
  echo "failed: $1" >&2
  tail -n 5 "$logs"/*.log >&2
  exit 1
}

# start NAME COMMAND...: runs a process in the background, with a log.
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
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

# start_platform BACKEND-FLAGS...: the store and the backend servers.
start_platform() {
  export CICADAGRADE_STORE=$(json store)
  start store "$bin/standin" store --listen "$CICADAGRADE_STORE"
  start backends "$bin/standin" backends --deployment "$data.json" "$@"
}

# json FIELD: a text field of the deployment's file.
json() { sed -n "s/^  \"$1\": \"\(.*\)\",*$/\1/p" "$data.json"; }

# start_vm NAME [LINKS]: an entry VM, over the links of a file if one is given, on
# vm_procs processors if that is set.
declare -A vmpid api
start_vm() {
  local environment
  environment=$("$bin/standin" settings --deployment "$data.json" --vm "$1" ${2:+--links "$2"})
  api[$1]=$(sed -n 's/^CICADAGRADED_API_ADDRESS=//p' <<<"$environment")
  # shellcheck disable=SC2086
  start "$1" env $environment ${vm_procs:+GOMAXPROCS=$vm_procs} CICADAGRADED_BALANCER_LAG_MS="${balancer_lag:-1000}" "$bin/cicadagraded" serve
  vmpid[$1]=$last
}

# start_vms [LINKS]: every entry VM of the deployment.
start_vms() {
  mapfile -t vms < <("$bin/standin" settings --deployment "$data.json")
  for vm in "${vms[@]}"; do start_vm "$vm" "$@"; done
  CICADAGRADE_VMS=$(IFS=,; echo "${api[*]}")
  export CICADAGRADE_VMS
}

# apply_documents: the deployment's profiles and sets, in force on every VM.
apply_documents() {
  for vm in "${vms[@]}"; do
    await 20 "$bin/cicadagrade" status --vm "${api[$vm]}" || fail "$vm does not run"
  done
  "$bin/cicadagrade" profile apply --who demo --reason "first profiles" --wait "$data/profiles.json"
  for f in "$data"/set-*.json; do
    "$bin/cicadagrade" set apply --who demo --reason "first shard map" --wait "$f"
  done
}

# stop_vm NAME: a planned stop, which must end with exit code 0.
stop_vm() {
  kill -TERM "${vmpid[$1]}"
  wait "${vmpid[$1]}" || fail "$1 did not stop gracefully"
}
