#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption. review/build.sh builds what it starts.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/jackdawbridge target/standin target/review-standin; do
	[ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
exec target/review-standin late-heartbeat "$here/record.txt"
