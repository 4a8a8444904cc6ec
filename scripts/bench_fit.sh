#!/usr/bin/env bash
# Fits a figure of the scaling, planning or ownership benchmark to its sizes by least squares.
#   scripts/bench_fit.sh FILE NAME MODEL...   e.g. build/bench/scaling.json control_bytes_per_s 1 vms servers
# Terms: 1 (constant), vms, servers, shards, held (servers/vms), and products of these such as vms*held.
# SELECT (a jq condition on .vms, .servers, .shards) restricts the sizes, e.g. SELECT='.servers==8'.
# Prints each coefficient, the root mean square of the residuals, and the largest relative residual.
set -euo pipefail
[ $# -ge 3 ] || { sed -n '2,6s/^# //p' "$0" >&2; exit 2; }
file=$1 name=$2
shift 2
jq -r --arg name "$name" '
  .[] | select(.name == $name and (.scenario | test("^(vms|size)="))) | .value as $value
  | (if (.scenario | startswith("size=")) then
       # Planning sizes are shards x servers. An ownership size is a number of server leases, which
       # are counted as the servers of one VM.
       (.scenario[5:] | split("x") | map(tonumber))
       | {vms: 1, servers: .[-1], shards: (if length == 2 then .[0] else 1 end)}
     else (.scenario | split(",") | map(split("=") | {(.[0]): (.[1] | tonumber)}) | add) end)
  | select('"${SELECT:-true}"')
  | [.vms, .servers, .shards, $value] | @tsv' "$file" |
  awk -v terms="$*" '
    function factor(word) {
      if (word == "1") return 1
      if (word == "vms") return $1
      if (word == "servers") return $2
      if (word == "shards") return $3
      if (word == "held") return $2 / $1
      reject(word)
    }
    function reject(word) { print "unknown term " word > "/dev/stderr"; exit 2 }
    BEGIN { k = split(terms, term, " ") }
    {
      n++; y[n] = $4; where[n] = $1 "," $2 "," $3
      for (i = 1; i <= k; i++) {
        x[n, i] = 1
        parts = split(term[i], part, "*")
        for (p = 1; p <= parts; p++) x[n, i] *= factor(part[p])
      }
    }
    END {
      if (n < 4 || n < k) {
        print "too few sizes to fit " k " terms: " n ", at least " (k > 4 ? k : 4) " are needed" > "/dev/stderr"
        exit 1
      }
      for (i = 1; i <= k; i++) {
        for (j = 1; j <= k; j++) for (r = 1; r <= n; r++) a[i, j] += x[r, i] * x[r, j]
        for (r = 1; r <= n; r++) a[i, k + 1] += x[r, i] * y[r]
      }
      for (i = 1; i <= k; i++) {
        best = i
        for (r = i + 1; r <= k; r++) if (a[r, i] ^ 2 > a[best, i] ^ 2) best = r
        for (j = 1; j <= k + 1; j++) { swap = a[i, j]; a[i, j] = a[best, j]; a[best, j] = swap }
        if (a[i, i] == 0) { print "the terms are linearly dependent over the measured sizes" > "/dev/stderr"; exit 1 }
        for (r = 1; r <= k; r++) if (r != i) {
          ratio = a[r, i] / a[i, i]
          for (j = i; j <= k + 1; j++) a[r, j] -= ratio * a[i, j]
        }
      }
      for (i = 1; i <= k; i++) { c[i] = a[i, k + 1] / a[i, i]; printf "%s=%.6g ", term[i], c[i] }
      for (r = 1; r <= n; r++) {
        fit = 0
        for (i = 1; i <= k; i++) fit += c[i] * x[r, i]
        residual = y[r] - fit; sum += residual ^ 2
        share = y[r] != 0 ? residual / y[r] : 0
        if (share < 0) share = -share
        if (share > worst) { worst = share; at = where[r] }
      }
      printf "sizes=%d rms_residual=%.4g worst=%.1f%% at %s\n", n, sqrt(sum / n), worst * 100, at
    }'
