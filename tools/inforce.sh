#!/usr/bin/env bash
# Measures the time from publishing a table until it is in force on every node, for several
# fleet sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${INFORCE_PORT:-18700}
. tools/lib.sh
trap finish EXIT
echo "measure-secret-of-16-bytes" >"$out/secret"
echo "| nodes | publishes | in force everywhere after, least | median | most |"
echo "|---|---|---|---|---|"
for count in 2 4 8 16; do
  start bin/standin log --listen "$(at 0)"
  start bin/standin cloud --listen "$(at 1)"
  sleep 0.5
  for num in $(seq "$count"); do
    cat >"$out/node-$num.json" <<JSON
{"vm": {"id": "node-$num", "incarnation": 1, "zone": "zone-1"},
 "listen": {"callers": "$(at $((10 + num)))", "peers": "$(at $((40 + num)))"},
 "platform": {"log": "http://$(at 0)", "cloud": "http://$(at 1)"},
 "seeds": ["$(at 41)"], "timing": {"grace": "0s"}, "secret": {"file": "$out/secret"}}
JSON
    start bin/lycheepickd --config "$out/node-$num.json"
  done
  flags=(--log "http://$(at 0)" --node "$(at 41)" --secret-file "$out/secret")
  for _ in $(seq 100); do
    [ "$(bin/lycheepick node status "${flags[@]:2}" 2>/dev/null | grep -c 'reachable=true')" = "$count" ] && break
    sleep 0.2
  done
  for _ in $(seq 9); do
    bin/lycheepick table publish testdata/demo/table.json "${flags[@]}" | grep -o 'after=[0-9a-z.µ]*' | sed 's/after=//; s/ms$//; s/^0s$/0/' | sort -n | tail -1
  done | sort -n >"$out/times"
  echo "| $count | 9 | $(head -1 "$out/times") ms | $(sed -n 5p "$out/times") ms | $(tail -1 "$out/times") ms |"
  stop_all
done
