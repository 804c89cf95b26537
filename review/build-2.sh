#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the gateway: the project's stand-ins and the programs
# of the cases. The gateway itself comes from the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review-2 -j4 --target store_standin server_standin
mkdir -p build/review-2/cases
for number in 6 7 8 9 10; do
    source="review/$number/case.cpp"
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/cases/case-$number" "$source"
done
