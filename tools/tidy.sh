#!/usr/bin/env bash
# Runs clang-tidy over all sources of a build folder; any finding fails.
set -euo pipefail
build=${1:-build}
# Precompiled headers are GCC's, which clang can't read.
sed -E 's# -Winvalid-pch| -include [^ ]*cmake_pch\.hxx##g' "$build/compile_commands.json" > "$build/tidy.json.tmp"
mkdir -p "$build/tidy"
mv "$build/tidy.json.tmp" "$build/tidy/compile_commands.json"
git ls-files 'src/*.cpp' 'standins/*.cpp' 'tools/*.cpp' 'tests/*.cpp' 'bench/*.cpp' \
    | xargs -P "${TIDY_JOBS:-6}" -n 2 clang-tidy --quiet -p "$build/tidy" 2> "$build/tidy/stderr.log"
