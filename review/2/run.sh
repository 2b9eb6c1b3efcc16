#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x target/review/review || { echo "could not run: review/build.sh has not been run"; exit 2; }
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec target/review/review crash "$here/record.txt"
