#!/usr/bin/env bash
# Plays case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/havencart ] && [ -x bin/stand2 ] || exit 2
exec bin/stand2 stale review/10/record.txt
