#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/bin/. Needs the packages of deploy/system.toml.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
compile() { "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -I "$here/rig" "$@"; }
finish_jobs() {
    local status=0 job
    for job in "$@"; do
        wait "$job" || status=1
    done
    return $status
}
jobs=()
for source in "$here"/rig/*.cpp "$here"/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")-$(basename "$source" .cpp)
    compile -c -o "$here/bin/$name.o" "$source" &
    jobs+=($!)
done
finish_jobs "${jobs[@]}"
for source in "$here"/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    compile -o "$here/bin/case-$case" "$here/bin/$case-case.o" "$here"/bin/rig-*.o
done
