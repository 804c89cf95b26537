#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
g++ -std=c++20 -O2 -Wall -Wextra -o build/review-3/drill review/tools-3/*.cpp -pthread
