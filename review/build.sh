#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs only a C++20 compiler; the daemons
# come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compiler=${CXX:-c++}
"$compiler" -std=c++20 -O1 -g -Wall -Wextra -c review/standins/world.cpp -o target/review/world.o
for scenario in review/[1-5]/scenario.cpp; do
    number=$(basename "$(dirname "$scenario")")
    "$compiler" -std=c++20 -O1 -g -Wall -Wextra -I review/standins "$scenario" target/review/world.o \
        -o "target/review/case-$number"
done
