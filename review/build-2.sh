#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into build-review-2/, after the build of the deploy file. No network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2
