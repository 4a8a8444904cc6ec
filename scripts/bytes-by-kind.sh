#!/usr/bin/env bash
# Prints bytes by kind of message, within and between failure domains, and calls to the store, summed over
# the last status line of each process in a bench log. Reads the log from standard input.
set -euo pipefail
grep -o '{.*"event":"status".*}' | jq -rsn '
  [inputs[]] | group_by([.vm, .run]) | map(max_by(.steady_ms)) as $last
  | ($last | map(.bytes[] | to_entries[]) | group_by(.key)
     | map([.[0].key, (map(.value[0]) | add), (map(.value[1]) | add)])) as $bytes
  | ["kind", "same domain, kB", "other domain, kB"],
    ($bytes[] | [.[0], (.[1] / 1000 | round), (.[2] / 1000 | round)]),
    ["store calls", ($last | map(.store_lists + .store_watches + .store_reads + .store_writes) | add), ""]
  | @tsv'
