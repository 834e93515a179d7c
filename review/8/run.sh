#!/bin/bash
# Case 8, see claim.txt. Run it after the build of the deploy file and review/build-2.sh.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
if [ ! -x "$root/bin/craneglade" ] || [ ! -x "$root/review/bin/8" ]; then
	echo "build first: the line build of deploy/balancer.toml, and review/build-2.sh" >&2
	exit 2
fi
pids=$(mktemp) || exit 2
"$root/review/bin/8" -root "$root" -record "$PWD/record.txt" -pids "$pids" &
case=$!
trap 'kill "$case"' INT TERM
wait "$case"
code=$?
while read -r pid; do # left only if the program above was killed
	kill -KILL "$pid" 2>/dev/null
done <"$pids"
rm -f "$pids"
exit "$code"
