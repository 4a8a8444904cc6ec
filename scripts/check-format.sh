#!/usr/bin/env bash
# Checks the formatting of all C++ sources except generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | grep -v '/generated/' | xargs -r clang-format --dry-run --Werror
