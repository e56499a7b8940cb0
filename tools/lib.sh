# Functions for scripts that start processes. Source this file; set base, the first port,
# before calling at.
out=$(mktemp -d)
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() {
  stop_all
  rm -rf "$out"
}
at() { echo "127.0.0.1:$((base + $1))"; }
start() { "$@" >>"$out/log" 2>&1 & pids+=($!); }
