#!/usr/bin/env bash
# Mutation check: applies the replacements in testdata/red/list.txt one at a time to a copy
# of the tree and checks that the tests named there fail. An argument, a regular expression,
# selects lines of the list.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
export RAPID_CHECKS=${RAPID_CHECKS:-3000} # Some failures need more random checks than CI runs.
export PROOF_WAIT=${PROOF_WAIT:-12s} # Shorter than in CI, as the awaited events never occur.
not_red=0
total=0
while IFS= read -r line; do
  [[ $line =~ ^# || -z $line ]] && continue
  [[ $line =~ ${1:-.} ]] || continue
  mapfile -t field < <(awk -F ' *;; *' '{for (i = 1; i <= NF; i++) print $i}' <<<"$line")
  name=${field[0]}; file=${field[1]}; original=${field[2]}; replacement=${field[3]}; tests=${field[4]}; packages=${field[5]}
  text=$(cat "$file"; echo x); text=${text%x} # The x keeps trailing newlines.
  changed=${text/"$original"/"$replacement"}
  total=$((total + 1))
  if [ "$changed" = "$text" ]; then echo "STALE  $name: the text is not in $file"; not_red=$((not_red + 1)); continue; fi
  printf '%s' "$changed" >"$copy/$file"
  # shellcheck disable=SC2086
  out=$(cd "$copy" && timeout 300 go test -count=1 -run "$tests" $packages 2>&1)
  status=$?
  cp "$file" "$copy/$file"
  if grep -q 'no tests to run' <<<"$out"; then
    echo "BROKEN $name: no test matches $tests"; not_red=$((not_red + 1))
  elif [ "$status" -eq 0 ]; then
    echo "GREEN  $name: $tests passes without it"; not_red=$((not_red + 1))
  elif grep -qE 'build failed|setup failed' <<<"$out"; then
    echo "BROKEN $name: $(grep -m1 -E '\.go:[0-9]+:' <<<"$out")"; not_red=$((not_red + 1))
  else
    failure=$({ grep -m1 'FAIL: testdata' || grep -m1 -E '_test\.go:[0-9]+: ' <<<"$out"; } <<<"$out" | sed 's/^ *//' | cut -c1-150)
    echo "red    $name: $tests: $failure"
  fi
done <testdata/red/list.txt
echo "$((total - not_red)) of $total red without their mechanism"
exit "$not_red"
