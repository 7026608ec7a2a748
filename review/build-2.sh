#!/bin/sh
# Builds what the cases 6 to 10 start, into build-review-2/: their stand-ins (review/rig-2 for 6, 8 and 9, review/rig-3 for
# 7 and 10) and their programs. The sidecar itself is built by the deploy file. Needs the compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c review/rig-2/stand_ins.cpp -o build-review-2/stand_ins.o
for source in review/6/*.cpp review/8/*.cpp review/9/*.cpp; do
  g++ $flags "$source" build-review-2/stand_ins.o -o "build-review-2/$(basename "$source" .cpp)"
done
g++ $flags -c review/rig-3/rig.cpp -o build-review-2/rig.o
for number in 7 10; do
  g++ $flags review/$number/*.cpp build-review-2/rig.o -o "build-review-2/case-$number"
done
