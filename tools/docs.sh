#!/usr/bin/env bash
# Checks that the Go identifiers, tests and files named in the documentation exist.
set -euo pipefail
cd "$(dirname "$0")/.."
code=$(git ls-files '*.go')
words=$(cat $code | grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
missing=0
report_missing() { echo "$1 names $2, which does not exist"; missing=1; }
for page in README.md DEVELOPERS.md $(git ls-files 'docs/*.md' | grep -vE 'docs/(MEASURED|measured\.)'); do
  # `package.Name`, `camelCase` and test names; the part after the last dot must be in the code.
  for name in $(grep -oE '`[a-z]+\.[A-Z][A-Za-z]+`|`[a-z]+[A-Z][A-Za-z]*`|\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z]+' "$page" | tr -d '`' | sort -u); do
    grep -q "^${name##*.}" <<<"$words" || report_missing "$page" "$name" # A prefix of a test name is enough.
  done
  for file in $(grep -oE '`(internal|platform|cmd|tools|deploy|testdata)/[a-z./_-]+`' "$page" | tr -d '`' | sort -u); do
    [ -e "${file%/}" ] || report_missing "$page" "$file"
  done
done
exit "$missing"
