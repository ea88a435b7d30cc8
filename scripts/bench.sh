#!/usr/bin/env bash
# Runs every measurement, prints the tables and writes the figures as JSON into out/.
# The parts run one after another, because each measures processor time. BENCH_PARTS selects some of them.
# Usage: bench.sh BUILD
set -uo pipefail
build=$1
parts=${BENCH_PARTS:-overload flood membership latency nodes}
mkdir -p out
status=0
for part in $parts; do
    echo "== $part"
    case $part in
    overload) "$build/bench/bench-overload" --json=out/overload.json ;;
    flood) python3 bench/flood.py --build "$build" | tee out/flood.json ;;
    membership) "$build/bench/membershipscale" | tee out/membership.json ;;
    latency) python3 bench/latency.py --build "$build" | tee out/latency.json ;;
    nodes) python3 bench/nodes.py --build "$build" --counts "${BENCH_NODES:-25,50,100,200}" | tee out/nodes.json ;;
    *)
        echo "unknown part: $part"
        false
        ;;
    esac || status=1
done
exit $status
