#!/usr/bin/env bash
# Runs the mixed load of the demo on 12 nodes and injects faults drawn from a seed, one
# after the other: a node is killed and restarted, a node is paused, a backend server
# is drained and replaced, or the store fails. Prints a summary line and the command
# that repeats the run. Exits with 0 only if no answer was wrong, no request ran twice
# and no request that ran was reported as refused.
#
#   SOAK_SECONDS        duration of the load in seconds
#   SOAK_SEED           seed of the faults and of the load, random by default
#   SOAK_RATE           requests per second
#   SOAK_CLIENT_RETRIES retries of a client after a failure
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=${RUN_DIR:-soak-run}
PORT_BASE=${PORT_BASE:-31001}
. scripts/fleet.sh

seconds=${SOAK_SECONDS:-60}
seed=${SOAK_SEED:-$RANDOM}
rate=${SOAK_RATE:-150}
client_retries=${SOAK_CLIENT_RETRIES:-1}
fault_interval=4
settle_seconds=3
max_replacements=4 # of the backend server of a node, each on its own port
regions=(tx-central tx-north tx-gulf)
services=(ratebrowser reportshop rateintake quotedesk)
store_faults=('{"down":true}' '{"slow_ms":800}' '{"silent":true}' '{"lose_watch":true}' '{"lose_answers":3}')
declare -A arguments=(
  [ratebrowser]="--slots 14 --connections 95 --service-time 10ms"
  [reportshop]="--slots 14 --connections 95 --service-time 20ms --calls quotedesk:/quotes/report"
  [rateintake]="--slots 14 --connections 95 --service-time 20ms --calls quotedesk:/tiers"
  [quotedesk]="--slots 6 --connections 50 --service-time 15ms --calls ratebrowser:/categories"
)

start_services() {
  local region i domain
  for region in "${regions[@]}"; do
    for i in "${!services[@]}"; do
      domain=$region-$((i % 2))
      start_node "$region-${services[i]}" "$region" "$domain"
      begin_backend "$((${#node_names[@]} - 1))" "${backend_url[$region-${services[i]}]}"
    done
  done
}

# begin_backend NODE_NUMBER URL starts a backend server for a node at the URL.
begin_backend() {
  local name=${node_names[$1]} service
  service=${name##*-}
  # shellcheck disable=SC2086
  start "$name-backend-${2##*:}" bin/dogwoodhatch-backend --listen "${2#http://}" --service "$service" \
    --node "${local_url[$name]}" --seed "${#backend_pids[@]}" ${arguments[$service]}
  backend_pids+=("$started")
}

# replacement_url NODE_NUMBER N prints the URL of the n-th replacement backend server of a
# node.
replacement_url() { echo "http://127.0.0.1:$((port_base + 10 * $1 + 5 + $2))"; }

# plan_faults draws all faults in advance: the load tool must know the URLs of all backend
# servers, including replacements, when it starts.
plan_faults() {
  local n node
  RANDOM=$seed
  for ((n = fault_interval; n + fault_interval <= seconds; n += fault_interval)); do
    node=$((RANDOM % ${#node_names[@]}))
    case $((RANDOM % 4)) in
      0) plan+=("kill $node") ;;
      1) plan+=("pause $node $((RANDOM % 3 + 1))") ;;
      2) plan_drain "$node" ;;
      3) plan+=("store ${store_faults[$((RANDOM % ${#store_faults[@]}))]}") ;;
    esac
  done
}

plan_drain() {
  local n=$((${replaced[$1]:-0} + 1))
  if ((n > max_replacements)); then
    plan+=("kill $1")
    return
  fi
  replaced[$1]=$n
  executed_at+=("$(replacement_url "$1" "$n")")
  plan+=("drain $1 $n")
}

kill_node() {
  local name=${node_names[$1]}
  kill -KILL "${node_pids[$1]}"
  wait "${node_pids[$1]}" || true
  sleep 1
  start "$name-again" bin/dogwoodhatch-node --config "$run_dir/$name.ini"
  node_pids[$1]=$started
}

pause_node() {
  kill -STOP "${node_pids[$1]}"
  sleep "$2"
  kill -CONT "${node_pids[$1]}"
}

# drain_backend NODE_NUMBER N drains the backend server of a node and starts the n-th
# replacement. The drained one keeps running, because the load tool reads its record of
# executions at the end.
drain_backend() {
  local old=${backend_url[${node_names[$1]}]}
  (($2 == 1)) || old=$(replacement_url "$1" $(($2 - 1)))
  curl -fs -m 5 -X POST "$old/drain"
  begin_backend "$1" "$(replacement_url "$1" "$2")"
}

set_store() { curl -fs -m 5 -X PUT -d "$1" "$store_url/v1/faults" >/dev/null; }

# bring_faults injects the planned faults, one every fault_interval seconds. A store fault
# lasts until the next fault.
bring_faults() {
  local begun=$SECONDS n=0 fault
  for fault in "${plan[@]}"; do
    n=$((n + 1))
    while ((SECONDS - begun < n * fault_interval)); do sleep 0.1; done
    set_store '{}'
    echo "soak second=$((SECONDS - begun)) fault=\"$fault\""
    read -ra words <<<"$fault"
    case ${words[0]} in
      kill) kill_node "${words[1]}" ;;
      pause) pause_node "${words[1]}" "${words[2]}" ;;
      drain) drain_backend "${words[1]}" "${words[2]}" ;;
      store) set_store "${words[1]}" ;;
    esac
  done
  while ((SECONDS - begun < (n + 1) * fault_interval)); do sleep 0.1; done
  set_store '{}'
}

publish_profile() {
  local service bound
  accepted profile put bluebonnet profiles/bluebonnet.ini --create >/dev/null
  for service in "${services[@]}"; do bound=$(accepted service bind "$service" bluebonnet --create); done
  wait_until 20 in_force_everywhere services/quotedesk "$bound" || fail "not all nodes have the profile in force"
}

# write_mix writes the classes of the demo's mix whose services run in this fleet.
write_mix() {
  awk -v RS= -v ORS='\n\n' '/^\[class/ && /service = (ratebrowser|reportshop|rateintake|quotedesk)/' scripts/demo-mix.ini >"$run_dir/mix.ini"
}

plan=()
executed_at=()
declare -A replaced=()
prepare
echo "soak seed=$seed seconds=$seconds"
start_store
start_services
await_services "${services[@]}"
publish_profile
write_mix
executed_at=("${backend_url[@]}")
plan_faults

bin/dogwoodhatch-load --target "$(join "${outside_url[@]}")" --backend "$(join "${executed_at[@]}")" --mix "$run_dir/mix.ini" \
  --phases "${seconds}s@$rate" --seed "$seed" --client-retries "$client_retries" --table "$run_dir/table.md" >"$run_dir/load.out" 2>&1 &
load_pid=$!
other_pids+=("$load_pid")
bring_faults
load_status=0
wait "$load_pid" || load_status=$?
sleep "$settle_seconds"
stopped=graceful
stop_fleet || stopped=forced

cat "$run_dir/table.md"
line=$(tail -n 1 "$run_dir/load.out")
echo "soak $line faults=${#plan[@]} stop=$stopped"
echo "soak repeat: SOAK_SEED=$seed SOAK_SECONDS=$seconds SOAK_RATE=$rate SOAK_CLIENT_RETRIES=$client_retries make soak"
for key in wrong twice false_refused; do
  [[ $(field "$key" "$line") == 0 ]] || fail "$key=$(field "$key" "$line"); see $run_dir"
done
[[ $load_status == 0 ]] || fail "the load tool ended with status $load_status; see $run_dir/load.out"
