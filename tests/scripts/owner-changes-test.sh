#!/usr/bin/env bash
# Tests scripts/owner-changes.sh with the logs in owner-changes/.
set -euo pipefail
cd "$(dirname "$0")"
readonly SCRIPT=../../scripts/owner-changes.sh
failures=0
report=""

fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# Runs the script on a log and checks its exit status, the number of SUSPECT lines and that each of the given
# texts is in one line of the report. Leaves the report in `report`.
expect() {
  local name=$1 status=$2 suspects=$3 actual=0 text
  shift 3
  report=$($SCRIPT < "owner-changes/$name.txt") || actual=$?
  [ "$actual" -eq "$status" ] || fail "$name: exit status $actual instead of $status"
  [ "$(grep -c '^SUSPECT' <<< "$report")" -eq "$suspects" ] || fail "$name: not $suspects SUSPECT lines"
  for text in "$@"; do
    grep -qF -- "$text" <<< "$report" || fail "$name: \"$text\" isn't in the report"
  done
  if [ "$failures" -gt 0 ]; then
    printf '%s\n' "$report"
  fi
}

# Changes that the log bears out are not suspected.
expect clean 0 0 \
  $'grants expired\tunanswered\t2\t50\t2900' \
  $'process ended\tanswered\t2\t100\t-' \
  $'release\tanswered\t1\t1510\t-' \
  'last failed grant: 50 ms before, keys 20-29, token 1, answered (end 0, status 409), open for 300 ms, new connection' \
  'last release: 10 ms before, keys 10-19, token 2, answered' \
  'front-a-1, epoch 1: 1 s to 24 s, changes from 1.5 s to 16.1 s' \
  'another coordinator: front-a-1, epoch 1, 25200 ms before until 2200 ms before'
# A coordinator that resigned before the next one began isn't another one at the time of the change.
[ "$(grep -c 'another coordinator: front-b-1' <<< "$report")" -eq 0 ] || fail "clean: terms that don't overlap"

# An owner whose unanswered grant can still be in force counts as one that holds nothing.
expect expired-early 1 1 \
  'SUSPECT 12.5 s front-a-1: keys 20-29 (1 of 2 ranges), i-1@100 token 1 -> i-2@100 token 3: grants expired, but an unanswered grant failed 2500 ms before (kept connection)'
expect expired-early-after-unreadable-answer 1 1 'an unanswered grant failed 2500 ms before'
expect expired-early-without-times 1 1 \
  'an unanswered grant failed 2700 ms before (new connection)' \
  'Order of the epochs not checked'

# A release counts that was not answered, or was another server's, VM's or token's, or of fewer keys.
expect release-unanswered 1 1 \
  'SUSPECT 20.2 s front-a-1: keys 10-19, i-1@100 token 1 -> i-2@100 token 3: release, but no answered release'

# A process counts as ended without an answer that is certain to be of another one.
expect process-not-ended 1 1 'process ended, but no status 421 in the log'

# Two coordinators change owners at the same time.
expect two-coordinators 1 1 \
  'SUSPECT 25.4 s front-a-1: keys 40-49, i-1@100 token 1 -> i-2@100 token 3: epoch 1, but front-b-1 changed owners with epoch 2 200 ms before' \
  'another coordinator: front-a-1, epoch 1, 24200 ms before until after the change' \
  'another coordinator: front-b-1, epoch 2, 5400 ms before until unknown'
# Only the changes at 25.2 s and 27.1 s come within 10 s of the other coordinator's term.
[ "$(grep -c 'another coordinator: front-a-1' <<< "$report")" -eq 2 ] || fail "two-coordinators: terms named"

expect two-coordinators-of-one-epoch 1 1 'epoch 1, but front-a-1 changed owners with epoch 1 1000 ms before'

# Evidence that the log may lack is named instead of a suspicion.
expect lines-left-out 0 0 \
  'Not checked for lack of release lines (release): 1 changes' \
  'Not checked for lack of grant_failed lines (expiry): 1 changes' \
  'Not checked for lack of grant_failed or release lines (process end): 1 changes' \
  'Ranges not named in the lines, and not checked: 4' \
  'Lines left out over the limit of 10 a second: grant_failed 7'
expect lines-left-out-at-the-end 0 0 'Not checked for lack of release lines (release): 1 changes'
expect lines-left-out-before-a-restart 0 0 'Not checked for lack of release lines (release): 1 changes'
expect begins-late 0 0 'Not checked for lack of release lines (release): 1 changes'

# A log without changes doesn't pass as a clean one.
status=0
$SCRIPT < /dev/null 2> /dev/null || status=$?
[ "$status" -eq 2 ] || fail "empty log: exit status $status instead of 2"

[ "$failures" -eq 0 ]
