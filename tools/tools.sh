#!/usr/bin/env bash
# Installs the formatter and the linter into .tools/bin of the checkout, unless present.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOBIN="$PWD/.tools/bin"
mkdir -p "$GOBIN"
[ -x "$GOBIN/gofumpt" ] || go install mvdan.cc/gofumpt@v0.12.0
[ -x "$GOBIN/golangci-lint" ] || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
