#!/usr/bin/env bash
# Measures a shift of traffic with real processes: the Kaderwerk example with 7
# entry instances, a fault after 8 s of load, and its end 16 s later; then the
# same load and fault with a naive proxy before the same backend servers.
#
#   scripts/shift.sh SCENARIO [SEED] [BASEPORT]
#
#   zone          the backend servers of munich-a are lost and come back cold
#   region        the entry instances and backend servers of Munich are lost
#   stop          munich-a is stopped as planned; its servers go 6 s later
#   flood-region  region, during ten times the background load
#   lag-zone      zone, while the servers' reports lag 5 s
#
# With SHIFT_NAIVE=no the naive proxy is left out. Writes bench/results/shift-SCENARIO-SEED.json and prints a summary. Exits with
# 1 where a request that was told not-run ran, a key ran twice, or the spill of a
# zone grew by more than the cap.
set -euo pipefail
cd "$(dirname "$0")/.."

# The fleet listens on a loopback address of its own: on 127.0.0.1 the ports of
# others' outgoing connections may be in its way.
host=${SHIFT_HOST:-127.9.0.1}
export FLEET_HOST=$host
. scripts/fleet.sh

scenario=$1
seed=${2:-1}
base=${3:-38000}
dir=run/shift-$scenario-$seed
text=$dir/text.ini
fault_at=8
fault_ms=16000
bin=${FLEET_BIN:-bin}
lock=${SHIFT_LOCK:-/tmp/primrosenotch-bench.lock}
FLEET_SERVER_OPTIONS=,time=exponential:150ms,time/orders=exponential:300ms,time/numbers=exponential:400ms,time/crests=exponential:400ms,cold=4s,cold-factor=3
settle=10 # seconds for cold starts to end and peers to meet

case $scenario in
zone | stop | lag-zone) lost_zones="munich-a" ;;
region | flood-region) lost_zones="munich-a munich-b" ;;
*)
	echo "unknown scenario $scenario" >&2
	exit 2
	;;
esac

# zone_addresses prints the addresses of the backend servers of a zone.
zone_addresses() {
	awk -v wanted="$1" '
		function flush() { if (server && zone == wanted) print address }
		/^\[/ { flush(); server = /^\[backend / }
		/^zone/ { zone = $3 }
		/^address/ { address = $3 }
		END { flush() }' "$text"
}

# lose_servers takes the backend servers of the lost zones away for a time.
lose_servers() {
	local zone address
	for zone in $lost_zones; do
		for address in $(zone_addresses "$zone"); do
			curl -s -m 1 -o /dev/null -X POST "http://$address/standin/crash?downtime_ms=$1" || true
		done
	done
}

lag_reports() {
	local address
	for address in $(text_servers "$text" | sed 's/.*=\(.*\),slots.*/\1/'); do
		curl -s -m 1 -o /dev/null -X PUT "http://$address/standin/faults" -d '{"status_lag_ms":5000}'
	done
}

lost_entries() {
	local i zone
	for i in "${!ENTRY_NAMES[@]}"; do
		for zone in $lost_zones; do
			if [[ ${ENTRY_NAMES[$i]} == *-$zone ]]; then echo "$i"; fi
		done
	done
}

# faults plays the scenario's timeline; with "fleet" also what concerns entry
# instances. Entry instances that were lost come back with the servers.
faults() {
	local i
	sleep "$fault_at"
	case $scenario in
	stop)
		if [ "$1" = fleet ]; then
			$bin/primrosenotch stop "zone:$lost_zones" --platform "$PLATFORM" -m "measured stop" >"$dir/stop.log"
		fi
		sleep 6
		lose_servers $((fault_ms - 6000))
		sleep $((fault_ms / 1000 - 6))
		if [ "$1" = fleet ]; then
			$bin/primrosenotch stop cancel "$($bin/primrosenotch stop list --platform "$PLATFORM" --format json | jq -r '.stops[0].id')" \
				--platform "$PLATFORM" -m "measured return" >>"$dir/stop.log" 2>&1 || true
		fi
		;;
	region | flood-region)
		if [ "$1" = fleet ]; then for i in $(lost_entries); do kill -KILL "${ENTRY_PIDS[$i]}"; done; fi
		lose_servers "$fault_ms"
		;;
	*) lose_servers "$fault_ms" ;;
	esac
}

# offer_load FLEET|NAIVE OUT ENTRIES runs the experiment with its faults.
offer_load() {
	local kind=$1 name=$2 entries=$3 result=0 player watcher="" i
	sed "s/^\[experiment\]\$/&\nentries = $entries/" bench/experiments/shift.ini >"$dir/$name.ini"
	if [ "$scenario" = flood-region ]; then
		sed -i 's/^\[phase fault\]$/&\nfactor background = 10/' "$dir/$name.ini"
	fi
	exec 9>"$lock"
	flock 9
	if [ "$scenario" = lag-zone ]; then lag_reports; fi
	if [ "$kind" = fleet ]; then
		$bin/primrosenotch-load watch "${CONTROLS[@]/#/--entry=}" --text "$text" --every 200ms --not-run "$dir/not-run.txt" \
			--out "$dir/watch.json" 9>&- &
		watcher=$!
	fi
	faults "$kind" 9>&- &
	player=$!
	if [ "$kind" = fleet ] && [[ $scenario == *region ]]; then
		# Only this shell may start and later wait for entry instances.
		$bin/primrosenotch-load run "$dir/$name.ini" --seed "$seed" --out "$dir/$name.json" --not-run "$dir/not-run.txt" \
			>"$dir/$name.log" 2>&1 9>&- &
		local load=$!
		sleep $((fault_at + fault_ms / 1000))
		for i in $(lost_entries); do wait "${ENTRY_PIDS[$i]}" || true; start_entry "$i" 9>&-; done
		wait "$load" || result=1
	else
		$bin/primrosenotch-load run "$dir/$name.ini" --seed "$seed" --out "$dir/$name.json" --not-run "$dir/not-run.txt" \
			>"$dir/$name.log" 2>&1 9>&- || result=1
	fi
	wait "$player"
	exec 9>&-
	if [ -n "$watcher" ]; then
		kill -TERM "$watcher"
		wait "$watcher"
	fi
	return "$result"
}

# summary prints outcomes by rank and phase, and what the checks say.
summary() {
	jq -r '
		def table(name): .rows | group_by([.phase, .rank])[] |
			(map(.requests) | add) as $n |
			"\(name) \(.[0].phase) \(.[0].rank): \($n) requests, in time \((map(.in_time) | add) / $n * 10000 | round / 100) %, " +
			(map(.outcomes | to_entries) | add | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", ")) + "; " +
			(map(.causes | to_entries) | add | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", "));
		(.fleet | table("fleet")), (.naive | select(. != null) | table("naive")),
		(.watch | "samples \(.samples), missed \(.missed); told not-run \(.not_run), of them ran \(.not_run_but_ran | length); keys run twice \(.repeated_keys | length)",
			"servers above their slots \([.backends[] | select(.peak > .slots)] | length), sheds \([.backends[].shed] | add)",
			(.cells[] | select(.spill_rise > .bound or .capacity_rise > .bound or .over_level > 0 or .spill_peak > 0) |
				"\(.zone) \(.service): cap \(.cap * 100 | round / 100), spill rise \(.spill_rise), capacity rise \(.capacity_rise), spill peak \(.spill_peak) of \(.slots), over level \(.over_level)"))
	' "$1"
}

rm -rf "$dir"
mkdir -p "$dir" bench/results
sed -e "s/127\.0\.0\.1:21/$host:39/" -e 's/10% of capacity per 30s/20% of capacity per 10s/' examples/kaderwerk.ini >"$text"
trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT
status=0

fleet_start "$text" "$dir/fleet" "$base" 7
wait_ready
sleep "$settle"
offer_load fleet fleet "$(IFS=,; echo "${CALLERS[*]}")" || status=1
fleet_stop || echo "an entry instance did not stop gracefully" >&2

# offer_naive runs the same against a naive proxy before fresh stand-ins.
offer_naive() {
	local servers addresses pid
	mapfile -t servers < <(text_servers "$text" | sed "s|.*|--server=&$FLEET_SERVER_OPTIONS|")
	$bin/primrosenotch-standin backend "${servers[@]}" >"$dir/naive-backends.log" 2>&1 &
	FLEET_PIDS+=($!)
	sleep 1
	mapfile -t addresses < <(text_servers "$text" | sed 's/.*=\(.*\),slots.*/\1/')
	$bin/primrosenotch-load baseline --listen "$host:$((base + 500))" --policy naive "${addresses[@]/#/--backend=}" \
		>"$dir/naive-proxy.log" 2>&1 &
	FLEET_PIDS+=($!)
	wait_port $((base + 500))
	sleep 5
	mv "$dir/not-run.txt" "$dir/fleet-not-run.txt"
	offer_load naive naive "$host:$((base + 500))" || true # it repeats and cuts
	for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
}

if [ "${SHIFT_NAIVE:-yes}" = yes ]; then
	offer_naive
else
	echo null >"$dir/naive.json"
fi
trap - EXIT

result=bench/results/shift-$scenario-$seed.json
jq -c -n --arg scenario "$scenario" --arg command "scripts/shift.sh $scenario $seed" --argjson seed "$seed" \
	--slurpfile fleet "$dir/fleet.json" --slurpfile naive "$dir/naive.json" --slurpfile watch "$dir/watch.json" \
	'{scenario: $scenario, command: $command, seed: $seed, fleet: $fleet[0], naive: ($naive[0] | del(.series?)), watch: $watch[0]}' >"$result"
summary "$result" | tee "$dir/summary.txt"
jq -e '.watch | (.not_run_but_ran | length) == 0 and (.repeated_keys | length) == 0 and all(.cells[]; .spill_rise <= .bound)' "$result" >/dev/null || status=1
exit "$status"
