# Functions that start a deployment on loopback, sourced by the other scripts in
# this directory. The caller sets bin (the directory of the programs) and
# deployment (the name of a deployment). Logs are written to $logs. All processes
# that these functions start are killed when the script exits.
logs=$(mktemp -d)
data=$logs/$deployment
cp -r "standin/deployment/$deployment" "standin/deployment/$deployment.json" "$logs"
# Two runs at the same time need different loopback addresses.
sed -i "s/127\.0\.0\.1/${LOOPBACK:-127.0.0.1}/g" "$data.json" "$data"/*.json
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  # Wait until the processes have released their ports, which the next run needs.
  wait 2>/dev/null || true
}
trap cleanup EXIT

fail() {
  echo "failed: $1" >&2
  tail -n 5 "$logs"/*.log >&2
  exit 1
}

# start NAME COMMAND...: runs a command in the background with the log NAME.log and
# sets last_pid.
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

# retry_for SECONDS COMMAND...: retries the command until it succeeds or the time is up.
retry_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $deadline ] || return 1
    sleep 0.1
  done
}

heading() { printf '\n== %s\n' "$*"; }

# start_platform BACKEND-FLAGS...: starts the store and the backend servers.
start_platform() {
  export CICADAGRADE_STORE=$(deployment_field store)
  start store "$bin/standin" store --listen "$CICADAGRADE_STORE"
  start backends "$bin/standin" backends --deployment "$data.json" "$@"
}

# deployment_field NAME: prints a string field of the deployment file.
deployment_field() { sed -n "s/^  \"$1\": \"\(.*\)\",*$/\1/p" "$data.json"; }

# start_vm NAME [LINKS]: starts an entry VM. It uses the links of the file LINKS if
# given, and at most $vm_procs processors if that is set.
declare -A vmpid api
start_vm() {
  local environment
  environment=$("$bin/standin" settings --deployment "$data.json" --vm "$1" ${2:+--links "$2"})
  api[$1]=$(sed -n 's/^CICADAGRADED_API_ADDRESS=//p' <<<"$environment")
  # shellcheck disable=SC2086
  start "$1" env $environment ${vm_procs:+GOMAXPROCS=$vm_procs} CICADAGRADED_BALANCER_LAG_MS="${balancer_lag:-1000}" "$bin/cicadagraded" serve
  vmpid[$1]=$last_pid
}

# start_vms [LINKS]: starts every entry VM of the deployment.
start_vms() {
  mapfile -t vms < <("$bin/standin" settings --deployment "$data.json")
  for vm in "${vms[@]}"; do start_vm "$vm" "$@"; done
  CICADAGRADE_VMS=$(IFS=,; echo "${api[*]}")
  export CICADAGRADE_VMS
}

# apply_documents: applies the deployment's profiles and sets and waits until they are
# in force on every VM.
apply_documents() {
  for vm in "${vms[@]}"; do
    retry_for 20 "$bin/cicadagrade" status --vm "${api[$vm]}" || fail "$vm is not running"
  done
  "$bin/cicadagrade" profile apply --who demo --reason "first profiles" --wait "$data/profiles.json"
  for f in "$data"/set-*.json; do
    "$bin/cicadagrade" set apply --who demo --reason "first shard map" --wait "$f"
  done
}

# stop_vm NAME: stops a VM gracefully; its exit code must be 0.
stop_vm() {
  kill -TERM "${vmpid[$1]}"
  wait "${vmpid[$1]}" || fail "$1 did not stop gracefully"
}
