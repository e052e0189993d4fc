#!/usr/bin/env bash
# Builds the program as the deploy file says, then the stand-ins and the cases of review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build"
cmake -S review/rig-2 -B build/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build/review-2
