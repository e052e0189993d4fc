#!/usr/bin/env bash
# Checks that src/ contains no wire names of the users' platform. They belong in platform/; the stand-ins and the tests
# implement the protocol too and may use them.
set -euo pipefail
names='Server-Seal|Not-Executed|Prompt-Prefix|Kv-|Expect-Instance|rows-(tx|get|feed|parts)|Token-Usage|Server-Load|Api-Key'
names+='|Request-Deadline|Request-Priority|Store-Era'
fields='apiKeys|timeoutMs|goalMs|gapTargetMs|coldLeftMs|afterRev|expectRev|noAuth|born|resumable|sticky'
if git grep -nE "($names)|\"($fields)\"" -- 'src/*.cpp' 'src/*.h'; then
    echo "names of the users' platform outside platform/" >&2
    exit 1
fi
