#!/usr/bin/env bash
# Runs all tests. Tests that KNOWN-RED.txt lists may fail, and are printed; any other
# failure fails the run, and so does a listed test that passes, since its entry is then
# out of date. Arguments go to "go test".
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -count=1 "$@" ./... 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
known=$(grep -oE '^test: .*' KNOWN-RED.txt 2>/dev/null | sed 's/^test: //' || true)
if [ -z "$known" ]; then exit "$status"; fi
echo "== known to be red (KNOWN-RED.txt):"
echo "$known"
failed=$(grep -oE '^ *--- FAIL: [^ ]+' "$out" | awk '{print $3}' | sort -u)
broken=$(grep -E '^(panic:|FAIL.*\[build failed\]|FAIL.*\[setup failed\]|WARNING: DATA RACE)' "$out" || true)
if [ -n "$broken" ]; then echo "$broken"; exit 1; fi
if [ "$status" -ne 0 ] && [ -z "$failed" ]; then exit "$status"; fi
worse=0
for name in $failed; do
  if ! grep -qxF "$name" <<<"$known"; then echo "not listed as red: $name"; worse=1; fi
done
for name in $known; do
  if ! grep -qxF "$name" <<<"$failed"; then echo "listed as red, but passes: $name"; worse=1; fi
done
exit "$worse"
