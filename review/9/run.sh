#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 runs it without the disruption.
set -u
cd "$(dirname "$0")" || exit 2
top=$(cd ../.. && pwd)
export REVIEW_GATEWAY="$top/target/apps/cornelstall/cornelstall" REVIEW_STANDINS="$top/build/review-2/standins"
program="$top/build/review-2/cases/case-$(basename "$PWD")"
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout -k 1 118 "$program"
