#!/usr/bin/env bash
# Removes mechanisms one by one in a copy of the tree and shows that the test which proves
# each turns red. testdata/red/list.txt names them. Arguments pick lines by a pattern.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
export RAPID_CHECKS=${RAPID_CHECKS:-3000} # Some failures need more schedules than CI runs.
export PROOF_WAIT=${PROOF_WAIT:-12s} # The events that the tests wait for do not come.
missed=0
total=0
while IFS= read -r line; do
  [[ $line =~ ^# || -z $line ]] && continue
  [[ $line =~ ${1:-.} ]] || continue
  mapfile -t field < <(awk -F ' *;; *' '{for (i = 1; i <= NF; i++) print $i}' <<<"$line")
  name=${field[0]}; file=${field[1]}; from=${field[2]}; to=${field[3]}; tests=${field[4]}; packages=${field[5]}
  text=$(cat "$file"; echo x); text=${text%x}
  changed=${text/"$from"/"$to"}
  total=$((total + 1))
  if [ "$changed" = "$text" ]; then echo "STALE  $name: the text is not in $file"; missed=$((missed + 1)); continue; fi
  printf '%s' "$changed" >"$copy/$file"
  # shellcheck disable=SC2086
  out=$(cd "$copy" && timeout 300 go test -count=1 -run "$tests" $packages 2>&1)
  status=$?
  cp "$file" "$copy/$file"
  if grep -q 'no tests to run' <<<"$out"; then
    echo "BROKEN $name: no test is called $tests"; missed=$((missed + 1))
  elif [ "$status" -eq 0 ]; then
    echo "GREEN  $name: $tests passes without it"; missed=$((missed + 1))
  elif grep -qE 'build failed|setup failed' <<<"$out"; then
    echo "BROKEN $name: $(grep -m1 -E '\.go:[0-9]+:' <<<"$out")"; missed=$((missed + 1))
  else
    why=$(grep -m1 -E '_test\.go:[0-9]+: |FAIL: testdata' <<<"$out" | sed 's/^ *//' | cut -c1-150)
    echo "red    $name: $tests: $why"
  fi
done <testdata/red/list.txt
echo "$((total - missed)) of $total red without their mechanism"
exit "$missed"
