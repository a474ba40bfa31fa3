#!/bin/bash
# Runs case 3: status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. What was sent, answered and run is in record.txt beside this file.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x bin/robinmast ] || [ ! -x review/bin/3 ]; then
	echo "build first: the build command of the deploy file, then review/build.sh"
	exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
timeout -k 3 112 review/bin/3 -trouble=$trouble -dir "$dir" -record review/3/record.txt
status=$?
if [ $status -gt 2 ]; then
	status=2
fi
exit $status
