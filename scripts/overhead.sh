#!/usr/bin/env bash
# Compares the request path through one entry instance with a bare proxy in front of
# the same backend server, each limited to one CPU by GOMAXPROCS=1: added latency at
# 500 requests per second, and goodput at increasing rates.
# Usage: scripts/overhead.sh [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

DIR=run/overhead
BASE=${BASE:-10900}
OUT=${1:-/dev/stdout}
FLEET_SERVER_OPTIONS=",answer=1000"
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT

mkdir -p "$DIR"
export GOMAXPROCS=1
fleet_start bench/texts/one-server.ini "$DIR" "$BASE" 1
bare_address=127.0.0.1:$((BASE + 1))
"$FLEET_BIN/primrosenotch-load" baseline --policy bare --listen "$bare_address" --backend 127.0.0.1:13820 >"$DIR/proxy.log" 2>&1 &
FLEET_PIDS+=($!)
wait_port $((BASE + 1))
unset GOMAXPROCS
wait_ready
exec 9>"${LOCK:-/tmp/primrosenotch-bench.lock}"
flock 9
for path in entry bare; do
	address=$bare_address
	if [[ $path == entry ]]; then address=${CALLERS[0]}; fi
	sed "s/^\[experiment\]\$/&\nentries = $address/" bench/experiments/overhead.ini >"$DIR/$path.ini"
	"$FLEET_BIN/primrosenotch-load" run "$DIR/$path.ini" --out "$DIR/$path.json" 2>"$DIR/$path.log"
	jq -c --arg path "$path" '{path: $path, command: (.command | join(" ")), dispatch_lag,
		rows: [.rows[] | {phase, requests, outcomes, goodput, latency}]}' "$DIR/$path.json"
done >"$DIR/runs"
exec 9>&-
jq -s --arg commit "$(git describe --always --dirty)" '{command: "scripts/overhead.sh", commit: $commit, runs: .}' "$DIR/runs" >"$OUT"
fleet_stop
trap - EXIT
