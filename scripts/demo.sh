#!/usr/bin/env bash
# Runs the services of both organisations, scaled down and in three regions each, under
# a mixed load, and meanwhile changes a profile and drains a backend server. Prints a
# summary line at the end and exits with 0 only if all checks passed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

load_phases=${LOAD_PHASES:-10s@150,4s@450,8s@150}
change_after=4
drain_after=16
drained=tx-north-quotedesk
# Holders grant only idempotency keys minted more than 5 s after they started, because
# clocks and member views may differ by 5 s.
holder_seconds=6

# start_service DOMAIN REGION SERVICE ARGUMENTS... starts a node and its backend server
# in the failure domain REGION-DOMAIN.
start_service() {
  local domain=$1 region=$2 service=$3
  shift 3
  start_node "$region-$service" "$region" "$region-$domain"
  start_backend "$region-$service" "$service" "$@"
}

# start_services starts one server of each service in each region. The services
# alternate between the failure domains a and b.
start_services() {
  local region
  for region in tx-central tx-north tx-gulf; do
    start_service a "$region" ratebrowser --slots 14 --connections 95 --service-time 10ms
    start_service b "$region" reportshop --slots 14 --connections 95 --service-time 20ms --calls quotedesk:/quotes/report
    start_service a "$region" rateintake --slots 14 --connections 95 --service-time 20ms --calls quotedesk:/tiers
    start_service b "$region" quotedesk --slots 6 --connections 50 --service-time 15ms --calls ratebrowser:/categories
  done
  for region in cartago guanacaste limon; do
    start_service a "$region" archivo --slots 6 --connections 50 --service-time 15ms
    start_service b "$region" recetario --slots 6 --connections 50 --service-time 20ms --calls archivo:/recipes/base
    start_service a "$region" tejas --slots 6 --connections 50 --service-time 20ms --calls hornos:/cones/6
    start_service b "$region" hornos --slots 4 --connections 30 --service-time 15ms --calls archivo:/cones/6
  done
}

publish_profiles() {
  local service
  bluebonnet_revision=$(accepted profile put bluebonnet profiles/bluebonnet.ini --create)
  accepted profile put asociacion profiles/asociacion.ini --create >/dev/null
  for service in ratebrowser reportshop rateintake quotedesk; do
    accepted service bind "$service" bluebonnet --create >/dev/null
  done
  for service in archivo recetario tejas hornos; do
    bound_revision=$(accepted service bind "$service" asociacion --create)
  done
  wait_until 15 in_force_everywhere services/hornos "$bound_revision" || fail "not all nodes have the profiles in force"
}

# change_profile shortens the deadline of class browsing and sets profile_seconds to the
# time until the last node had the change in force, or to "never".
change_profile() {
  local begun revision
  sed 's/^deadline = 2s$/deadline = 1900ms/' profiles/bluebonnet.ini >"$run_dir/bluebonnet.ini"
  begun=$(date +%s.%N)
  revision=$(accepted profile put bluebonnet "$run_dir/bluebonnet.ini" --base "$bluebonnet_revision")
  if wait_until 30 in_force_everywhere profiles/bluebonnet "$revision"; then
    profile_seconds=$(in_force profiles/bluebonnet "$revision" | sort -n | tail -n 1 | awk -v begun="$begun" '{ printf "%.2f", $1 - begun }')
  else
    profile_seconds=never
  fi
}

# work_after_drain prints the time from the drain of the backend server to the start of
# its last execution, in milliseconds.
work_after_drain() {
  curl -fs "${backend_url[$drained]}/executions" | sed -nE 's/.*"last_start_after_drain_ms":([0-9]+).*/\1/p'
}

prepare
began=$SECONDS
start_store
start_services
await_services ratebrowser reportshop rateintake quotedesk archivo recetario tejas hornos
publish_profiles
sleep "$holder_seconds"
echo "demo nodes=${#node_names[@]} backend_servers=${#backend_pids[@]} ready_seconds=$((SECONDS - began))"

bin/dogwoodhatch-load --target "$(join "${outside_url[@]}")" --backend "$(join "${backend_url[@]}")" \
  --mix scripts/demo-mix.ini --phases "$load_phases" --table "$run_dir/table.md" >"$run_dir/load.out" 2>&1 &
load_pid=$!
other_pids+=("$load_pid")
sleep "$change_after"
change_profile
sleep $((drain_after - change_after))
curl -fs -X POST "${backend_url[$drained]}/drain"
load_status=0
wait "$load_pid" || load_status=$?
after_drain_ms=$(work_after_drain)
stopped=graceful
stop_fleet || stopped=forced

cat "$run_dir/table.md"
line=$(tail -n 1 "$run_dir/load.out")
summary=$(sed -E 's/ executions=.*//' <<<"$line")
echo "demo $summary profile_seconds=$profile_seconds work_after_drain_ms=$after_drain_ms stop=$stopped seconds=$((SECONDS - began))"

[[ $load_status == 0 ]] || fail "the load tool ended with status $load_status; see $run_dir/load.out"
[[ $(field cut "$line") == 0 ]] || fail "requests were cut off; see the logs in $run_dir"
[[ $profile_seconds != never ]] || fail "the profile change did not reach all nodes"
((after_drain_ms < 5000)) || fail "the drained backend server got new work for $after_drain_ms ms"
[[ $stopped == graceful ]] || fail "a process did not stop by itself"
