#!/usr/bin/env bash
# Every event text that docs/OPERATING.md tells operators to act on exists in the sources, and the table is not empty.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
checked=0
while IFS= read -r event; do
  checked=$((checked + 1))
  if ! grep -rqF --include='*.cpp' --include='*.h' -- "$event" src apps; then
    echo "docs/OPERATING.md names an event that no source logs: $event"
    failed=1
  fi
done < <(sed -n '/^### Events worth acting on/,/^### /p' docs/OPERATING.md | grep '^| `' |
  sed 's/ | \(error\|info\|debug\) |.*//' | grep -o '`[^`]*`' | tr -d '`')
[ "$checked" -ge 20 ] || { echo "only $checked events found in docs/OPERATING.md"; failed=1; }
exit "$failed"
