#!/usr/bin/env bash
# Measures goodput under overload, recovery after overload and added latency, and
# writes the tables to bench/. The naive version (no admission control, retries at each
# hop, round robin) is measured in the same run, against the same stand-ins. It is
# built from the last revision that offered it as a setting.
#
# The arguments select the parts to run: goodput, recovery, latency. Default is all.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=${RUN_DIR:-demo-run}
. scripts/fleet.sh

out_dir=${OUT_DIR:-bench}
deployments=${DEPLOYMENTS:-bluebonnet asociacion}
modes=${MODES:-naive now}
naive_revision=4dace2eeabe5

# Capacity of either deployment in requests per second. The bottleneck is the deep
# service, quotedesk or hornos. It has 3 x 2 slots, and a request occupies one for 50 ms
# of work and a 50 ms call, so it executes 60 requests/s. 36 % of the requests of either
# mix call it, which gives 60 / 0.36 = 167 requests/s.
deep_capacity=60
capacity=167

levels=${LEVELS:-0.5 1 2 4 8}
level_seconds=${LEVEL_SECONDS:-10}
settle_seconds=6
pause_seconds=3 # between two measurements, until late executions have ended

recovery_load=0.8 # fraction of capacity, before and after the overload
latency_seconds=${LATENCY_SECONDS:-20}
latency_rate=300 # requests/s, half of them direct, half through two nodes
latency_rounds=${LATENCY_ROUNDS:-3}

# The deployments have one server per region and service, with about 1/13 (bluebonnet)
# and 1/4 (asociacion) of the slots that the organisations have today.
start_bluebonnet() {
  local region settings=$1
  for region in tx-central tx-north tx-gulf; do
    start_server "$region" a ratebrowser 11 75 "" "$settings"
    start_server "$region" b reportshop 11 75 quotedesk:/quotes/report "$settings"
    start_server "$region" a rateintake 11 75 quotedesk:/tiers "$settings"
    start_server "$region" b quotedesk 2 20 ratebrowser:/categories "$settings"
  done
}

start_asociacion() {
  local region settings=$1
  for region in cartago guanacaste limon; do
    start_server "$region" a archivo 9 75 "" "$settings"
    start_server "$region" b recetario 9 75 archivo:/recipes/base "$settings"
    start_server "$region" a tejas 9 75 hornos:/cones/6 "$settings"
    start_server "$region" b hornos 2 38 archivo:/cones/6 "$settings"
  done
}

# start_server REGION DOMAIN SERVICE SLOTS CONNECTIONS CALLS SETTINGS starts a node and
# its backend server. CALLS is a service:path that each request calls, or empty.
start_server() {
  local name=$1-$3
  start_node "$name" "$1" "$1-$2" "$7"
  start_backend "$name" "$3" --slots "$4" --connections "$5" --service-time 50ms --calls "$6"
}

declare -A services=(
  [bluebonnet]="ratebrowser reportshop rateintake quotedesk"
  [asociacion]="archivo recetario tejas hornos"
)
declare -A critical=(
  [bluebonnet]="report-purchase rate-submission"
  [asociacion]="tile-purchase firing-record cone-chart"
)
declare -A deep=([bluebonnet]=quotedesk [asociacion]=hornos)

# build_naive builds the node from naive_revision unless the binary exists.
build_naive() {
  [[ ! -x bin/dogwoodhatch-node-naive ]] || return 0
  local tree=$run_dir/naive
  git worktree add --detach --force "$tree" "$naive_revision" >/dev/null
  (cd "$tree" && go build -o "$OLDPWD/bin/dogwoodhatch-node-naive" ./apps/dogwoodhatch-node)
  git worktree remove --force "$tree"
}

# start_deployment DEPLOYMENT MODE starts a fleet, publishes the profile of the
# deployment and waits until all nodes have it in force.
start_deployment() {
  local deployment=$1 settings="" service revision
  node_program=bin/dogwoodhatch-node
  if [[ $2 == naive ]]; then
    build_naive
    node_program=bin/dogwoodhatch-node-naive settings=$'[baseline]\nmode = naive'
  fi
  start_store
  "start_$deployment" "$settings"
  # shellcheck disable=SC2086 # a list of words
  await_services ${services[$deployment]}
  accepted profile put "$deployment" "profiles/$deployment.ini" --create >/dev/null
  for service in ${services[$deployment]}; do
    revision=$(accepted service bind "$service" "$deployment" --create)
  done
  wait_until 15 in_force_everywhere "services/$service" "$revision" || fail "not all nodes have the profile in force"
  # Nodes that have just started cannot prove that an idempotency key is unclaimed.
  sleep "$settle_seconds"
}

# measure TABLE ARGUMENTS... sends load to the running fleet and sets line to the result
# of the load tool. The naive version is expected to run requests twice, so status 1 of the
# load tool (a failed check) does not end the benchmark; the figures show it.
measure() {
  local table=$1 status=0
  shift
  bin/dogwoodhatch-load --target "$(join "${outside_url[@]}")" --backend "$(join "${backend_url[@]}")" \
    --table "$table" "$@" >"$run_dir/load.out" 2>&1 || status=$?
  [[ $status -le 1 ]] || fail "the load tool failed: $(tail -n 1 "$run_dir/load.out")"
  line=$(tail -n 1 "$run_dir/load.out")
  echo "$line"
  sleep "$pause_seconds"
}

# rows TABLE prints the rows of a Markdown table without its header.
rows() { tail -n +3 "$1"; }

# cell TABLE CLASS COLUMN prints one cell of the row of a class.
cell() { awk -F ' *\\| *' -v class="$2" -v column="$3" '$2 == class { print $(column + 1) }' "$1"; }

# sum TABLE COLUMN CLASS... prints the sum of a column over the classes.
sum() {
  local table=$1 column=$2 class
  shift 2
  for class; do cell "$table" "$class" "$column"; done | awk '{ s += $1 } END { printf "%.1f", s }'
}

conditions() {
  echo "Measured $(date -u +%Y-%m-%d) on $(nproc) cores that other work shared; load average $(cut -d' ' -f1-3 /proc/loadavg) at the end."
  echo
}

# goodput DEPLOYMENT measures the goodput of each mode at each load level and writes
# the table.
goodput() {
  local deployment=$1 mode level table detail=$run_dir/detail.md summary=$run_dir/summary.md
  : >"$detail"
  for mode in $modes; do
    start_deployment "$deployment" "$mode"
    for level in $levels; do
      echo "goodput deployment=$deployment mode=$mode load=$level"
      table=$run_dir/goodput-$mode-$level.md
      measure "$table" --mix "scripts/bench-$deployment.ini" --duration "${level_seconds}s" \
        --rate "$(awk -v c=$capacity -v l="$level" 'BEGIN { print c * l }')"
      echo "$line" >"$table.line"
      rows "$table" | sed "s/^/| $level | $mode /" >>"$detail"
    done
    stop_fleet || echo "note: a process of the $mode fleet did not stop by itself"
  done
  for level in $levels; do summary_row "$deployment" "$level"; done >"$summary"
  write_goodput "$deployment" "$summary" "$detail"
}

# summary_row DEPLOYMENT LEVEL prints the summary row of one load level: goodput of the
# critical classes and of all classes by mode.
summary_row() {
  local deployment=$1 level=$2 mode table row="| $2"
  local offered=$run_dir/goodput-${modes##* }-$level.md
  # shellcheck disable=SC2086 # a list of words
  row+=" | $(sum "$offered" 2 ${critical[$deployment]} | awk -v s="$level_seconds" -v d=$deep_capacity '{ o = $1 / s; printf "%.1f | %.1f", o, o < d ? o : d }')"
  for mode in $modes; do
    # shellcheck disable=SC2086
    row+=" | $(sum "$run_dir/goodput-$mode-$level.md" 4 ${critical[$deployment]})"
  done
  row+=" | $(sum "$offered" 2 all | awk -v s="$level_seconds" '{ printf "%.1f", $1 / s }')"
  for mode in $modes; do row+=" | $(cell "$run_dir/goodput-$mode-$level.md" all 4)"; done
  for mode in $modes; do
    table=$(cat "$run_dir/goodput-$mode-$level.md.line")
    row+=" | $(field wrong "$table") / $(field twice "$table") / $(field false_refused "$table")"
  done
  echo "$row |"
}

write_goodput() {
  local mode heads="| load | critical offered/s | critical bound/s"
  for mode in $modes; do heads+=" | critical $mode/s"; done
  heads+=" | all offered/s"
  for mode in $modes; do heads+=" | all $mode/s"; done
  for mode in $modes; do heads+=" | wrong / twice / falsely refused, $mode"; done
  {
    echo "# Goodput under overload: $1"
    echo
    echo "Whole answers in time per second against offered load, as a multiple of the capacity of $capacity requests a second."
    echo "The bound is what the deep service (${deep[$1]}) can execute of the critical classes (${critical[$1]// /, })."
    echo "Answers that come in time after the last arrival count too, so that at high load a queue that is worked off afterwards can exceed the bound."
    conditions
    echo "$heads |"
    sed -E 's/[^|]+/---:/g' <<<"$heads |"
    cat "$2"
    echo
    echo "| load | version | class | offered | whole | goodput/s | refused | unknown | failed | late | wrong | p50 ms | p99 ms |"
    echo "| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    cat "$3"
  } >"$out_dir/goodput-$1.md"
}

# recovery DEPLOYMENT measures the recovery time of each mode and writes the table.
recovery() {
  local deployment=$1 mode detail=$run_dir/detail.md base surge
  base=$(awk -v c=$capacity -v l=$recovery_load 'BEGIN { print c * l }')
  surge=$(awk -v c=$capacity 'BEGIN { print c * 6 }')
  : >"$detail"
  for mode in $modes; do
    start_deployment "$deployment" "$mode"
    echo "recovery deployment=$deployment mode=$mode cause=surge"
    recover surge "$mode" --mix "scripts/bench-$deployment.ini" --client-retries 3 --client-pause 100ms \
      --phases "8s@$base,6s@$surge,26s@$base" --cause-from 8s --cause-to 14s
    echo "recovery deployment=$deployment mode=$mode cause=slow"
    recover "slow ${deep[$deployment]}" "$mode" --mix "scripts/bench-$deployment.ini" --client-retries 10 --client-pause 100ms \
      --phases "44s@$base" --cause-from 8s --cause-to 20s --slow "$(deep_backends "$deployment")" --slow-factor 20
    stop_fleet || echo "note: a process of the $mode fleet did not stop by itself"
  done
  write_recovery "$deployment" "$detail"
}

recover() {
  local cause=$1 mode=$2 table=$run_dir/recovery-$2.md
  shift 2
  measure "$table" "$@"
  rows "$table" | sed "s/^/| $cause | $mode /" >>"$detail"
}

deep_backends() {
  local name urls=()
  for name in "${node_names[@]}"; do
    [[ $name != *-${deep[$1]} ]] || urls+=("${backend_url[$name]}")
  done
  join "${urls[@]}"
}

write_recovery() {
  {
    echo "# Recovery after overload: $1"
    echo
    echo "Seconds from the end of the cause until the share of whole answers is back at 95 % of the share before, for four seconds on end; \"none\" if that does not happen within the run."
    echo "Load is $recovery_load of capacity; the surge is 6 times capacity for 6 s, with clients that come back 3 times; the slow service takes 20 times as long for 12 s, with clients that come back 10 times, 100 ms after each failure, whatever they are told."
    conditions
    echo "| cause | version | class | offered | whole | goodput/s | refused | unknown | failed | late | wrong | p50 ms | p99 ms | recovery s |"
    echo "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    cat "$2"
  } >"$out_dir/recovery-$1.md"
}

# latency measures the latency through two nodes and of direct calls, and writes the
# table.
latency() {
  local round mix=$run_dir/latency.ini table=$run_dir/latency.md detail=$run_dir/detail.md
  : >"$detail"
  start_store
  start_node entry tx-central tx-central-a
  start_node target tx-central tx-central-a
  start_backend target ratebrowser --slots 140 --service-time 0s
  await_services ratebrowser
  for path in direct nodes; do
    printf '[class %s]\nservice = ratebrowser\npath = /cards\ntimeout = 2s\n' "$path"
    [[ $path == nodes ]] || printf 'direct = true\ntargets = %s\n' "${backend_url[target]}"
  done >"$mix"
  unset 'outside_url[target]' 'backend_url[entry]'
  for round in $(seq "$latency_rounds"); do
    echo "latency round=$round"
    measure "$table" --mix "$mix" --rate "$latency_rate" --duration "${latency_seconds}s" --seed "$round"
    latency_row "$round" "$table" >>"$detail"
  done
  stop_fleet || echo "note: a process did not stop by itself"
  write_latency "$detail"
}

latency_row() {
  local direct50 direct99 nodes50 nodes99
  direct50=$(cell "$2" direct 10) direct99=$(cell "$2" direct 11)
  nodes50=$(cell "$2" nodes 10) nodes99=$(cell "$2" nodes 11)
  awk -v r="$1" -v n="$(cell "$2" nodes 2)" -v a="$direct50" -v b="$nodes50" -v c="$direct99" -v d="$nodes99" \
    'BEGIN { printf "| %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", r, n, a, b, b - a, c, d, d - c }'
}

write_latency() {
  {
    echo "# Added latency"
    echo
    echo "2 KB answers without work, direct and through two nodes, $((latency_rate / 2)) calls a second each, interleaved at random in one run of $latency_seconds s a round."
    conditions
    echo "| round | calls through nodes | p50 direct ms | p50 nodes ms | p50 added ms | p99 direct ms | p99 nodes ms | p99 added ms |"
    echo "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    cat "$1"
  } >"$out_dir/latency.md"
}

prepare
mkdir -p "$out_dir"
for part in ${*:-goodput recovery latency}; do
  case $part in
    latency) latency ;;
    goodput | recovery) for deployment in $deployments; do "$part" "$deployment"; done ;;
    *) fail "part $part does not exist; use goodput, recovery or latency" ;;
  esac
done
