#!/usr/bin/env bash
# Builds the stand-ins and the program of each case, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/tools/standins.cpp -o build/review/standins.o
for source in review/[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" build/review/standins.o -o "build/review/case-$name"
done
