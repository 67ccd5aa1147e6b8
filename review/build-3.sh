#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/11 on. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.rs; do
    name="$(basename "$source" .rs)"
    if [ "$name" != common ]; then
        rustc --edition 2021 -O -o "target/review-3/$name" "$source"
    fi
done
