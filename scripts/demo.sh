#!/usr/bin/env bash
# Starts the Kaderwerk example as processes on loopback, sends a few seconds of
# mixed load, prints the results and the fleet's status, and stops all processes
# gracefully. Exits with 1 if the load run fails, for example because of a wrong or
# truncated answer, or if an entry instance does not stop gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

text=examples/kaderwerk.ini
dir=run/demo
rm -rf "$dir"
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT

echo "Starting the platform stand-in, $(text_servers $text | wc -l) backend servers and 7 entry instances; logs in $dir"
fleet_start "$text" "$dir" 20000 7
entries=$(IFS=,; echo "${CALLERS[*]}")
sed "s/^\[experiment\]\$/&\nentries = $entries/" bench/experiments/demo.ini >"$dir/load.ini"
wait_ready

echo "Sending 6 s of load"
result=0
bin/primrosenotch-load run "$dir/load.ini" --out "$dir/result.json" || result=1
echo
bin/primrosenotch status --entry "${CONTROLS[0]}"
echo
if ! fleet_stop; then
	echo "an entry instance did not stop gracefully" >&2
	result=1
fi
trap - EXIT
exit "$result"
