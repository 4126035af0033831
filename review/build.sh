#!/usr/bin/env bash
# Builds the programs of the review cases into review/bin. The cases also need the release build that
# the deploy file names (target/bin/balsamdrift).
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  number=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case-$number" "$source"
done
