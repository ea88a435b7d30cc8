#!/usr/bin/env bash
# Demo on loopback addresses: two regions with two data centres each, a user's four services with one upstream each in
# every data centre, the stand-in store, and real calls for eight seconds.
# Usage: demo.sh BUILD [mooring-authority|sermon-archive|lucernaria]. Exit code 0 only if every step held. Stops by itself within about a minute.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
node=$build/src/node/geraniumsail-node
client=$build/src/cli/geraniumsail
store=$build/src/standin/geraniumsail-standin-store
upstream=$build/src/standin/geraniumsail-standin-upstream
load=$build/src/standin/geraniumsail-standin-load
example=${2:-mooring-authority}
case $example in
    mooring-authority)
        centres=(west-sea/west-1 west-sea/west-2 south-sea/south-1 south-sea/south-2)
        services=(bookings berths charts tide-notes)
        changed=(bookings mooring-booking) ;;
    sermon-archive)
        centres=(dar/dar-1 dar/dar-2 arusha/arusha-1 arusha/arusha-2)
        services=(catalogue offerings search storage)
        changed=(offerings offering) ;;
    lucernaria)
        centres=(sicilia-est/est-1 sicilia-est/est-2 sicilia-ovest/ovest-1 sicilia-ovest/ovest-2)
        services=(catalogue orders surveys job-sites)
        changed=(orders order-confirm) ;;
    *) echo "unknown example: $example" >&2; exit 2 ;;
esac
store_address=127.10.0.1:7900
dir=$(mktemp -d)
node_pids=()
upstream_pids=()
store_pid=
failures=0

fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}

# Waits up to 20 s for a process, so that a process that does not stop cannot hang the demo.
wait_for() {
    local pid=$1 i
    for ((i = 0; i < 200; i++)); do
        kill -0 "$pid" 2>/dev/null || { wait "$pid"; return $?; }
        sleep 0.1
    done
    return 124
}

stop_all() {
    local pid
    for pid in "${upstream_pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${upstream_pids[@]}"; do wait_for "$pid" || fail "upstream $pid did not stop gracefully"; done
    for pid in "${node_pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${node_pids[@]}"; do wait_for "$pid" || fail "node $pid did not stop gracefully"; done
    if [ -n "$store_pid" ]; then
        kill -TERM "$store_pid" 2>/dev/null
        wait_for "$store_pid" || fail "store did not stop gracefully"
    fi
    upstream_pids=()
    node_pids=()
    store_pid=
}

# After an early end, nothing that the demo started may stay.
cleanup() {
    local pid
    for pid in "${upstream_pids[@]}" "${node_pids[@]}" $store_pid; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

write_settings() { # IP NAME REGION DATA_CENTRE
    cat >"$dir/$2.json" <<JSON
{"name": "$2", "region": "$3", "dataCentre": "$4",
 "listen": {"caller": "$1:7000", "local": "$1:7001", "peer": "$1:7002", "control": "$1:7003", "admin": "$1:7004"},
 "controlAllow": ["127.0.0.0/8"], "seeds": ["127.10.1.1:7003", "127.10.3.1:7003"], "store": "$store_address"}
JSON
}

nodes=()
entries=()
upstreams=()
start_all() {
    local dc=0 region centre service index ip name
    for centre in "${centres[@]}"; do
        dc=$((dc + 1))
        region=${centre%/*}
        index=0
        for service in "${services[@]}"; do
            index=$((index + 1))
            ip=127.10.$dc.$index
            name=${centre#*/}-$service
            write_settings "$ip" "$name" "$region" "${centre#*/}"
            "$node" --settings "$dir/$name.json" >"$dir/$name.log" 2>&1 &
            node_pids+=($!)
            "$upstream" --behaviour "examples/$example/standin.json" --service "$service" \
                --listen "$ip:8000" --node "$ip:7001" --seed "$dc$index" >"$dir/$name-upstream.log" 2>&1 &
            upstream_pids+=($!)
            nodes+=("$ip:7004")
            entries+=("$ip:7000")
            upstreams+=("$ip:8000")
        done
    done
}

node_options() {
    local address
    for address in "${nodes[@]}"; do printf ' --node %s' "$address"; done
}

# True when every node sees 16 live members and has all published versions in force.
settled() {
    # shellcheck disable=SC2046
    "$client" status $(node_options) --json 2>/dev/null >"$dir/status.json" || return 1
    python3 - "$dir/status.json" "$1" <<'PY'
import json, sys
status = json.load(open(sys.argv[1]))
documents = int(sys.argv[2])
good = len(status["nodes"]) == 16 and not status["differing"] and all(
    n["control"]["live"] == 16 and len(n["control"]["documents"]) == documents for n in status["nodes"])
sys.exit(0 if good else 1)
PY
}

# Version of a document that all nodes have in force, or nothing.
version_in_force() {
    # shellcheck disable=SC2046
    "$client" status $(node_options) --json 2>/dev/null | python3 -c '
import json, sys
versions = {n["control"]["documents"].get(sys.argv[1]) for n in json.load(sys.stdin)["nodes"]}
print(versions.pop() if len(versions) == 1 else "")' "$1"
}

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -ge $end ] && return 1
        sleep 0.3
    done
}

ask_upstream() { # ADDRESS METHOD PATH [BODY]
    python3 - "$@" <<'PY'
import http.client, sys
connection = http.client.HTTPConnection(sys.argv[1], timeout=5)
connection.request(sys.argv[2], sys.argv[3], body=sys.argv[4] if len(sys.argv) > 4 else None)
answer = connection.getresponse()
print(answer.read().decode())
sys.exit(0 if answer.status == 200 else 1)
PY
}

# Whole answers must be at least 95 of 100 of what was sent, in every rank: the load is below capacity.
check_result() {
    python3 - "$dir/result.json" <<'PY'
import json, sys
result = json.load(open(sys.argv[1]))
bad = [r for r, s in result["ranks"].items() if s["whole"] < 0.95 * s["sent"] or s["sent"] == 0]
if bad:
    print("ranks with under 0.95 whole answers:", ", ".join(bad))
sys.exit(1 if bad or not result["checks"]["passed"] else 0)
PY
}

echo "== start: stand-in store, 16 nodes and 16 upstreams in ${centres[0]%/*} and ${centres[2]%/*}"
"$store" --listen "$store_address" >"$dir/store.log" 2>&1 &
store_pid=$!
start_all
cp -r "examples/$example" "$dir/tree"

echo "== publish examples/$example"
sleep 1
"$client" check "$dir/tree" || fail "check"
"$client" publish "$dir/tree" --store "$store_address" --node "${nodes[0]}" || fail "publish"
wait_until 30 settled 5 || fail "16 members and 5 documents on every node within 30 s"
echo "every node sees 16 members and has 5 documents in force"

echo "== 8 s of calls: bookings with tickets, chains, downloads; meanwhile a new configuration and a drain"
load_options=()
for address in "${entries[@]}"; do load_options+=(--entry "$address"); done
for address in "${upstreams[@]}"; do load_options+=(--upstream "$address"); done
"$load" --scenario "examples/$example/load.json" "${load_options[@]}" --json "$dir/result.json" \
    >"$dir/table.txt" 2>&1 &
load_pid=$!
sleep 2
before=$(version_in_force "${changed[0]}")
sed -i "s/\"name\": \"${changed[1]}\", \"rank\": 0, \"share\": 0.4/\"name\": \"${changed[1]}\", \"rank\": 0, \"share\": 0.45/" \
    "$dir/tree/${changed[0]}/geraniumsail.json"
"$client" diff "$dir/tree" --store "$store_address"
changed_at=$(date +%s%N)
"$client" publish "$dir/tree" --store "$store_address" >/dev/null || fail "second publish"
in_force() {
    local now
    now=$(version_in_force "${changed[0]}")
    [ -n "$now" ] && [ "$now" != "$before" ]
}
if wait_until 15 in_force; then
    echo "change of ${changed[0]} in force on 16 nodes after $((($(date +%s%N) - changed_at) / 1000000)) ms"
else
    fail "change of ${changed[0]} in force on every node within 15 s"
fi

drained=${upstreams[3]}
ask_upstream "$drained" POST /standin/upstream '{"drain": true}' >/dev/null || fail "drain switch"
sleep 3
started() {
    ask_upstream "$drained" GET /standin/state | python3 -c 'import json, sys; print(json.load(sys.stdin)["started"])'
}
first=$(started)
sleep 1
second=$(started)
[ "$first" = "$second" ] && echo "upstream $drained (${services[3]}, ${centres[0]#*/}) drains: no new work after 3 s" \
    || fail "drained upstream still receives work ($first, then $second requests)"

wait_for "$load_pid"
load_code=$?
cat "$dir/table.txt"
[ "$load_code" -eq 0 ] || fail "load program ended with exit code $load_code"
check_result || fail "result of the load"
echo "== status of one node, and refusals of all nodes"
"$client" status --node "${nodes[0]}" || fail "status"
# shellcheck disable=SC2046
"$client" refusals $(node_options) || fail "refusals"

echo "== graceful stop"
stop_all
if [ $failures -ne 0 ]; then
    echo "demo: $failures step(s) failed"
    exit 1
fi
echo "demo: every step held"
