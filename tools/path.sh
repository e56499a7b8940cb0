#!/usr/bin/env bash
# Measures the latency, memory and CPU time that one node adds to requests, with a fake
# engine that answers at once.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${MEASURE_PORT:-18600}
. tools/lib.sh
trap finish EXIT
start bin/standin log --listen "$(at 0)"
start bin/standin cloud --listen "$(at 1)"
start bin/standin engine --listen "$(at 2)" --step 1us --prefill 1e9 --slots 256
sleep 1
echo "measure-secret-of-16-bytes" >"$out/secret"
cat >"$out/node.json" <<JSON
{"vm": {"id": "node-1", "incarnation": 1, "zone": "zone-1"},
 "listen": {"callers": "$(at 3)", "peers": "$(at 4)"},
 "platform": {"log": "http://$(at 0)", "cloud": "http://$(at 1)"},
 "secret": {"file": "$out/secret"}}
JSON
curl -sSf -o /dev/null -X POST -H 'Content-Type: application/json' "http://$(at 1)/admin/vms" -d "[
 {\"vm\":\"engine-1\",\"incarnation\":1,\"zone\":\"zone-1\",\"role\":\"engine\",\"address\":\"$(at 2)\",\"target\":\"small\",\"class\":\"gpu\",\"state\":\"live\"}]"
sed 's/"seats": 8/"seats": 1/; s/"requests_per_second": 800/"requests_per_second": 100000/; s/"tokens_per_second": 800000/"tokens_per_second": 100000000/' testdata/demo/table.json >"$out/table.json"
start bin/lycheepickd --config "$out/node.json"
node_pid=${pids[-1]}
bin/lycheepick table publish "$out/table.json" --log "http://$(at 0)" >/dev/null
for _ in $(seq 100); do curl -sf "http://$(at 3)/metrics" | grep -q '^lycheepick_servers_usable 1' && curl -sf "http://$(at 3)/readyz" >/dev/null && break; sleep 0.1; done
echo "memory of the idle node: $(awk '/VmRSS/ {print $2}' "/proc/$node_pid/status") KB resident"
cpu_ticks() { awk '{print $14 + $15}' "/proc/$node_pid/stat"; }
ticks_before=$(cpu_ticks); sleep 5; ticks_after=$(cpu_ticks)
echo "CPU time of the idle node: $(((ticks_after - ticks_before) * 2)) ms in 10 s (from 5 s)"
echo
bin/measure path --node "$(at 3)" --engine "$(at 2)" --key demo-key --for 3s ${PATH_ARGS:-}
echo
echo "memory of the node after the load: $(awk '/VmRSS/ {print $2}' "/proc/$node_pid/status") KB resident"
