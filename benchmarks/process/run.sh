#!/usr/bin/env bash
# Measures entry VMs as processes on loopback and prints figures as JSON lines.
#   benchmarks/process/run.sh process   latency, CPU time and idle cost at the present sizes of both workspaces
#   benchmarks/process/run.sh scaling   idle cost by number of entry VMs, backend servers and shards
# Environment: BUILD_DIR (build), SEED (1), PROCESS_RUNS (3), IDLE_SECONDS (5), SCALING_RUNS (2), SIZES (all).
#
# Bytes are the payload that the kernel counts for each TCP connection of a daemon (bytes_sent and
# bytes_received of "ss -tin"), including HTTP headers and excluding TCP/IP headers. A connection that
# ends within the window is not counted, so the figure is a lower bound; the number of such connections
# is printed as control_connections_ended.
set -euo pipefail
cd "$(dirname "$0")/../.."

build=$(realpath "${BUILD_DIR:-build}")
readonly seed=${SEED:-1}
readonly runs=${PROCESS_RUNS:-3}
readonly idle_seconds=${IDLE_SECONDS:-5}
tick=$(getconf CLK_TCK)
page=$(getconf PAGESIZE)
scratch=$(mktemp -d)
readonly build tick page scratch

pids=()       # all processes started, for the clean-up
daemons=()    # process ids of the entry VMs
callers=()    # addresses of the entry VMs for callers
statuses=()   # addresses of the entry VMs for metrics
platform=
service=layout

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  pids=() daemons=() callers=() statuses=()
}
trap 'stop_all; rm -rf "$scratch"' EXIT

# Starts a program with its output in a file and waits up to 30 s for its "listening" line, which it stores
# in $line.
launch() { # NAME PROGRAM ARGS...
  local name=$1 log="$scratch/$1.out" deadline=$((SECONDS + 30))
  shift
  # An earlier cluster of this run may have left a file with an outdated address.
  rm -f "$log"
  "$@" > "$log" 2> "$scratch/$name.err" < /dev/null &
  pids+=($!)
  until line=$(grep -sm1 '^listening ' "$log"); do
    if [ $SECONDS -ge $deadline ] || ! kill -0 "${pids[-1]}" 2> /dev/null; then
      echo "run.sh: $name exited or printed no address within 30 s; end of its log:" >&2
      tail -n 5 "$scratch/$name.err" >&2
      return 1
    fi
    sleep 0.02
  done
}

field() { sed -n "s/.* $1=\([^ ]*\).*/\1/p" <<< "$line"; }

put() { # PATH BODY
  curl -sS -f -m 5 -X PUT "http://$platform$1" -H 'Content-Type: application/json' -d "$2" > /dev/null
}

metric() { # STATUS-ADDRESS NAME
  curl -sS -m 5 "http://$1/metrics" | awk -v name="sycamore_$2" '$1 == name { print $2 }'
}

metric_sum() { # NAME
  local status
  for status in "${statuses[@]}"; do metric "$status" "$1"; done | awk '{ sum += $1 } END { print sum + 0 }'
}

# Succeeds if the entry VMs send at least 3 grants per server within 0.5 s. A server gets about 10 grants a
# second, so this holds only if nearly every server gets its grants.
grants_steady() { # SERVERS
  local before after
  before=$(metric_sum grants_sent_total)
  sleep 0.5
  after=$(metric_sum grants_sent_total)
  [ $((after - before)) -ge $(($1 * 3)) ]
}

# Waits until the planner has written no map for 2 s, so that the figures do not include start-up. Prints a
# warning and returns if maps are still written after 30 s.
wait_planned() {
  local deadline=$((SECONDS + 30)) last=-1 writes quiet=0
  while [ $quiet -lt 4 ]; do
    writes=$(metric_sum map_writes_total)
    if [ "$writes" = "$last" ]; then quiet=$((quiet + 1)); else quiet=0; fi
    last=$writes
    if [ $SECONDS -ge $deadline ]; then
      echo "run.sh: the planner still writes maps after 30 s; the figures may include start-up" >&2
      return 0
    fi
    sleep 0.5
  done
}

# Starts the platform stub, the backend servers and the entry VMs. Waits up to 60 s until the last entry VM
# is ready and the backend servers get their grants.
start_cluster() { # ENTRY-VMS SERVERS SHARDS SLOTS
  local vms=$1 servers=$2 shards=$3 slots=$4 i domain deadline
  launch platform "$build/testing/platform_stub/platform_stub" --port 0 || return 1
  platform=${line#listening }
  for domain in a b c; do
    put "/objects/config/domain.$domain?if_version=0" "{\"domain\":\"$domain\",\"state\":\"in\"}"
  done
  put "/objects/config/service.$service?if_version=0" "{\"service\":\"$service\",\"keyed\":true,
    \"shards\":$shards,\"slots_per_server\":$slots,\"servers_check_tokens\":true,\"votes\":\"hold\",
    \"domains\":[\"a\",\"b\",\"c\"],\"cold_start\":{\"limit\":1,\"ramp_ms\":1000},
    \"methods\":{\"plan\":{\"idempotent\":true,\"deadline_ms\":2000,
      \"retry\":{\"max_attempts\":3,\"budget_ratio\":0.1}}},
    \"objective\":{\"good_ratio\":0.999,\"latency_ms\":50}}"
  local names=(a b c)
  for ((i = 0; i < servers; ++i)); do
    domain=${names[$((i % 3))]}
    launch "server-$i" "$build/testing/backend_stub/backend_stub" --port 0 \
      --server "$service-$i" --slots "$slots" --service_time_ms 1 || return 1
    put "/admin/vms/$service-$i" "{\"role\":\"backend\",\"address\":\"${line#listening }\",
      \"domain\":\"$domain\",\"service\":\"$service\",\"state\":\"live\"}"
  done
  for ((i = 0; i < vms; ++i)); do
    domain=${names[$((i % 3))]}
    cat > "$scratch/vm-$i.json" << SETTINGS
{"vm": "vm-$i", "domain": "$domain", "platform": "$platform", "seed_peers": [],
 "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "127.0.0.1:0",
            "operators": "127.0.0.1:0"},
 "limits": {}, "operators": {"allow_without_token": true}, "log_level": "info"}
SETTINGS
    launch "vm-$i" "$build/programs/sycamored/sycamored" --settings="$scratch/vm-$i.json" || return 1
    daemons+=("${pids[-1]}")
    callers+=("$(field callers)")
    statuses+=("$(field status)")
    put "/admin/vms/vm-$i" "{\"role\":\"entry\",\"address\":\"$(field callers)\",
      \"peer_address\":\"$(field peers)\",\"operator_address\":\"$(field operators)\",
      \"domain\":\"$domain\",\"service\":\"\",\"state\":\"live\"}"
  done
  deadline=$((SECONDS + 60))
  until [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 "http://${statuses[-1]}/readyz")" = 200 ] &&
    grants_steady "$servers"; do
    if [ $SECONDS -ge $deadline ]; then
      echo "run.sh: $vms entry VMs and $servers backend servers were not ready after 60 s; ends of the VMs' logs:" >&2
      for i in "$scratch"/vm-*.err; do tail -n 2 "$i" >&2; done
      return 1
    fi
  done
}

# Prints the sum of the user and system time of all daemons, in clock ticks.
cpu_ticks() {
  local pid sum=0 stat
  for pid in "${daemons[@]}"; do
    stat=$(< "/proc/$pid/stat")
    stat=${stat##*) }
    # shellcheck disable=SC2086
    set -- $stat
    sum=$((sum + ${12} + ${13}))
  done
  echo $sum
}

# Prints the mean resident set size of the daemons, in MiB.
rss_mb() {
  local pid
  for pid in "${daemons[@]}"; do awk '{ print $2 }' "/proc/$pid/statm"; done |
    awk -v page="$page" '{ sum += $1 } END { print sum * page / NR / 1048576 }'
}

# Prints a line "local peer sent received" for each established TCP connection of the daemons.
connections() {
  local pattern
  pattern=$(IFS='|'; echo "${daemons[*]}")
  ss -tinpHO state established |
    awk -v pattern="pid=($pattern)," '$0 ~ pattern {
      sent = received = 0
      for (i = 1; i <= NF; ++i) {
        if ($i ~ /^bytes_sent:/) sent = substr($i, 12)
        if ($i ~ /^bytes_received:/) received = substr($i, 16)
      }
      print $3, $4, sent, received
    }'
}

now_ns() { date +%s%N; }

platform_calls() {
  curl -sS -m 5 "http://$platform/stats" | jq '[.calls | to_entries[]
    | select(.key | IN("rate_limited", "conflicts", "answers_lost", "dropped") | not)
    | .value[]] | add // 0'
}

# Measures for IDLE_SECONDS without requests. Sets idle_cpu (clock ticks per second of all daemons), cpu
# (percent of a core per daemon), rss (MiB per daemon), ended (connections), calls (per second, of all
# daemons), and bytes, tx_bytes, heartbeats, batches, votes, grants and map_writes (per second and daemon).
measure_idle() {
  local vms=${#daemons[@]} t0 t1 c0 c1 p0 p1 m0 m1 name
  local -A first
  m0=$(now_ns)
  for name in heartbeats_sent vote_batches vote_requests grants_sent map_writes; do
    first[$name]=$(metric_sum "${name}_total")
  done
  p0=$(platform_calls)
  connections > "$scratch/before"
  t0=$(now_ns); c0=$(cpu_ticks)
  sleep "$idle_seconds"
  t1=$(now_ns); c1=$(cpu_ticks)
  connections > "$scratch/after"
  p1=$(platform_calls)
  local rates=()
  m1=$(now_ns)
  for name in heartbeats_sent vote_batches vote_requests grants_sent map_writes; do
    rates+=("$(awk -v a="${first[$name]}" -v b="$(metric_sum "${name}_total")" -v n="$vms" \
      -v s="$((m1 - m0))" 'BEGIN { print (b - a) / n / (s / 1e9) }')")
  done
  heartbeats=${rates[0]} batches=${rates[1]} votes=${rates[2]} grants=${rates[3]}
  map_writes=${rates[4]}
  read -r bytes tx_bytes ended < <(awk -v n="$vms" -v s="$((t1 - t0))" '
    NR == FNR { sent[$1 " " $2] = $3; received[$1 " " $2] = $4; next }
    { key = $1 " " $2; tx += $3 - sent[key]; rx += $4 - received[key]; delete sent[key] }
    END { print (tx + rx) / n / (s / 1e9), tx / n / (s / 1e9), length(sent) }' \
    "$scratch/before" "$scratch/after")
  cpu=$(awk -v a="$c0" -v b="$c1" -v n="$vms" -v s="$((t1 - t0))" -v t="$tick" \
    'BEGIN { print (b - a) / t / n / (s / 1e9) * 100 }')
  idle_cpu=$(awk -v a="$c0" -v b="$c1" -v s="$((t1 - t0))" 'BEGIN { print (b - a) / (s / 1e9) }')
  calls=$(awk -v a="$p0" -v b="$p1" -v s="$((t1 - t0))" 'BEGIN { print (b - a) / (s / 1e9) }')
  rss=$(rss_mb)
}

median() { printf '%s\n' "$@" | sort -g | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }

emit() { # NAME SCENARIO VALUE UNIT [BASELINE BASELINE_VALUE]
  jq -nc --arg name "$1" --arg scenario "$2" --argjson value "$3" --arg unit "$4" \
    --arg baseline "${5:-}" --argjson baseline_value "${6:-null}" --arg command "$command" \
    --argjson seed "$seed" --argjson runs "$count" \
    '{name: $name, scenario: $scenario, value: $value, unit: $unit, bound: null,
      baseline: (if $baseline == "" then null else $baseline end),
      baseline_value: $baseline_value, command: $command, seed: $seed, runs: $runs}'
}

emit_idle() { # SCENARIO
  emit control_cpu_percent "$1" "$cpu" "% of a core per entry VM"
  emit control_rss_mb "$1" "$rss" "MiB per entry VM"
  emit control_bytes_per_s "$1" "$bytes" "B/s per entry VM"
  emit control_sent_bytes_per_s "$1" "$tx_bytes" "B/s per entry VM"
  emit control_connections_ended "$1" "$ended" "connections"
  emit platform_calls_per_s "$1" "$calls" "calls/s of all"
  emit heartbeats_per_s "$1" "$heartbeats" "1/s per entry VM"
  emit vote_batches_per_s "$1" "$batches" "1/s per entry VM"
  emit vote_requests_per_s "$1" "$votes" "1/s per entry VM"
  emit map_writes_per_s "$1" "$map_writes" "1/s per entry VM"
  emit grants_per_s "$1" "$grants" "1/s per entry VM"
}

load() { # TARGETS THREADS PAUSE_MS DURATION_MS SEED
  "$build/testing/load_tool/load_tool" --targets="$1" --service="$service" --method=plan \
    --threads="$2" --pause_ms="$3" --duration_ms="$4" --seed="$5" --keys=200
}

# Starts backend servers that do not check grants, so that callers can send to them directly. Sets $direct to
# their addresses.
start_direct() { # SERVERS SLOTS
  local i targets=()
  for ((i = 0; i < $1; ++i)); do
    launch "direct-$i" "$build/testing/backend_stub/backend_stub" --port 0 --server "direct-$i" \
      --slots "$2" --check_tokens=false --service_time_ms 1
    targets+=("${line#listening }")
  done
  direct=$(IFS=,; echo "${targets[*]}")
}

measure_workspace() { # SCENARIO ENTRY-VMS SERVERS SLOTS
  local scenario=$1 targets run result ratios50=() ratios99=() direct50=() via50=() direct99=()
  local cpus=() c0 c1 t0 t1 ran
  command="benchmarks/process/run.sh process"
  count=1
  start_cluster "$2" "$3" 256 "$4"
  targets=$(IFS=,; echo "${callers[*]}")
  start_direct 4 "$4"
  load "$targets" 2 1 2000 "$seed" > /dev/null # lasts until the cold start has ended
  wait_planned
  measure_idle
  emit_idle "$scenario"
  count=$runs
  for ((run = 1; run <= runs; ++run)); do
    # Every server has slots for 2 callers at once, so no request queues and the ratio shows only the
    # latency that the entry VM adds.
    result=$(load "$direct" 2 1 1500 "$((seed + run))")
    direct50+=("$(jq .p50_ms <<< "$result")") direct99+=("$(jq .p99_ms <<< "$result")")
    echo "direct $scenario: $result" >&2
    result=$(load "$targets" 2 1 1500 "$((seed + run))")
    echo "via $scenario: $result" >&2
    via50+=("$(jq .p50_ms <<< "$result")")
    ratios50+=("$(jq -n "$(jq .p50_ms <<< "$result") / ${direct50[-1]}")")
    ratios99+=("$(jq -n "$(jq .p99_ms <<< "$result") / ${direct99[-1]}")")
    t0=$(now_ns); c0=$(cpu_ticks)
    result=$(load "$targets" 8 0 3000 "$((seed + 100 + run))")
    t1=$(now_ns); c1=$(cpu_ticks)
    ran=$(jq '.outcomes.ran // 0' <<< "$result")
    echo "load $scenario: $result" >&2
    cpus+=("$(awk -v ticks="$((c1 - c0))" -v idle="$idle_cpu" -v s="$((t1 - t0))" -v t="$tick" \
      -v n="$ran" 'BEGIN { print (ticks - idle * s / 1e9) / t / n * 1e6 }')")
  done
  emit added_latency_ratio "$scenario" "$(median "${ratios50[@]}")" "p50, ratio" direct_p50_ms "$(median "${direct50[@]}")"
  emit added_latency_ratio_p99 "$scenario" "$(median "${ratios99[@]}")" "p99, ratio" direct_p99_ms "$(median "${direct99[@]}")"
  emit cpu_us_per_request "$scenario" "$(median "${cpus[@]}")" "us of all entry VMs"
  stop_all
}

measure_size() { # ENTRY-VMS SERVERS SHARDS
  command="benchmarks/process/run.sh scaling"
  count=1
  if ! start_cluster "$1" "$2" "$3" 2; then
    stop_all
    return
  fi
  wait_planned
  measure_idle
  emit_idle "vms=$1,servers=$2,shards=$3"
  stop_all
}

case ${1:-} in
  process)
    measure_workspace norte 10 20 2
    measure_workspace dixie-south 10 20 6
    ;;
  scaling)
    for round in $(seq "${SCALING_RUNS:-2}"); do
      echo "run.sh: round $round of the sizes" >&2
      for size in ${SIZES:-3,8,256 6,8,256 9,8,256 12,8,256 6,4,256 6,16,256 6,32,256 12,32,256 3,32,256 \
        6,8,64 6,8,1024 6,8,4096}; do
        IFS=, read -r vms servers shards <<< "$size"
        measure_size "$vms" "$servers" "$shards"
      done
    done
    ;;
  *)
    echo "usage: benchmarks/process/run.sh process|scaling" >&2
    exit 2
    ;;
esac
