#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build of the deploy file, review/build-2.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review-2/DrillTokenCase.class ] && [ -f target/run/plantainferry-platform.jar ] || exit 2
exec java -Xmx256m -cp target/review-2 DrillTokenCase "$here"
