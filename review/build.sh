#!/bin/sh
# Builds the stand-ins of all cases: one program, the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc -O --edition 2024 -o target/review/review review/src/main.rs
