#!/bin/sh
# Plays the case leaving-backend; see claim.txt. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/balancer ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review-2/standin-2 leaving-backend review/6
