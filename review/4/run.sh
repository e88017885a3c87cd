#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2/lab2 ] && [ -x target/liftgauge ] || { echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
exec target/review-2/lab2 -case starved -binary target/liftgauge -record "$here/record.txt"
