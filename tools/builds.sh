#!/usr/bin/env bash
# Tests that two builds work together, in both orders, with this tree's fakes: settings
# checks, then the scripts with real processes and the tests of the platform, in which the
# nodes alternate between the two builds and a restarted node switches to the other one.
#   bash tools/builds.sh OLD NEW    output folders of "go build -o FOLDER ./cmd/..."
set -uo pipefail
cd "$(dirname "$0")/.."
[ $# -eq 2 ] || { sed -n '2,5s/^# //p' "$0"; exit 2; }
old=$(realpath "$1"); new=$(realpath "$2")
failed=0
report() { # STATUS TEXT
  if [ "$1" -eq 0 ]; then echo "ok      $2"; else echo "FAILED  $2"; failed=1; fi
}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# Settings files in both formats, the operator's and the platform's.
echo "builds-secret-of-16-bytes" >"$out/secret"
cat >"$out/node.json" <<JSON
{"vm": {"id": "node-1", "incarnation": 1, "zone": "zone-1"},
 "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
 "platform": {"log": "http://127.0.0.1:3", "cloud": "http://127.0.0.1:4"},
 "seeds": ["127.0.0.1:2"], "timing": {"grace": "2s"}, "secret": {"file": "$out/secret"}}
JSON
sed -E 's/\{\{ip\}\}/127.0.0.1/g
  s/\{\{(seeds|cloud\.duties)\|json\}\}/["127.0.0.1:2"]/g
  s/\{\{(node|zone)\|json\}\}/"name-1"/g
  s/\{\{(listen\.[a-z]+|[a-z]+\.address)\|json\}\}/"127.0.0.1:2"/g
  s/\{\{[a-z_.]+\|json\}\}/1/g' deploy/settings.json >"$out/entry.json"
# Environment variable with the path of the platform's settings file.
settings_variable=$(sed -nE 's/^.*SettingsVariable *= "([A-Z_]+)".*/\1/p' platform/*.go)
for build in "$old" "$new"; do
  "$build/lycheepickd" --config "$out/node.json" --check >/dev/null
  report $? "$build accepts a settings file"
  env "$settings_variable=$out/entry.json" "$build/lycheepickd" --platform --check >/dev/null
  report $? "$build accepts deploy/settings.json"
  "$build/lycheepick" table check testdata/demo/table.json >/dev/null
  report $? "$build accepts a table"
done

for builds in "$old:$new" "$new:$old"; do
  NODE_BUILDS=$builds go test -count=1 -v -run TestReal ./internal/proof >"$out/proof.txt" 2>&1
  report $? "scripts with real processes, $builds: $(grep -c -- '--- PASS: TestReal/' "$out/proof.txt") passed"
  grep -E -- '--- FAIL' "$out/proof.txt"
  NODE_BUILDS=$builds go test -count=1 -v ./platform >"$out/platform.txt" 2>&1
  report $? "tests of the platform, $builds: $(grep -c -- '^--- PASS: Test' "$out/platform.txt") passed"
  grep -E -- '--- FAIL' "$out/platform.txt"
done
exit "$failed"
