#!/usr/bin/env bash
# Runs every test program: the core and configuration tests with sanitizers, the others from the normal build.
# Usage: run-tests.sh BUILD SANITIZED
set -uo pipefail
build=$1
sanitized=$2
export RC_PARAMS="${RC_PARAMS:-seed=20261204 max_success=100}"
passed=0
failed=0
for program in "$sanitized/tests/test-core" "$sanitized/tests/test-config" "$build/tests/test-core" \
    "$build/tests/test-config" "$build/tests/test-rpc" "$build/tests/test-net" "$build/tests/test-node" \
    "$build/tests/test-relay" "$build/tests/test-platform" "$build/tests/test-cli"; do
    [ -x "$program" ] || { echo "missing test program: $program"; failed=$((failed + 1)); continue; }
    echo "== $program"
    output=$("$program" 2>&1)
    code=$?
    echo "$output"
    line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' <<<"$output" | tail -1)
    passed=$((passed + $(awk '{print $1 + 0}' <<<"${line:-0}")))
    failures=$(awk '{print $3 + 0}' <<<"${line:-0}")
    [ $code -ne 0 ] && [ "$failures" -eq 0 ] && failures=1
    failed=$((failed + failures))
done
echo "== fault soak, seed 1"
if python3 tests/soak/soak.py "$build/platform/geraniumsail-relay" --seed 1 --seconds 8; then
    passed=$((passed + 1))
else
    failed=$((failed + 1))
fi
echo "== leaves while the store is down and all nodes end"
if python3 tests/soak/leavesoak.py "$build/platform/geraniumsail-relay"; then
    passed=$((passed + 1))
else
    failed=$((failed + 1))
fi
for arguments in "--seed 4 --rounds 1" "--no-era --seed 3 --rounds 3"; do
    echo "== the store comes back from an older copy, $arguments"
    # shellcheck disable=SC2086
    if python3 tests/soak/restoresoak.py "$build/platform/geraniumsail-relay" $arguments; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
done
echo "== stops while a request lasts longer than the grace time"
if python3 tests/soak/latestop.py "$build/platform/geraniumsail-relay"; then
    passed=$((passed + 1))
else
    failed=$((failed + 1))
fi
echo "== servers that send without end"
if python3 tests/servers/endlessservers.py "$build/platform/geraniumsail-relay" --form nested-json \
    --form json-of-empty-arrays --form trailers-one-by-one; then
    passed=$((passed + 1))
else
    failed=$((failed + 1))
fi
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
