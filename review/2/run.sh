#!/usr/bin/env bash
# An entry VM is stopped; are requests that it takes over 3 s later answered?
# Build first: the deploy file's build, then review/build.sh. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
. ../case.sh
run_case . StopDuringWork
