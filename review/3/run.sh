#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/samphirepass ] || [ ! -x target/review-standin ]; then
	echo "build the programs of the deploy file and run review/build.sh first"
	exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
# The stand-in ends its processes at SIGTERM.
timeout -k 10 105 target/review-standin -trouble=$trouble -record review/3/record.txt stop
status=$?
if [ "$status" -gt 2 ]; then
	status=2
fi
exit "$status"
