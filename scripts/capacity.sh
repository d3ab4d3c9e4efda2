#!/usr/bin/env bash
# Measures the resource usage of idle entry instances: CPU time, memory, and bytes
# read and written per second. Prints the median and maximum over the instances.
#   capacity.sh INSTANCES ZONES SERVERS BLOCKS [SECONDS]
# No backend servers run, so connections for probes of owned servers are refused
# immediately.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
count=$1 zones=$2 servers=$3 blocks=$4 seconds=${5:-20}
dir=$(mktemp -d /tmp/capacity.XXXXXX)
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true; wait; rm -rf "$dir"' EXIT
scripts/gentext.sh "$zones" "$servers" "$blocks" >"$dir/text.ini"
FLEET_LOG_LEVEL=error FLEET_NO_SERVERS=1 fleet_start "$dir/text.ini" "$dir" 18000 "$count"
sleep 10

# sample_usage prints PID CPU_TICKS RSS_KB IO_BYTES for each entry instance.
sample_usage() {
	local pid
	for pid in "${ENTRY_PIDS[@]}"; do
		echo "$pid $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/ {print $2}' "/proc/$pid/status") $(awk '/^[rw]char/ {s += $2} END {print s}' "/proc/$pid/io")"
	done
}
sample_usage >"$dir/before"
sleep "$seconds"
sample_usage >"$dir/after"
join "$dir/before" "$dir/after" | awk -v s="$seconds" '{print ($5 - $2) / s, $6 / 1024, ($7 - $4) / s / 1024}' >"$dir/costs"

# median_and_max COLUMN prints the median and the maximum of a column of costs.
median_and_max() {
	sort -n -k"$1,$1" "$dir/costs" | awk -v c="$1" '{v[NR] = $c} END {printf "%.2f %.2f\n", v[int((NR + 1) / 2)], v[NR]}'
}
read -r cpu cpumax < <(median_and_max 1)
read -r rss rssmax < <(median_and_max 2)
read -r io iomax < <(median_and_max 3)
printf '{"instances":%d,"zones":%d,"servers":%d,"blocks":%d,"seconds":%d,"cpu_percent":{"median":%s,"max":%s},"rss_mib":{"median":%s,"max":%s},"io_kib_per_s":{"median":%s,"max":%s}}\n' \
	"$count" "$zones" "$servers" "$blocks" "$seconds" "$cpu" "$cpumax" "$rss" "$rssmax" "$io" "$iomax"
