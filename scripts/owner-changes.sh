#!/usr/bin/env bash
# Reports for each change of owner why the previous owner was taken to hold nothing, and how soon after a
# failed grant to it the change came. Reads the logs of all entry VMs from standard input: JSON lines, each of
# which may have a time in seconds and the VM's name before it; other lines are skipped. Without such times
# only lines of the same VM are compared. Lines that begin with SUSPECT name changes whose reason the log
# doesn't bear out. Exit status: 0 without and 1 with such lines, 2 if the log has no change of owner.
set -euo pipefail

# Lifetime of a grant (CoordinatorSettings::grantDuration).
readonly GRANT_LIFETIME_MS=2800
# Maximum number of lines per event name and second (EventLog).
readonly MAX_LINES_PER_SECOND=10
# Time before a change for which its evidence is looked for among the lines left out. A released range can
# wait for a predecessor to stop (5 s) and for its unanswered grants to expire (3.2 s).
readonly EVIDENCE_MS=10000
readonly SMALLEST_MARGINS=10

readonly EVENTS='owner_changed|grant_failed|release|coordinator_began|coordinator_resigned|start|stop'

# Prints the events as JSON lines with the fields `t` (time in ms) and `clock`, the name of the clock that
# `t` was read from: events of different clocks can't be compared. It is empty for the time before the line.
read_events() {
  { LC_ALL=C grep -aE "\"event\": ?\"($EVENTS)\"" || [ $? -eq 1 ]; } | jq -Rc '
    index("{") as $begin
    | (.[:$begin] | split(" ") | map(select(. != "")) | .[0] // "" | tonumber? // null) as $seconds
    | .[$begin:] | fromjson? | select(type == "object" and (.steady_ms | type) == "number")
    | if $seconds == null then .t = .steady_ms | .clock = .vm
      else .t = $seconds * 1000 | .clock = "" end'
}

report=$(read_events | jq -rn -f "$(dirname "$0")/owner-changes.jq" \
  --argjson grant_lifetime_ms "$GRANT_LIFETIME_MS" --argjson max_lines_per_second "$MAX_LINES_PER_SECOND" \
  --argjson evidence_ms "$EVIDENCE_MS" --argjson smallest_margins "$SMALLEST_MARGINS")
if [ -z "$report" ]; then
  echo "no change of owner in the log" >&2
  exit 2
fi
printf '%s\n' "$report"
if grep -q '^SUSPECT' <<< "$report"; then
  exit 1
fi
