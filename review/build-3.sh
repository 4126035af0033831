#!/bin/bash
# Builds the programs of the cases 11 to 15 with the stand-ins that they start. Run it after the
# build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$root/review/common-3" -B "$root/target/review-3" -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review-3"
