#!/bin/sh
# Case 10. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/cases ] || { echo "review/build-2.sh has to run first"; exit 2; }
exec target/review-2/cases 10 "$folder"
