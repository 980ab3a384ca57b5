#!/usr/bin/env bash
# The trace digest of a scenario is the same in every play and differs between seeds.
set -euo pipefail
run_scenario=$1
scenarios=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
plays=("$scenarios"/quiet_day.txt "$scenarios"/machine_dies.txt "$scenarios"/takeover_and_hand_back.txt
  "$scenarios"/team_limit.txt)
"$run_scenario" --trace-digest "${plays[@]}" >"$scratch/first"
# Another order, and the events written as well: neither changes a digest.
"$run_scenario" --trace-digest --trace "$scratch/events" "${plays[3]}" "${plays[2]}" "${plays[1]}" \
  "${plays[0]}" >"$scratch/second"
diff <(sort "$scratch/first") <(sort "$scratch/second")
# Each event is a line; the counts in the digest lines add up to them.
counted=$(sed 's/.* events=\([0-9]*\) .*/\1/' "$scratch/first" | awk '{ sum += $1 } END { print sum }')
[ "$counted" -gt 1000 ] && [ "$counted" -eq "$(wc -l <"$scratch/events")" ]
# A scenario that differs in one moment has another digest.
sed 's/^seeds.*/seeds 1/' "$scenarios/machine_dies.txt" >"$scratch/one.txt"
sed 's/^\(at \)/\11/;s/^seeds.*/seeds 1/' "$scenarios/machine_dies.txt" >"$scratch/two.txt"
one=$("$run_scenario" --trace-digest "$scratch/one.txt" | sed -n 's/.*digest=//p')
two=$("$run_scenario" --trace-digest "$scratch/two.txt" | sed -n 's/.*digest=//p' || true)
[ -n "$one" ] && [ -n "$two" ] && [ "$one" != "$two" ]
