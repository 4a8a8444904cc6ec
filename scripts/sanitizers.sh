#!/usr/bin/env bash
# Builds the test suites of the libraries with threads, sockets or parsers with one sanitizer and runs
# each of them. Not part of the CI script.
# Usage: scripts/sanitizers.sh address|thread [SUITE...], for example: scripts/sanitizers.sh address router_test
set -euo pipefail
cd "$(dirname "$0")/.."

case "${1:-}" in
  address)
    flags="-fsanitize=address,undefined -fno-omit-frame-pointer"
    build=build-asan
    ;;
  thread)
    flags="-fsanitize=thread"
    build=build-tsan
    ;;
  *)
    echo "usage: $0 address|thread [SUITE...]" >&2
    exit 2
    ;;
esac
shift
suites=("$@")
if [ ${#suites[@]} -eq 0 ]; then
  suites=(transport_test router_test dispatch_test wire_test entry_test)
fi

# -O1 keeps the stack traces of the reports readable.
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="$flags -O1 -g1"
cmake --build "$build" -j "${JOBS:-3}" --target "${suites[@]}"

# Undefined behaviour only prints a line by default.
export UBSAN_OPTIONS="print_stacktrace=1:halt_on_error=1"
failed=()
for suite in "${suites[@]}"; do
  program=$(find "$build" -name "$suite" -type f -perm -u+x)
  "$program" || failed+=("$suite")
done
if [ ${#failed[@]} -ne 0 ]; then
  echo "failed under the sanitizer: ${failed[*]}" >&2
  exit 1
fi
