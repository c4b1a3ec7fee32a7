#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no spoilt manifest.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/world ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/world whole review/4
