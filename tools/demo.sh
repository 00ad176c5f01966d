#!/usr/bin/env bash
# Builds the program, runs three entries against stand-ins on loopback, and shows a request, a change of the document
# and the audit line that explains it. Everything it starts is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B build -G Ninja >/dev/null
ninja -C build hibiscusbridge platform-standin target-standin >/dev/null

started=()
trap 'kill "${started[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
build/tests/platform-standin 127.0.0.1:7000 &
started+=($!)
build/tests/target-standin 127.0.0.1:710{1,2,3,4} &
started+=($!)
export HIBISCUSBRIDGE_BOOTSTRAP_TOKEN=platform-token HIBISCUSBRIDGE_PLATFORM=127.0.0.1:7000
for i in 1 2 3; do
    build/hibiscusbridge serve --entry-id "entry-$i" --zone "z$i" --log-level warn \
        --caller-address "127.0.0.1:801$i" --operator-address "127.0.0.1:802$i" --peer-address "127.0.0.1:803$i" &
    started+=($!)
done

# Retries until the command succeeds, for 15 seconds at most.
retry() {
    for _ in $(seq 75); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.2
    done
    echo "gave up: $*" >&2
    return 1
}
submit() { # SECTION FILE TOKEN BASE_VERSION
    curl -sf -T "$2" -H "Authorization: Bearer $3" -H "X-Base-Version: $4" -H "X-Submission-Id: demo-$1-$4" \
        "http://127.0.0.1:8021/v1/document/sections/$1"
}

echo "== Submit the document"
retry curl -sf http://127.0.0.1:8021/v1/status
retry submit fleet examples/fleet.toml platform-token 0
submit orders examples/orders.toml orders-token 0 | tee build/demo-submit.json
for i in 1 2 3; do retry curl -sf "http://127.0.0.1:801$i/quotes/price"; done

echo "== A request through each entry"
for i in 1 2 3; do curl -s "http://127.0.0.1:801$i/quotes/price?width=30"; done

echo "== The document now sends quotes to the pool of the previews"
base=$(sed -E 's/.*"version":([0-9]+).*/\1/' build/demo-submit.json)
sed '/^\[services.quotes\]/,/^$/s/pool = "quotes"/pool = "previews"/' examples/orders.toml >build/demo-orders.toml
submit orders build/demo-orders.toml orders-token "$base"
sleep 2
for i in 1 2 3; do curl -s "http://127.0.0.1:801$i/quotes/price?width=30"; done

echo "== The audit trail of the section"
curl -s "http://127.0.0.1:8022/v1/audit?subject=section/orders"
