#!/bin/sh
# Plays the case. 1: the rule was broken; 0: it held; 2: it could not run. TROUBLE=0 leaves the disruption out.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec sh "$(dirname "$0")/../stand-ins-2/play.sh" 10
