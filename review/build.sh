#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into review/build. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
options=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Istand)
g++ "${options[@]}" -c stand/stand.cpp -o build/stand.o
for it in */case.cpp; do
    n=${it%%/*}
    g++ "${options[@]}" "$it" build/stand.o -o "build/case-$n"
done
