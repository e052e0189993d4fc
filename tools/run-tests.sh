#!/usr/bin/env bash
# Runs all tests through ctest. Tests named in KNOWN-RED.txt may fail; they are run last and printed.
set -uo pipefail
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
known=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' "$root/KNOWN-RED.txt" | sort -u)
exclude=$(echo $known | tr ' ' '|')
jobs=${TEST_JOBS:-2}
if [ -n "$exclude" ]; then
    ctest --test-dir "$build" --output-on-failure -j "$jobs" -E "^($exclude)$"
    status=$?
    echo "Known to be red (KNOWN-RED.txt), run for the record:"
    ctest --test-dir "$build" --output-on-failure -R "^($exclude)$" || true
else
    ctest --test-dir "$build" --output-on-failure -j "$jobs"
    status=$?
fi
exit $status
