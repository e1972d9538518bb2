#!/bin/sh
# Builds the stand-ins of cases 11 to 13 with the compiler alone, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for program in review/standins-3/case-*.cpp; do
    name=$(basename "$program" .cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "$out/$name" "$program" review/standins-3/rig.cpp
done
