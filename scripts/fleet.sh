# Functions that start and stop a fleet of nodes and stand-in backend servers on the
# loopback interface. Sourced by demo.sh, bench.sh and soak.sh. All processes are stopped
# by process id.

run_dir=${RUN_DIR:-demo-run}
port_base=${PORT_BASE:-7000}
log_level=${LOG_LEVEL:-info}
operator_token=demo-operator-token
store_url=http://127.0.0.1:$((port_base - 1))
stop_seconds=30
node_program=bin/dogwoodhatch-node

backend_pids=()
node_pids=()
other_pids=()
node_names=()
declare -A outside_url local_url admin_url backend_url

fail() {
  echo "$0: $*" >&2
  exit 1
}

# prepare creates or empties the run directory and sets a trap that stops the fleet when
# the script exits.
prepare() {
  mkdir -p "$run_dir"
  rm -f "$run_dir"/*
  printf '%s\n' "$operator_token" >"$run_dir/token"
  trap 'stop_fleet >/dev/null 2>&1' EXIT
  trap 'exit 130' INT TERM
}

# start NAME COMMAND... runs a command in the background with its output in NAME.out, and
# sets started to its process id.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.out" 2>&1 &
  started=$!
}

# wait_until SECONDS COMMAND... repeats the command until it succeeds, and fails after
# SECONDS.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.05
  done
}

start_store() {
  start store bin/dogwoodhatch-store --listen "${store_url#http://}"
  other_pids+=("$started")
  wait_until 10 curl -fs "$store_url/v1/counts" || fail "the store does not answer; see $run_dir/store.out"
}

# start_node NAME REGION FAILURE_DOMAIN [SETTINGS] starts a node on the next block of 10
# ports. SETTINGS are appended to its settings file.
start_node() {
  local name=$1 region=$2 domain=$3 extra=${4:-}
  local port=$((port_base + 10 * ${#node_names[@]}))
  local peer=127.0.0.1:$((port + 3))
  outside_url[$name]=http://127.0.0.1:$((port + 1))
  local_url[$name]=http://127.0.0.1:$((port + 2))
  admin_url[$name]=http://127.0.0.1:$((port + 4))
  backend_url[$name]=http://127.0.0.1:$((port + 5))
  node_names+=("$name")
  cat >"$run_dir/$name.ini" <<EOF
[node]
id = $name
region = $region
failure_domain = $domain
[listen]
outside = ${outside_url[$name]#http://}
local = ${local_url[$name]#http://}
peer = $peer
admin = ${admin_url[$name]#http://}
[store]
url = $store_url
[admin]
credentials = operator:$operator_token
[log]
path = $run_dir/$name.log
level = $log_level
$extra
EOF
  start "$name" "$node_program" --config "$run_dir/$name.ini"
  node_pids+=("$started")
}

# start_backend NAME SERVICE ARGUMENTS... starts the backend server of node NAME.
start_backend() {
  local name=$1 service=$2
  shift 2
  start "$name-backend" bin/dogwoodhatch-backend --listen "${backend_url[$name]#http://}" \
    --service "$service" --node "${local_url[$name]}" --seed "${#backend_pids[@]}" "$@"
  backend_pids+=("$started")
}

# operate ARGUMENTS... runs the operators' command-line tool against the first node.
operate() {
  bin/dogwoodhatch --node "${admin_url[${node_names[0]}]}" --token-file "$run_dir/token" "$@"
}

# knows NODE SERVICE succeeds if a call through the node to the service is answered with
# status 200.
knows() {
  [[ $(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: $2" -H "X-Request-Id: probe" "${outside_url[$1]}/probe") == 200 ]]
}

# await_services SERVICE... waits until calls through every node to each service succeed.
await_services() {
  local node waiting=()
  for node in "${node_names[@]}"; do
    await_from "$node" "$@" &
    waiting+=("$!")
  done
  for node in "${waiting[@]}"; do
    wait "$node" || fail "a node gets no answer from a service; see the logs in $run_dir"
  done
}

# await_from NODE SERVICE... waits until calls through the node to each service succeed.
await_from() {
  local node=$1 service
  shift
  for service in "$@"; do
    wait_until 20 knows "$node" "$service" || return 1
  done
}

# join LIST... prints the arguments separated by commas.
join() {
  local IFS=,
  echo "$*"
}

# field KEY LINE prints the value of a key in a line of key=value pairs.
field() {
  sed -nE "s/(^|.* )$1=([^ ]*).*/\2/p" <<<"$2"
}

# remaining PID... sets left to those process ids that are still jobs of this shell. This
# excludes ids that the system has reused for other processes.
remaining() {
  local pid running=$'\n'$(jobs -pr)$'\n'
  left=()
  for pid; do
    if [[ $running == *$'\n'"$pid"$'\n'* ]]; then left+=("$pid"); fi
  done
}

# gone PID... succeeds if all of the processes have exited, and sets left like remaining.
gone() {
  remaining "$@"
  ((${#left[@]} == 0))
}

# stop PID... terminates processes with SIGTERM, and with SIGKILL after stop_seconds. It
# fails if SIGKILL was needed or a process exited with a status other than 0.
stop() {
  local pid status=0
  gone "$@" || kill -TERM "${left[@]}"
  wait_until "$stop_seconds" gone "$@" || status=1
  gone "$@" || kill -KILL "${left[@]}"
  for pid; do wait "$pid" || status=1; done
  return "$status"
}

# stop_fleet stops the backend servers, then the nodes, then the other processes. It fails
# if a backend server or a node did not stop gracefully.
stop_fleet() {
  local status=0
  stop "${backend_pids[@]}" || status=1
  stop "${node_pids[@]}" || status=2
  # The stand-in store holds no data that would need a graceful shutdown.
  stop "${other_pids[@]}" || true
  backend_pids=() node_pids=() other_pids=() node_names=()
  outside_url=() local_url=() admin_url=() backend_url=()
  return "$status"
}

# accepted COMMAND... makes a change with the operators' command-line tool and prints the
# revision at which it was accepted.
accepted() {
  operate "$@" | sed -nE 's/^accepted: .* is at revision ([0-9]+)$/\1/p'
}

# in_force KEY REVISION prints, for each node that has the record in force, the time when
# it took effect, in seconds since the Unix epoch. A profile is in force once it is
# stored, a binding once a profile is in force for its service.
in_force() {
  local name time event="record key=${1//\//\\/} revision=$2 applied=stored"
  [[ $1 != services/* ]] || event="profile_in_force service=${1#services/} "
  for name in "${node_names[@]}"; do
    time=$(sed -nE "s/^ts=([^ ]*) .*event=$event.*/\1/p" "$run_dir/$name.log" | head -n 1)
    [[ -z $time ]] || date -d "$time" +%s.%N
  done
}

# in_force_everywhere KEY REVISION succeeds if all nodes have the record in force.
in_force_everywhere() {
  [[ $(in_force "$1" "$2" | wc -l) == "${#node_names[@]}" ]]
}
