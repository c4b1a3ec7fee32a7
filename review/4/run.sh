#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no spoilt manifest.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/world ] || { echo "run review/build-2.sh first" >&2; exit 2; }
PIDS=$(mktemp) || exit 2
export PIDS
target/review-2/world whole review/4 &
world=$!
# Interrupted, it ends the processes that were started, by their ids.
trap 'kill -9 $world $(cat "$PIDS") 2>/dev/null; rm -rf "$PIDS" "${TMPDIR:-/tmp}/pumicelatch-review-2-$world"; exit 2' INT TERM HUP
wait $world
code=$?
rm -f "$PIDS"
exit $code
