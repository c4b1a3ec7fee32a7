#!/bin/sh
# Builds the stand-ins of the cases in review/: one program that uses the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A dead_code --crate-name stand -o target/review/stand review/stand/main.rs
