#!/bin/sh
# Builds the stand-ins that the scripts start. Needs only rustc.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    case $name in site | flow) continue ;; esac
    rustc --edition 2024 -O -A dead_code -o "target/review/$name" "$source"
done
