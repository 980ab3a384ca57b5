#!/usr/bin/env bash
# run_case.sh NAME FOLDER: plays the case in real time and writes FOLDER/record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
name=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/review/lab ] && [ -x "${run%% *}" ] || { echo "build first"; exit 2; }
work=$(mktemp -d) || exit 2
timeout -k 1 119 target/review/lab "$name" "$work" "$folder/record.txt" "$run"
status=$?
rm -rf "$work"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
