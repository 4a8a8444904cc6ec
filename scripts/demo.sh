#!/usr/bin/env bash
# Builds everything and demonstrates it on loopback with a platform stub, 3 failure domains with 2 entry
# VMs each, and 9 backend servers. Creates a service, sends requests, kills the owner of key-1 under
# load, prints the longest time that a key was not served and the error budget burn report, and stops all
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh

build=$PWD/build
run=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap stop_all EXIT

print_heading() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM ARGS...: starts a program and waits up to 5 s until it prints its addresses.
start() {
  local name=$1
  shift
  "$@" > "$run/$name.out" 2> "$run/$name.log" &
  pids+=($!)
  echo $! > "$run/$name.pid"
  for _ in $(seq 250); do
    grep -q '^listening' "$run/$name.out" && return
    sleep 0.02
  done
  echo "$name did not print its addresses within 5 s; its log:" >&2
  cat "$run/$name.log" >&2
  exit 1
}

# address NAME FIELD: prints the address that a daemon reported under FIELD.
address() { sed -n "s/.*$2=\([^ ]*\).*/\1/p" "$run/$1.out"; }

register() {
  curl -sS -o /dev/null -X PUT "http://$platform/admin/vms/$1" -d "$2"
}

ctl() { "$build/programs/sycamorectl/sycamorectl" --server="$operators" "$@"; }

print_heading "starting the platform stub, 6 entry VMs and 9 backend servers"
start platform "$build/testing/platform_stub/platform_stub" --port=0
platform=$(awk '/^listening/ {print $2}' "$run/platform.out")

callers=""
operators=""
for domain in a b c; do
  for number in 1 2; do
    vm=vm-$domain$number
    cat > "$run/$vm.json" <<SETTINGS
{"vm": "$vm", "domain": "$domain", "platform": "$platform",
 "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "127.0.0.1:0",
            "operators": "127.0.0.1:0"},
 "limits": {}, "operators": {"allow_without_token": true}}
SETTINGS
    start "$vm" "$build/programs/sycamored/sycamored" --settings="$run/$vm.json"
    register "$vm" "{\"role\":\"entry\",\"address\":\"$(address "$vm" callers)\",\"peer_address\":\"$(address "$vm" peers)\",\"operator_address\":\"$(address "$vm" operators)\",\"domain\":\"$domain\",\"service\":\"\",\"state\":\"live\"}"
    callers+=${callers:+,}$(address "$vm" callers)
    operators+=${operators:+,}$(address "$vm" operators)
  done
done

number=0
for domain in a b c a b c a b c; do
  number=$((number + 1))
  server=layout-$number
  start "$server" "$build/testing/backend_stub/backend_stub" --port=0 --server="$server" --slots=2
  at=$(awk '/^listening/ {print $2}' "$run/$server.out")
  register "$server" "{\"role\":\"backend\",\"address\":\"$at\",\"domain\":\"$domain\",\"service\":\"layout\",\"state\":\"live\"}"
done

print_heading "creating the service 'layout' with sycamorectl"
cat > "$run/layout.json" <<'SERVICE'
{"service": "layout", "keyed": true, "shards": 64, "slots_per_server": 2,
 "servers_check_tokens": true, "votes": "hold", "domains": ["a", "b", "c"],
 "methods": {"plan": {"idempotent": true, "deadline_ms": 2000,
                      "retry": {"max_attempts": 3, "budget_ratio": 0.1}},
             "reset": {"idempotent": false, "deadline_ms": 2000}},
 "objective": {"good_ratio": 0.999, "latency_ms": 50},
 "vocabulary": {"run": "night label run"}}
SERVICE
# Creating the service fails until the entry VM has read the VM list, which names the failure domains.
for _ in $(seq 50); do
  ctl service create "$run/layout.json" > "$run/create.out" 2>&1 && break
  sleep 0.2
done
cat "$run/create.out"

wait_for_owners() {
  for _ in $(seq 200); do
    active=$(ctl --output=json tenancies layout 2>/dev/null | grep -o '"kind": *"active"' | wc -l || true)
    [ "$active" -ge "$1" ] && return
    sleep 0.1
  done
  echo "only $active of $1 servers have an active lease holder after 20 s" >&2
  exit 1
}
wait_for_owners 9
sleep 0.5
ctl owners layout
ctl tenancies layout
ctl explain layout key-1

load() {
  "$build/testing/load_tool/load_tool" --targets="$callers" --service=layout "$@"
}

print_heading "3 s of requests from 8 callers"
load --duration_ms=3000 --method=plan

print_heading "a non-idempotent request, sent twice with the same id; it is executed once"
entry=${callers%%,*}
id=$(printf '%012x-7000-8000-%012x' "$(date +%s%3N)" "$RANDOM" | sed 's/^\(........\)\(....\)/\1-\2/')
for attempt in 1 2; do
  curl -sS -D - -X POST "http://$entry/v1/layout/reset" -H "Sycamore-Key: key-1" \
    -H "Sycamore-Request-Id: $id" -H "Sycamore-Attempt: $attempt" -d 'reset aisle 4' |
    tr -d '\r' | grep -E '^HTTP|^Sycamore-(Outcome|Reason|Replayed|Server)|^\{' || true
  echo
done

victim=$(ctl --output=json explain layout key-1 | sed -n 's/.*"owner": *"\([^"]*\)".*/\1/p' | head -1)
print_heading "SIGKILL of $victim, the owner of key-1, under load"
load --duration_ms=4000 --method=plan > "$run/load.out" &
load_pid=$!
sleep 1.5
kill -KILL "$(cat "$run/$victim.pid")"
wait "$load_pid"
cat "$run/load.out"
printf 'longest time that a key was not served: %s ms\n' \
  "$(sed -n 's/.*"longest_unserved_key_ms":\([0-9.]*\).*/\1/p' "$run/load.out")"
ctl explain layout key-1

print_heading "error budget burn report"
ctl burn layout || true

print_heading "graceful shutdown of an entry VM with SIGTERM"
last=${callers##*,}
pid=$(cat "$run/vm-c2.pid")
kill -TERM "$pid"
wait "$pid" && echo "vm-c2 exited with status 0" || echo "vm-c2 exited with status $?"
tail -1 "$run/vm-c2.log"

print_heading "stopping all processes"
