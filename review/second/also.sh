#!/bin/sh
# Plays what was found and is not among the five cases: also.sh NAME, with the exit codes of a case. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/wayloft ] || [ ! -x bin/review2 ]; then
	echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
RUN=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/balancer.toml)
RECORD=$PWD/review/second/record.txt
export RUN RECORD
timeout -k 5 115 bin/review2 "$1" &
pid=$!
trap 'kill "$pid"' TERM INT
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
