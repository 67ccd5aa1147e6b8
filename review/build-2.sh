#!/bin/sh
# Builds the stand-ins of the review's cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
