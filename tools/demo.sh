#!/usr/bin/env bash
# Starts a small fleet on loopback, sends requests through it, reclaims a zone while streams
# are in progress, checks every answer and stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
out=$(mktemp -d)
base=${DEMO_PORT:-18400}
pids=()
finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then echo "the demo failed; the logs are in $out"; else rm -rf "$out"; fi
  exit "$status"
}
trap finish EXIT
start() { # NAME COMMAND...
  local name=$1; shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pids+=($!)
}
at() { echo "127.0.0.1:$((base + $1))"; }
post() { curl -sSf -X POST -H 'Content-Type: application/json' -d "$2" "http://$1" >/dev/null; }
retry_until_ok() { # SECONDS COMMAND...
  local tries_left=$(($1 * 10)); shift
  until "$@" >/dev/null 2>&1; do
    tries_left=$((tries_left - 1)); [ "$tries_left" -gt 0 ] || { echo "timed out waiting for: $*"; return 1; }
    sleep 0.1
  done
}

echo "== platform"
start log bin/standin log --listen "$(at 0)"
start cloud bin/standin cloud --listen "$(at 1)" --lag 1s
retry_until_ok 10 curl -sf "http://$(at 0)/streams/table/records?from=0"
retry_until_ok 10 curl -sf "http://$(at 1)/vms"

echo "== 6 engines and 2 plain services in 3 zones"
vms=()
for num in 1 2 3 4 5 6; do
  zone="zone-$(((num - 1) % 3 + 1))"
  start "engine-$num" bin/standin engine --listen "$(at $((10 + num)))" --step 10ms
  vms+=("{\"vm\":\"engine-$num\",\"incarnation\":1,\"zone\":\"$zone\",\"role\":\"engine\",\"address\":\"$(at $((10 + num)))\",\"target\":\"small\",\"class\":\"gpu\",\"state\":\"live\"}")
done
for num in 1 2; do
  start "plain-$num" bin/standin plain --listen "$(at $((20 + num)))" --name notify
  vms+=("{\"vm\":\"plain-$num\",\"incarnation\":1,\"zone\":\"zone-$num\",\"role\":\"plain\",\"address\":\"$(at $((20 + num)))\",\"target\":\"notify\",\"class\":\"cpu\",\"state\":\"live\"}")
done

echo "== 3 nodes and the load balancer"
echo "demo-secret-of-16-bytes-or-more" >"$out/secret"
for num in 1 2 3; do
  vms+=("{\"vm\":\"node-$num\",\"incarnation\":1,\"zone\":\"zone-$num\",\"role\":\"node\",\"address\":\"$(at $((40 + num)))\",\"class\":\"cpu\",\"state\":\"live\"}")
  cat >"$out/node-$num.json" <<JSON
{"vm": {"id": "node-$num", "incarnation": 1, "zone": "zone-$num"},
 "listen": {"callers": "$(at $((30 + num)))", "peers": "$(at $((40 + num)))"},
 "platform": {"log": "http://$(at 0)", "cloud": "http://$(at 1)"},
 "seeds": ["$(at 41)", "$(at 42)"],
 "secret": {"file": "$out/secret"}}
JSON
  bin/lycheepickd --config "$out/node-$num.json" --check >/dev/null
done
post "$(at 1)/admin/vms" "[$(IFS=,; echo "${vms[*]}")]"
post "$(at 1)/admin/prices" '[{"zone":"zone-1","class":"gpu","per_hour":1.9},{"zone":"zone-2","class":"gpu","per_hour":2.1},{"zone":"zone-3","class":"gpu","per_hour":2.4}]'
for num in 1 2 3; do start "node-$num" bin/lycheepickd --config "$out/node-$num.json"; done
start balancer bin/standin balancer --listen "$(at 2)" "$(at 31)" "$(at 32)" "$(at 33)"

echo "== the operator publishes the table"
export LYCHEEPICK_LOG="http://$(at 0)" LYCHEEPICK_NODE="$(at 41)" LYCHEEPICK_SECRET_FILE="$out/secret"
bin/lycheepick table check testdata/demo/table.json
retry_until_ok 10 bin/lycheepick node status
bin/lycheepick table publish testdata/demo/table.json --replaces 0 --author demo --comment "first table"
retry_until_ok 10 curl -sf "http://$(at 2)/readyz"
for num in 1 2 3; do
  retry_until_ok 15 bash -c "curl -sf http://$(at $((30 + num)))/metrics | grep -q '^lycheepick_servers_usable 8'"
done

echo "== load through the load balancer; zone-1 is reclaimed with 2 s of notice while streams are in progress"
bin/standin load --to "$(at 2)" --key demo-key --rate 20 --for 10s --tokens 300 --streamed 0.6 --plain 0.2 >"$out/load.txt" 2>&1 &
load_pid=$!
sleep 3
post "$(at 1)/admin/reclaim" '{"zone":"zone-1","in":"2s","exit":true}'
if wait "$load_pid"; then load_status=0; else load_status=$?; fi
cat "$out/load.txt"

echo "== metrics of the nodes"
for num in 1 2 3; do
  echo "node-$num: $(curl -s "http://$(at $((30 + num)))/metrics" | grep -E '^lycheepick_(requests_done|requests_unknown|kv_moves|resumes|retries|recomputed_tokens) ' | sed 's/^lycheepick_//' | tr '\n' ' ')"
done
echo "== the audit trail"
sleep 1.2
bin/lycheepick audit | grep -v request_saved | tail -n 12
echo "request_saved entries: $(bin/lycheepick audit | grep -c request_saved || true)"
if [ "$load_status" -ne 0 ]; then echo "== FAILED: wrong answers or unknown outcomes"; exit 1; fi
echo "== no answer was wrong or incomplete, and no outcome was unknown"
