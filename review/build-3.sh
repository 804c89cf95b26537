#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in http_service fleet engine drill late_order; do
    g++ -std=c++20 -O1 -Wall -Wextra -c -o "build/review-3/$source.o" "review/tools-3/$source.cpp" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
cd build/review-3
g++ -o drill drill.o fleet.o http_service.o -pthread
g++ -o late_order late_order.o engine.o fleet.o http_service.o -pthread
