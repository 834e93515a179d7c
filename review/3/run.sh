#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/craneglade ] && [ -x review/bin/case3 ] || { echo "run the build of deploy/balancer.toml and review/build.sh first"; exit 2; }
exec review/bin/case3 review/3
