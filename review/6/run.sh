#!/bin/sh
# Runs the case after the builds of the deploy file and of review/build-2.sh.
# Exit codes: 0, the rule held; 1, it was broken; 2, the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
# Some thousands of connections, with both ends in one process.
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -Hn)"
program=target/review-2/release/review-cases
[ -x "$program" ] || exit 2
exec "$program" early-discard review/6
