#!/usr/bin/env bash
# Transfers a 50 MB response and a 50 MB upload through each of 7 entry instances in
# turn and prints the peak resident memory of each instance as JSON. An instance
# relays bodies both as ingress and as owner. Usage: scripts/large-bodies.sh [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

BYTES=50000000
DIR=run/large
OUT=${1:-/dev/stdout}
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT

# peak_mb PID prints the peak resident memory of a process in MiB.
peak_mb() { awk '/^VmHWM/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }

mkdir -p "$DIR"
head -c "$BYTES" /dev/zero >"$DIR/body"
sed 's/:21\([0-9]*\)$/:13\1/' examples/kaderwerk.ini >"$DIR/text.ini"
fleet_start "$DIR/text.ini" "$DIR" "${BASE:-10500}" 7
wait_ready
exec 9>"${LOCK:-/tmp/primrosenotch-bench.lock}"
flock 9
for i in "${!ENTRY_PIDS[@]}"; do
	before=$(peak_mb "${ENTRY_PIDS[$i]}")
	down=$(curl -s -m 30 -H "X-Answer-Bytes: $BYTES" -o /dev/null -w '%{http_code} %{size_download} %{time_total}' "http://${CALLERS[$i]}/crests/lion")
	up=$(curl -s -m 30 -T "$DIR/body" -o /dev/null -w '%{http_code} %{size_upload} %{time_total}' "http://${CALLERS[$i]}/crests/lion")
	jq -nc --arg instance "${ENTRY_NAMES[$i]}" --argjson before "$before" --argjson peak "$(peak_mb "${ENTRY_PIDS[$i]}")" --arg answer "$down" --arg upload "$up" \
		'{instance: $instance, peak_before_mb: $before, peak_mb: $peak, answer: $answer, upload: $upload}'
done >"$DIR/each"
exec 9>&-
jq -s '{command: "scripts/large-bodies.sh", bytes: '"$BYTES"', form: "status bytes seconds", instances: .}' "$DIR/each" >"$OUT"
fleet_stop
trap - EXIT
