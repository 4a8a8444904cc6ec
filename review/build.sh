#!/usr/bin/env bash
# Builds the stand-ins of the cases in target/review/, after the build of the deploy file. Needs only
# the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tests/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$name"
done
