#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8, after the build of the deploy file and with its packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libcherryloft_lib.a ] || { echo "run the build of deploy/service.toml first"; exit 1; }
mkdir -p target/review-2
pids=()
for source in review/[4-8]/play.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc "$source" target/libcherryloft_lib.a -lspdlog -lfmt -lev \
    -o "target/review-2/$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
