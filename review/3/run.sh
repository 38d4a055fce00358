#!/bin/sh
# Plays case 3 and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
if [ ! -x "$root/bin/wayloft" ]; then
	echo "could not run: bin/wayloft is missing; build it by the line build of deploy/balancer.toml" >&2
	exit 2
fi
sh "$root/review/build.sh" || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
exec "$root/bin/review-standins" -case 3 -root "$root" -record "$here/record.txt" -trouble="$trouble"
