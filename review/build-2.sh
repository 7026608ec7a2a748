#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program a case, in review/build-2/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
for source in [0-9]*/play.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-2/play-$number" "$source"
done
