#!/usr/bin/env bash
# Runs the benchmarks and collects their figures under build/bench/.
#   scripts/bench.sh [NAME]            run all benchmarks, or one
#   scripts/bench.sh --check [NAME]    run, then fail if a figure misses its bound
#   scripts/bench.sh compare OLD NEW   compare two result folders
# Environment: BUILD_DIR (build), OUT (BUILD_DIR/bench), SEED (1), RUNS (5).
# benchmarks/bounds.json holds the bounds, each for a figure's name and a regular expression that
# matches its scenario. They override a bound that a program prints itself. A figure without a bound is
# reported but not checked.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly build=${BUILD_DIR:-build}
readonly out=${OUT:-$build/bench}
readonly seed=${SEED:-1}
readonly runs=${RUNS:-5}
readonly bounds=benchmarks/bounds.json
readonly all=(placement admission requests ownership planning process scaling)

for tool in jq curl ss; do
  command -v "$tool" > /dev/null || { echo "bench.sh: $tool is not installed" >&2; exit 2; }
done

# Runs a quality program. A failing exit status is ignored if the program printed figures, because
# --check compares them with the bounds.
run_quality() { # NAME PROGRAM
  "$build/$2" --seed="$seed" --runs="$runs" > "$out/$1.lines" || [ -s "$out/$1.lines" ]
}

# Runs a Google Benchmark program and converts its report to JSON lines in the format of the others.
run_google() { # NAME PROGRAM FILTER
  "$build/$2" --benchmark_filter="$3" --benchmark_min_time=0.05 --benchmark_repetitions=3 \
    --benchmark_enable_random_interleaving=true --benchmark_report_aggregates_only=true \
    --benchmark_format=json > "$out/$1.report" 2> "$out/$1.log"
  jq -c --arg command "$(basename "$2") --benchmark_filter=$3" --argjson seed "$seed" '
    .benchmarks[] | select(.aggregate_name == "median") | . as $entry
    | (.run_name | split("/")) as $parts
    | ($parts[1:] | map(select(test("^[0-9]+$"))) | join("x")) as $size
    | ({($parts[0] + "_cpu"): [.cpu_time, .time_unit]}
       + (if .bytes then {($parts[0] + "_bytes"): [.bytes, "bytes"]} else {} end)
       + (if .vote_bytes then {vote_bytes_per_renewal: [.vote_bytes, "bytes"]} else {} end)
       + (if .grant_bytes then {grant_bytes_per_renewal: [.grant_bytes, "bytes"]} else {} end)
       + (if .per_renewal then {cpu_us_per_renewal: [.per_renewal * 1e6, "us"]} else {} end))
    | to_entries[]
    | {name: .key, scenario: ("size=" + $size), value: .value[0], unit: .value[1], bound: null,
       baseline: null, baseline_value: null, command: $command, seed: $seed,
       runs: $entry.repetitions}' "$out/$1.report" > "$out/$1.lines"
  rm -f "$out/$1.report"
}

run_one() { # NAME
  case $1 in
    placement) run_quality placement libs/placement/placement_quality ;;
    admission) run_quality admission libs/admission/admission_quality ;;
    requests) run_quality requests libs/requests/requests_quality ;;
    ownership) run_google ownership libs/ownership/ownership_benchmark '^renewal/' ;;
    planning)
      run_google planning libs/placement/placement_benchmark \
        '^(encode|decode|lookup|planLeave|planQuiet)/(256|1024|4096|16384)/(20|200)$' ;;
    process | scaling)
      BUILD_DIR=$build SEED=$seed benchmarks/process/run.sh "$1" > "$out/$1.lines" ;;
    *) echo "bench.sh: unknown benchmark '$1'; available: ${all[*]}" >&2; exit 2 ;;
  esac
  # The scaling benchmark measures each size in several interleaved rounds; the median is kept.
  jq -s --slurpfile bounds "$bounds" --arg benchmark "$1" '
    (if $benchmark == "scaling" then
       group_by([.name, .scenario])
       | map(sort_by(.value) as $all | $all[(($all | length) - 1) / 2 | floor]
             | .runs = ($all | length))
     else . end)
    | map(. as $figure
        | ([$bounds[0][] | select(.name == $figure.name
              and (.scenario as $pattern | $figure.scenario | test("^(" + $pattern + ")$")))] | first) as $bound
        | if $bound then .bound = $bound.bound else . end)' \
    "$out/$1.lines" > "$out/$1.json"
  rm -f "$out/$1.lines"
}

summarize() {
  local files=("$out"/*.json)
  {
    printf '%-30s %-38s %14s %-10s %10s  %s\n' name scenario value unit bound 'baseline'
    jq -rs 'add[] | [.name, .scenario, (.value * 1000 | round / 1000 | tostring), .unit,
                     (.bound // "-" | tostring),
                     (if (.baseline // "") != "" then
                        "\(.baseline)=\(.baseline_value // 0 | . * 1000 | round / 1000)"
                      else "-" end)] | @tsv' "${files[@]}" |
      awk -F'\t' '{ printf "%-30s %-38s %14s %-10s %10s  %s\n", $1, $2, $3, $4, $5, $6 }'
  } > "$out/summary.txt"
  cat "$out/summary.txt"
}

# Prints the figures that miss their bound. Fails if there are any, or if nothing was measured.
check() { # FILE...
  jq -rs --slurpfile bounds "$bounds" '
    (add // []) as $figures
    | if ($figures | length) == 0 then "no figures were measured" else
        $figures[] | select(.bound != null) | . as $figure
        | ([$bounds[0][] | select(.name == $figure.name
              and (.scenario as $pattern | $figure.scenario | test("^(" + $pattern + ")$"))) | .direction] | first
           // "max") as $direction
        | select(if $direction == "max" then .value > .bound else .value < .bound end)
        | "BROKEN \(.name) \(.scenario): \(.value) \(.unit), bound \($direction) \(.bound)"
      end' "$@" > "$out/broken.txt"
  cat "$out/broken.txt"
  [ ! -s "$out/broken.txt" ]
}

compare() { # OLD NEW
  local folder
  for folder in "$1" "$2"; do
    compgen -G "$folder/*.json" > /dev/null || { echo "bench.sh: no result files (*.json) in $folder" >&2; exit 2; }
  done
  printf '%-30s %-38s %14s %14s %8s\n' name scenario old new ratio
  jq -rn --slurpfile old <(jq -s add "$1"/*.json) --slurpfile new <(jq -s add "$2"/*.json) '
    def table: map({key: ([.name, .scenario, .baseline // ""] | join("\u0001")), value: .})
               | from_entries;
    ($old[0] | table) as $a | ($new[0] | table) as $b
    | (($a | keys) + ($b | keys) | unique)[] as $key
    | ($a[$key] // $b[$key]) as $any
    | [$any.name, $any.scenario, ($a[$key].value // "-" | tostring),
       ($b[$key].value // "-" | tostring),
       (if $a[$key] and $b[$key] and $a[$key].value != 0
        then ($b[$key].value / $a[$key].value * 1000 | round / 1000 | tostring) else "-" end)]
    | @tsv' | awk -F'\t' '{ printf "%-30s %-38s %14s %14s %8s\n", $1, $2, $3, $4, $5 }'
}

if [ "${1:-}" = compare ]; then
  [ $# -eq 3 ] || { echo "usage: scripts/bench.sh compare OLD NEW" >&2; exit 2; }
  compare "$2" "$3"
  exit 0
fi
checking=false
if [ "${1:-}" = --check ]; then
  checking=true
  shift
fi
names=("${@:-}")
[ -n "${names[0]}" ] || names=("${all[@]}")
mkdir -p "$out"
measured=()
for name in "${names[@]}"; do
  echo "bench.sh: $name" >&2
  run_one "$name"
  measured+=("$out/$name.json")
done
summarize
if $checking; then
  check "${measured[@]}"
fi
