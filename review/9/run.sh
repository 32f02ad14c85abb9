#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/fawnvale.jar ] && [ -d target/review-2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
EDGE_COMMAND=$(sed -n '/^\[roles.edge\]/,$ s/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export EDGE_COMMAND TROUBLE="${TROUBLE:-1}" DAEMON_LOG="$work/daemon.log"
timeout 110 java -XX:TieredStopAtLevel=1 -cp target/review-2 SpoiledHead "$here"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
