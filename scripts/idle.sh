#!/usr/bin/env bash
# Measures the resource usage of 7 idle entry instances over 20 s: resident memory,
# CPU time, and bytes read and written. Prints JSON. The byte counts cover all reads
# and writes, including probes of backend servers and reads from the platform.
# Usage: scripts/idle.sh [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

PERIOD=20 # seconds
SETTLE=10 # seconds between readiness and the measurement period
DIR=run/idle
OUT=${1:-/dev/stdout}
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT

# cpu_ticks PID prints the CPU time of a process in clock ticks.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# io_bytes PID prints the number of bytes that a process has read and written.
io_bytes() { awk '/^[rw]char/ { sum += $2 } END { print sum }' "/proc/$1/io"; }

# memory_kb FIELD PID prints a memory field of /proc/PID/status in kB.
memory_kb() { awk -v field="$1:" '$1 == field { print $2 }' "/proc/$2/status"; }

mkdir -p "$DIR"
sed 's/:21\([0-9]*\)$/:13\1/' examples/kaderwerk.ini >"$DIR/text.ini"
fleet_start "$DIR/text.ini" "$DIR" "${BASE:-10500}" 7
wait_ready
sleep "$SETTLE"
cpu=() io=()
for pid in "${ENTRY_PIDS[@]}"; do
	cpu+=("$(cpu_ticks "$pid")")
	io+=("$(io_bytes "$pid")")
done
sleep "$PERIOD"
for i in "${!ENTRY_PIDS[@]}"; do
	pid=${ENTRY_PIDS[$i]}
	jq -nc --arg instance "${ENTRY_NAMES[$i]}" --argjson rss "$(memory_kb VmRSS "$pid")" --argjson peak "$(memory_kb VmHWM "$pid")" \
		--argjson ticks "$(($(cpu_ticks "$pid") - cpu[i]))" --argjson hz "$(getconf CLK_TCK)" \
		--argjson bytes "$(($(io_bytes "$pid") - io[i]))" --argjson period "$PERIOD" \
		'{instance: $instance, rss_mb: ($rss / 102.4 | round / 10), peak_rss_mb: ($peak / 102.4 | round / 10),
		  cpu_percent: ($ticks / $hz / $period * 10000 | round / 100), bytes_per_second: ($bytes / $period | round)}'
done | jq -s '{command: "scripts/idle.sh", period_s: '"$PERIOD"', instances: .}' >"$OUT"
fleet_stop
trap - EXIT
