#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 0, 1 (rule broken) or 2.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -f target/cardamomthread.jar ] && [ -f target/review-2/PromiseAfterRun.class ] || exit 2
java -Xmx256m -cp target/review-2 PromiseAfterRun "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
