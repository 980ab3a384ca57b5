#!/usr/bin/env bash
# An invalid command line or settings file gives one clear line on standard error and a non-zero exit code, and
# no socket is opened.
set -u
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
expect_rejected() {
  local err
  if err=$("$program" "$@" 2>&1 >/dev/null </dev/null); then
    echo "accepted: $*"
    failed=1
  elif [ "$(printf '%s\n' "$err" | wc -l)" != 1 ] || [ -z "$err" ]; then
    echo "expected one line on standard error for: $*, got: $err"
    failed=1
  fi
}
echo '{"node": "x"}' >"$dir/half.json"
echo 'nonsense' >"$dir/not.json"
expect_rejected
expect_rejected --config
expect_rejected --nonsense
expect_rejected --config "$dir/missing.json"
expect_rejected --config "$dir/half.json"
expect_rejected --config "$dir/not.json" --check
expect_rejected --config "$dir/half.json" --hold-ttl-ms 3
"$program" --help >/dev/null || failed=1
"$program" --version | grep -q '^cherryloft ' || failed=1
exit $failed
