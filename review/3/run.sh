#!/bin/sh
# WHOLE: an agent freezes while it checks the staged pieces, and some turn bad meanwhile.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/pumicelatch-platform-entry ] || {
    echo "build first: the build line of deploy/system.toml, and review/build.sh" >&2
    exit 2
}
exec timeout 110 target/review/stand whole review/3
