#!/usr/bin/env bash
# The trace digest of a scenario is reproducible, and a changed scenario has a different digest.
set -euo pipefail
run_scenario=$1
scenarios=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
selected=("$scenarios"/quiet_day.txt "$scenarios"/machine_dies.txt "$scenarios"/takeover_and_hand_back.txt
  "$scenarios"/team_limit.txt)
"$run_scenario" --trace-digest "${selected[@]}" >"$scratch/first"
# Neither the order of the scenarios nor writing the events changes a digest.
"$run_scenario" --trace-digest --trace "$scratch/events" "${selected[3]}" "${selected[2]}" "${selected[1]}" \
  "${selected[0]}" >"$scratch/second"
diff <(sort "$scratch/first") <(sort "$scratch/second")
# The event counts of the digest lines add up to the number of lines in the event file.
counted=$(sed 's/.* events=\([0-9]*\) .*/\1/' "$scratch/first" | awk '{ sum += $1 } END { print sum }')
[ "$counted" -gt 1000 ] && [ "$counted" -eq "$(wc -l <"$scratch/events")" ]
# A scenario that differs only in the times of its events has a different digest.
sed 's/^seeds.*/seeds 1/' "$scenarios/machine_dies.txt" >"$scratch/original.txt"
sed 's/^\(at \)/\11/;s/^seeds.*/seeds 1/' "$scenarios/machine_dies.txt" >"$scratch/shifted.txt"
original=$("$run_scenario" --trace-digest "$scratch/original.txt" | sed -n 's/.*digest=//p')
shifted=$("$run_scenario" --trace-digest "$scratch/shifted.txt" | sed -n 's/.*digest=//p' || true)
[ -n "$original" ] && [ -n "$shifted" ] && [ "$original" != "$shifted" ]
