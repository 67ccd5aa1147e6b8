#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
if [ ! -x target/review-3/replaced_and_wiped ] || [ ! -x target/release/currantgate-platform ]; then
    echo "build the deploy file's program and review/build-3.sh first" >&2
    exit 2
fi
exec target/review-3/replaced_and_wiped review/12
