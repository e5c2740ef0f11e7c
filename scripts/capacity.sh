#!/usr/bin/env bash
# Measures what control costs a node and how fast news travels, for fleets of
# several sizes on the loopback interface without load. Each row of the table is
# added to bench/capacity.md as soon as its fleet was measured; one line of
# key=value pairs for each fleet goes to the standard output.
#
#   CAPACITY_NODES   sizes of the fleets, by default "50 100 200 400"
#   CAPACITY_TABLE   file for the table, by default bench/capacity.md
#   CAPACITY_APPEND  1 adds rows to the table instead of beginning it anew
#   CAPACITY_IDLE    seconds of the measurement without changes
#   CAPACITY_CHANGES profile changes, one a second
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=${RUN_DIR:-capacity-run}
PORT_BASE=${PORT_BASE:-30001}
. scripts/fleet.sh

sizes=${CAPACITY_NODES:-50 100 200 400}
table=${CAPACITY_TABLE:-bench/capacity.md}
idle_seconds=${CAPACITY_IDLE:-30}
changes=${CAPACITY_CHANGES:-20}
regions=(tx-central tx-north tx-gulf)
ports_per_node=5
nodes_per_service=14
start_batch=10
join_seconds=180
news_seconds=90
watch_seconds=15 # until a contact slot is claimed and the store watched
local_path=/dogwoodhatch/v1/backend

# begin_node NUMBER starts the node with this number; its id is in $started.
begin_node() {
  local i=$1 name=n$1 region=${regions[$(($1 % 3))]} port=$((port_base + ports_per_node * $1))
  local peer=127.0.0.1:$((port + 2))
  local_url[$name]=http://127.0.0.1:$((port + 1))
  admin_url[$name]=http://127.0.0.1:$((port + 3))
  node_names+=("$name")
  ((${#contacts[@]} >= 3)) || contacts+=("$peer")
  cat >"$run_dir/$name.ini" <<END
[node]
id = $name
region = $region
failure_domain = $region-$((i / 3 % 2))
[listen]
outside = 127.0.0.1:$port
local = ${local_url[$name]#http://}
peer = $peer
gossip = $peer
admin = ${admin_url[$name]#http://}
[store]
url = $store_url
[contacts]
addresses = $(join "${contacts[@]}")
[admin]
credentials = operator:$operator_token
[backend]
announce_ttl = 5m
[log]
path = $run_dir/$name.log
level = info
END
  start "$name" bin/dogwoodhatch-node --config "$run_dir/$name.ini"
  node_pids+=("$started")
}

# announce NAME SERVICE announces a backend server that no call will reach.
announce() {
  local port=${local_url[$1]##*:}
  curl -fs -m 5 -X PUT -d "{\"service\":\"$2\",\"address\":\"127.0.0.1:$((port + 3))\",\"slots\":10,\"connections\":10}" "${local_url[$1]}$local_path"
}

begin_fleet() {
  local i name
  for ((i = 0; i < size; i++)); do
    begin_node "$i"
    (((i + 1) % start_batch)) || sleep 0.2
  done
  for ((i = 0; i < size; i++)); do
    name=n$i
    wait_until 30 announce "$name" "service-$((i / nodes_per_service))" || fail "$name does not answer; see $run_dir/$name.out"
  done
}

# logs prints the log files of the nodes that are observed.
logs() { printf "$run_dir/%s.log\n" "${observers[@]}"; }

# seen PATTERN tells how many of the observers have logged a line with it.
seen() { logs | xargs grep -lE -- "$1" | wc -l; }

seen_by_all() { (($(seen "$1") == ${#observers[@]})); }

# all_joined tells whether every node has logged every other. A node may hear of
# a member first as suspected or dead, and then of its recovery.
all_joined() {
  local name
  for name in "${observers[@]}"; do
    (($(sed -nE 's/.*event=member_(joined|recovered) member=([^ ]*) .*/\2/p' "$run_dir/$name.log" | sort -u | wc -l) >= size - 1)) || return 1
  done
}

# false_deaths counts the members that some node declared dead though they ran.
false_deaths() {
  { logs | xargs grep -hE 'event=member_dead' || true; } | sed -E 's/.*member=([^ ]*) .*/\1/' | sort -u | wc -l
}

# last_time PATTERN prints when the last observer first logged a line with it, as
# seconds since 1970.
last_time() {
  local stamp
  stamp=$(logs | xargs grep -hEm1 -- "$1" | sed -E 's/^ts=([^ ]*) .*/\1/' | sort | tail -n 1)
  date -d "$stamp" +%s.%N
}

# spread_seconds BEGUN PATTERN waits until all observers know and prints how long
# it took, or how many never knew.
spread_seconds() {
  if wait_until "$news_seconds" seen_by_all "$2"; then
    awk -v b="$1" -v e="$(last_time "$2")" 'BEGIN { printf "%.2f", e - b }'
  else
    echo "missed-by-$((${#observers[@]} - $(seen "$2")))"
  fi
}

# scrape prints "sent received exchanged control_busy_us" for each node.
scrape() {
  local name urls=()
  for name in "${observers[@]}"; do urls+=("${admin_url[$name]}/metrics"); done
  curl -s -m 60 -w 'end_of_node\n' "${urls[@]}" | awk '
    /^dogwoodhatch_control_datagram_bytes_sent /     { s = $2 }
    /^dogwoodhatch_control_datagram_bytes_received / { r = $2 }
    /^dogwoodhatch_control_exchange_bytes /          { x = $2 }
    /^dogwoodhatch_control_busy_us /                 { b = $2 }
    /end_of_node/ { printf "%.0f %.0f %.0f %.0f\n", s, r, x, b; s = r = x = b = 0 }'
}

# processor_ticks prints the processor time of all nodes in clock ticks.
processor_ticks() {
  local pid files=()
  for pid in "${node_pids[@]}"; do files+=("/proc/$pid/stat"); done
  cat "${files[@]}" | sed 's/^.*) //' | awk '{ t += $12 + $13 } END { printf "%.0f", t }'
}

# memory prints the mean and the largest resident memory of a node in MB.
memory() {
  local pid files=()
  for pid in "${node_pids[@]}"; do files+=("/proc/$pid/status"); done
  cat "${files[@]}" | awk '/^VmRSS:/ { t += $2; n++; if ($2 > m) m = $2 } END { printf "%.1f %.1f", t / n / 1024, m / 1024 }'
}

store_counts() { curl -fs "$store_url/v1/counts" | tr -d '{}"\n ' | tr ',' '\n' | sort; }

# measure PREFIX COMMAND... sets PREFIX_sent, _received, _exchanged (B/s of a
# node, mean), _worst (B/s sent in datagrams, most), _cpu, _busy (percent of a
# core for a node, whole process and control goroutine) and _store (calls/s by
# kind) over the run of the command.
measure() {
  local prefix=$1 ticks begun took
  shift
  scrape >"$run_dir/before"
  store_counts >"$run_dir/store-before"
  ticks=$(processor_ticks)
  begun=$(date +%s.%N)
  "$@"
  took=$(awk -v b="$begun" -v e="$(date +%s.%N)" 'BEGIN { print e - b }')
  ticks=$(($(processor_ticks) - ticks))
  store_counts >"$run_dir/store-after"
  scrape >"$run_dir/after"
  paste -d ' ' "$run_dir/before" "$run_dir/after" | awk -v s="$took" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v p="$prefix" '
    { sent = $5 - $1; ts += sent; tr += $6 - $2; tx += $7 - $3; tb += $8 - $4; if (sent > worst) worst = sent }
    END { printf "%s_sent=%.0f %s_received=%.0f %s_exchanged=%.0f %s_worst=%.0f %s_cpu=%.2f %s_busy=%.3f\n",
      p, ts / NR / s, p, tr / NR / s, p, tx / NR / s, p, worst / s, p, 100 * ticks / hz / NR / s, p, tb / 1e4 / NR / s }' >"$run_dir/$prefix"
  command join -t : -a 2 -e 0 -o 0,1.2,2.2 "$run_dir/store-before" "$run_dir/store-after" |
    awk -F: -v s="$took" '$3 > $2 { printf "%s%s:%.2f", sep, $1, ($3 - $2) / s; sep = "," }' >"$run_dir/$prefix-store"
  line+=" $(cat "$run_dir/$prefix") ${prefix}_store=$(cat "$run_dir/$prefix-store")"
}

# change_profiles changes one profile each second.
change_profiles() {
  local n next
  for ((n = 1; n <= changes; n++)); do
    next=$(($(date +%s%N) + 1000000000))
    write_profile $((1000 + n))
    revision=$(accepted profile put bluebonnet "$run_dir/changed.ini" --base "$revision")
    while (($(date +%s%N) < next)); do sleep 0.02; done
  done
}

# write_profile MILLISECONDS writes the profile with another deadline of browsing.
write_profile() { sed "s/^deadline = 2s\$/deadline = $1ms/" profiles/bluebonnet.ini >"$run_dir/changed.ini"; }

# drop NAME ends the observation of a node.
drop() {
  local name kept=()
  for name in "${observers[@]}"; do [[ $name == "$1" ]] || kept+=("$name"); done
  observers=("${kept[@]}")
}

# measure_news measures how long each kind of news takes to reach the last node.
measure_news() {
  local begun victim
  begun=$(date +%s.%N)
  write_profile 1900
  revision=$(accepted profile put bluebonnet "$run_dir/changed.ini" --base "$revision")
  line+=" profile_s=$(spread_seconds "$begun" "event=record key=profiles/bluebonnet revision=$revision ")"

  victim=n$((size - 1))
  drop "$victim"
  begun=$(date +%s.%N)
  curl -fs -X DELETE "${local_url[$victim]}$local_path"
  line+=" withdrawal_s=$(spread_seconds "$begun" "event=member_updated member=$victim-.* service= ")"

  begin_node "$size"
  victim=n$size
  wait_until 20 grep -q event=node_started "$run_dir/$victim.log" || fail "$victim did not start"
  begun=$(date -d "$(sed -nE 's/^ts=([^ ]*) .*event=node_started.*/\1/p' "$run_dir/$victim.log")" +%s.%N)
  line+=" join_s=$(spread_seconds "$begun" "event=member_joined member=$victim-")"

  begun=$(date +%s.%N)
  kill -TERM "$started"
  line+=" leave_s=$(spread_seconds "$begun" "event=member_(leaving|left) member=$victim-")"
  wait "$started" || fail "$victim did not stop gracefully"

  victim=n$((size - 2))
  drop "$victim"
  begun=$(date +%s.%N)
  kill -KILL "${node_pids[$((size - 2))]}"
  line+=" death_s=$(spread_seconds "$begun" "event=member_dead member=$victim-")"
}

# row prints the line of the fleet as a row of the table.
row() {
  local key
  printf '|'
  for key in nodes load_average idle_sent idle_received idle_exchanged idle_worst idle_cpu idle_busy memory_mb memory_worst_mb idle_store \
    change_sent change_received change_exchanged change_worst change_cpu change_busy change_store join_s leave_s death_s profile_s withdrawal_s false_deaths; do
    printf ' %s |' "$(field "$key" "$line")"
  done
  printf '\n'
}

write_head() {
  mkdir -p "$(dirname "$table")"
  cat >"$table" <<END
# Control cost of a node and speed of news, by the size of the fleet

Written by \`make capacity\` (scripts/capacity.sh): one machine with $(nproc) cores, loopback, 3 regions with 2 failure domains each,
$nodes_per_service nodes to a service, no calls, one stand-in store. B/s are the mean over all nodes, payload of the datagrams without IP and UDP headers;
"exchanged" counts both ends' requests and answers over TCP; "worst" is the node that sent most in datagrams. Processor time is the whole
process, "control" the control goroutine alone, both in percent of one core for one node. Changes are one a second over $changes s. Times
are from the act until the last node has logged the news, in seconds. False deaths are members that some node declared dead though they ran, from the start to
the end of the changes. Load average is that of the machine, which others share, when the row began.

| nodes | load | idle: sent | received | exchanged | worst | processor % | control % | memory MB | most MB | store calls/s | changes: sent | received | exchanged | worst | processor % | control % | store calls/s | join s | leave s | death s | profile s | withdrawal s | false deaths |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
END
}

measure_fleet() {
  size=$1
  local began
  line="nodes=$size load_average=$(cut -d ' ' -f 1 /proc/loadavg)"
  began=$(date +%s.%N)
  start_store
  begin_fleet
  observers=("${node_names[@]}")
  if ! wait_until "$join_seconds" all_joined; then fail "not all of $size nodes know each other"; fi
  line+=" ready_s=$(awk -v b="$began" -v e="$(date +%s.%N)" 'BEGIN { printf "%.1f", e - b }')"
  sleep "$watch_seconds"
  revision=$(accepted profile put bluebonnet profiles/bluebonnet.ini --create)
  wait_until "$news_seconds" seen_by_all "event=record key=profiles/bluebonnet revision=$revision " || fail "the profile did not reach all nodes"
  measure idle sleep "$idle_seconds"
  read -r mean most <<<"$(memory)"
  line+=" memory_mb=$mean memory_worst_mb=$most"
  measure change change_profiles
  line+=" false_deaths=$(false_deaths)"
  measure_news
  echo "capacity $line"
  row >>"$table"
  stop_fleet || echo "capacity nodes=$size: a process needed force or ended with a fault (one was killed on purpose)" >&2
}

[[ ${CAPACITY_APPEND:-0} == 1 && -s $table ]] || write_head
for size in $sizes; do
  prepare
  measure_fleet "$size"
done
