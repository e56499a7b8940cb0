#!/usr/bin/env bash
# Fails if a page names a Go identifier, test or file that is not in the code.
set -euo pipefail
cd "$(dirname "$0")/.."
code=$(git ls-files '*.go')
words=$(cat $code | grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
missing=0
complain() { echo "$1 names $2, which is not in the code"; missing=1; }
for page in README.md DEVELOPERS.md $(git ls-files 'docs/*.md' | grep -vE 'docs/(MEASURED|measured\.)'); do
  # `package.Name`, `camelCase` and names of tests; the last word has to be in the code.
  for name in $(grep -oE '`[a-z]+\.[A-Z][A-Za-z]+`|`[a-z]+[A-Z][A-Za-z]*`|\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z]+' "$page" | tr -d '`' | sort -u); do
    grep -q "^${name##*.}" <<<"$words" || complain "$page" "$name" # Tests may be named by the start of their names.
  done
  for file in $(grep -oE '`(internal|platform|cmd|tools|deploy|testdata)/[a-z./_-]+`' "$page" | tr -d '`' | sort -u); do
    [ -e "${file%/}" ] || complain "$page" "$file"
  done
done
exit "$missing"
