#!/usr/bin/env bash
# Runs the property tests with a fresh seed and many more cases. Prints the seed, so that a failure can be repeated with
# RC_PARAMS="seed=N max_success=M" scripts/fuzz.sh BUILD.
# Usage: fuzz.sh BUILD
set -uo pipefail
build=$1
seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
export RC_PARAMS="${RC_PARAMS:-seed=$seed max_success=${FUZZ_CASES:-2000}}"
echo "RC_PARAMS=\"$RC_PARAMS\""
status=0
for program in test-core test-config test-node; do
    log=$(mktemp)
    timeout "${FUZZ_SECONDS:-600}" "$build/tests/$program" >"$log" 2>&1 || status=1
    grep -E 'Falsifiable|assertion|error|^[0-9]+ passed' "$log" | head -20
    rm -f "$log"
done
exit $status
