#!/usr/bin/env bash
# Runs the case of the given folder from the repository's root. TROUBLE=0 leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program="target/review-2/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/programs/sycamore-entry/sycamore-entry ]; then
  echo "build the deploy file's line and review/build-2.sh first" >&2
  exit 2
fi
status=0
timeout -s KILL 115 "$program" "$folder/record.txt" || status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
