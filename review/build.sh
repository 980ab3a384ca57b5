#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy file, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Isrc review/lab/lab.cc target/libcherryloft_lib.a -lspdlog -lfmt -lev -o target/review/lab
