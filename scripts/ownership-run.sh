#!/usr/bin/env bash
# Runs entry VMs with faults drawn by a seed and checks that no key has two owners. Options: --seed N,
# --seconds S, --vms V, --servers N, --more FAULT (a fault that is drawn more than others), --silence_interval
# S (mean time between silences of open connections, 0 for none), --configuration (changes the configuration and
# checks that the changes are in force in time), --keep. The program is taken from build/, or from $BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "${BUILD_DIR:-build}/tests/entry/ownership_run" "$@"
