#!/usr/bin/env bash
# Runs the case of the given folder from the repository's root. TROUBLE=0 leaves the disruption out.
set -euo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program="target/review-2/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/programs/sycamore-entry/sycamore-entry ]; then
  echo "build the deploy file's line and review/build-2.sh first" >&2
  exit 2
fi
exec timeout 115 "$program" "$folder/record.txt"
