#!/usr/bin/env bash
# Installs the required packages and builds everything in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja > build-configure.log 2>&1 || { cat build-configure.log; rm -f build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build
