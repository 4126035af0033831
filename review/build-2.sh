#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it in the project's root, after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source=review/$number/case.cpp
    if [ -f "$source" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" -o "target/review-2/case$number"
    fi
done
