#!/usr/bin/env bash
# Runs clang-tidy on the given files, or on all C++ sources except generated ones, cmake/, tests and
# benchmarks. Needs a build, for its compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cpp' | grep -v -e '/generated/' -e '^cmake/' -e '/benchmarks/' -e '/tests/' -e '^tests/')
fi
printf '%s\n' "${files[@]}" | xargs -r -P 8 -n 1 clang-tidy -p build --quiet 2> >(grep -v 'warnings\? generated\|Suppressed\|Use -header-filter' >&2)
