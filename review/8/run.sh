#!/bin/bash
# Runs case 8 from the root of the repository, after the build of the deploy file and
# review/build-2.sh. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yarrowgap ] && [ -x target/review-2/case8 ] || { echo "build first" >&2; exit 2; }
exec timeout --signal=TERM --kill-after=2 118 target/review-2/case8 review/8/record.txt
