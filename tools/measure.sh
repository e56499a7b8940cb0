#!/usr/bin/env bash
# Runs all measurements and writes the results to docs/MEASURED.md, with the commands, the
# seeds and the commit.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
out=$(mktemp)
section() { # TITLE COMMAND...
  local title=$1; shift
  printf '\n## %s\n\n`%s`\n\n' "$title" "$*" >>"$out"
  echo "measuring: $title" >&2
  "$@" >>"$out"
}
cat >"$out" <<TEXT
# Measured figures

Written by \`make measure\` on $(date -u +%F), commit $(git rev-parse --short HEAD), on one machine of $(nproc) cores with
$(awk '/MemTotal/ {printf "%.0f", $2 / 1048576}' /proc/meminfo) GB, $(go version | awk '{print $3}'). All processes run on that machine, over loopback. The seed is 1 where
none is named. Measurements of decisions alone use a virtual clock.
TEXT
section "What a node adds to a request" bash tools/path.sh
section "A table in force everywhere" bash tools/inforce.sh
section "Idempotency keys" bin/measure keys
section "Routing at the sizes of today" bin/measure route
section "Routing at the design size" bin/measure route --size design --for 10s
section "The decisions of a whole fleet" bin/measure crowd --plots docs/plots
section "The decisions of a large fleet" bin/measure crowd --nodes 64 --servers 89 --for 12s --plots docs/plots
section "Admission under overload" bin/measure admit
section "Limits" bin/measure limits
section "Retries" bin/measure retry
section "Reclaim" bin/measure drain
section "Membership" bin/measure gossip
cat docs/measured.platform.md docs/measured.notes.md >>"$out" 2>/dev/null || true
mv "$out" docs/MEASURED.md
chmod 644 docs/MEASURED.md
