#!/usr/bin/env bash
# Runs clang-tidy on the folders listed below, with the compile commands of a build folder. Fails on any finding.
set -euo pipefail
build=${1:-build}
# Removes the precompiled headers from the compile commands: they are in the format of GCC, which clang cannot read.
sed -E 's# -Winvalid-pch| -include [^ ]*cmake_pch\.hxx##g' "$build/compile_commands.json" > "$build/tidy.json.tmp"
mkdir -p "$build/tidy"
mv "$build/tidy.json.tmp" "$build/tidy/compile_commands.json"
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tools/*.cpp' 'tests/*.cpp' 'bench/*.cpp' \
    | xargs -P "${TIDY_JOBS:-6}" -n 2 clang-tidy --quiet -p "$build/tidy" 2> "$build/tidy/stderr.log"
