#!/bin/sh
# Builds the stand-ins of cases 6 to 10: one program a case, of the standard library alone. The node itself is built by
# the `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.rs; do
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$source"
done
