# Runs the case of the calling script's folder: `run_case FOLDER PROGRAM`. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
run_case() {
  local folder root status=0
  folder=$(cd "$1" && pwd)
  root=$(cd "$folder/../.." && pwd)
  TMPDIR=$(mktemp -d)
  export TMPDIR
  trap 'rm -rf "$TMPDIR"' EXIT
  timeout -s KILL 115 "$root/target/review/$2" "$root" "$folder/record.txt" || status=$?
  case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
  esac
}
