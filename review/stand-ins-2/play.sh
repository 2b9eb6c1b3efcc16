#!/bin/sh
# play.sh N: plays case N with the `run` of deploy/balancer.toml, in a temporary folder.
# 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=target/review-2/case-$1
if [ -z "$run" ] || [ ! -x "$program" ] || [ ! -x target/release/stonevane-node ]; then
    echo "build the deploy file's programs and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} "$program" "$run" "$folder" "review/$1/record.txt"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$folder"/*.log "$KEEP_LOGS"/
fi
rm -rf "$folder"
case $result in 0|1) exit $result ;; *) exit 2 ;; esac
