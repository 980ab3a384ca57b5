#!/usr/bin/env bash
# Checks that the working tree behaves like a commit: builds both, runs every scenario with every seed in both
# and lists the runs whose trace digests differ (run_scenario --trace-digest). Exit code 0: all are equal.
#   tests/trace_digests.sh COMMIT [BUILD_DIRECTORY]
# BUILD_DIRECTORY caches the builds and the digests of commits for later calls (default: target/trace).
# JOBS sets how many compilations and scenarios run in parallel (default: the number of cores).
set -euo pipefail
[ $# -ge 1 ] || { sed -n '2,6s/^# \?//p' "$0"; exit 2; }
root=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
commit=$(git -C "$root" rev-parse --verify "$1^{commit}")
directory=${2:-$root/target/trace}
jobs=${JOBS:-$(nproc)}
mkdir -p "$directory"

# digests SOURCES BUILD: prints one sorted line for each run.
digests() {
  cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release >"$2.log" 2>&1
  cmake --build "$2" -j"$jobs" --target run_scenario >>"$2.log" 2>&1 || { tail -20 "$2.log" >&2; return 1; }
  # A scenario whose expectations fail still prints its digests.
  find "$1/tests/scenarios" -name '*.txt' -print0 |
    xargs -0 -P"$jobs" -n1 sh -c '"$0" --trace-digest "$1" || [ $? -eq 1 ]' "$2/tests/run_scenario" |
    grep ' digest=' | sort
}

before=$directory/$commit.digests
if [ ! -s "$before" ]; then
  sources=$directory/sources-$commit
  [ -d "$sources" ] || git -C "$root" worktree add -q --detach "$sources" "$commit"
  digests "$sources" "$directory/build-$commit" >"$before.new"
  mv "$before.new" "$before"
  git -C "$root" worktree remove --force "$sources"
fi
digests "$root" "$directory/build-now" >"$directory/now.digests"
if difference=$(diff "$before" "$directory/now.digests"); then
  echo "$(wc -l <"$before") runs, all digests equal"
else
  printf '%s\n' "$difference"
  echo "of $(wc -l <"$before") runs, $(printf '%s\n' "$difference" | grep -c '^>') differ"
  exit 1
fi
