#!/usr/bin/env bash
# Measures a traffic shift with real processes: runs the Kaderwerk example with 7
# entry instances, injects a fault after 8 s of load and ends it 16 s later. Then
# repeats the load and the fault with a naive proxy in front of the same backend
# servers.
#
#   scripts/shift.sh SCENARIO [SEED] [BASEPORT]
#
#   zone          the backend servers of munich-a crash and return cold
#   region        the entry instances and backend servers of Munich crash
#   stop          a planned stop of munich-a; its backend servers crash 6 s later
#   flood-region  like region, with ten times the background load during the fault
#   lag-zone      like zone, with status reports of backend servers delayed by 5 s
#
# SHIFT_NAIVE=no skips the naive proxy. Writes
# bench/results/shift-SCENARIO-SEED.json and prints a summary. Exits with 1 if a
# request that was reported as not-run was executed, an idempotency key was executed
# more than once, the spill of a zone grew by more than the shift cap, or the load
# run of the fleet failed.
set -euo pipefail
cd "$(dirname "$0")/.."

# The fleet listens on a separate loopback address because its ports could conflict
# with the ephemeral ports of other processes' outgoing connections on 127.0.0.1.
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
settle=10 # seconds for cold starts to finish and peers to discover each other

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

# crash_servers MS crashes the backend servers of the lost zones with a downtime of MS
# milliseconds.
crash_servers() {
	local zone address
	for zone in $lost_zones; do
		for address in $(zone_addresses "$zone"); do
			curl -s -m 1 -o /dev/null -X POST "http://$address/standin/crash?downtime_ms=$1" || true
		done
	done
}

# delay_status_reports delays the status reports of all backend servers by 5 s.
delay_status_reports() {
	local address
	for address in $(text_servers "$text" | sed 's/.*=\(.*\),slots.*/\1/'); do
		curl -s -m 1 -o /dev/null -X PUT "http://$address/standin/faults" -d '{"status_lag_ms":5000}'
	done
}

# lost_entries prints the indexes of the entry instances in the lost zones.
lost_entries() {
	local i zone
	for i in "${!ENTRY_NAMES[@]}"; do
		for zone in $lost_zones; do
			if [[ ${ENTRY_NAMES[$i]} == *-$zone ]]; then echo "$i"; fi
		done
	done
}

# inject_faults fleet|naive injects the scenario's faults on schedule. With fleet it
# also announces and cancels the planned stop and kills entry instances; run_load
# restarts killed entry instances when the backend servers return.
inject_faults() {
	local i
	sleep "$fault_at"
	case $scenario in
	stop)
		if [ "$1" = fleet ]; then
			$bin/primrosenotch stop "zone:$lost_zones" --platform "$PLATFORM" -m "measured stop" >"$dir/stop.log"
		fi
		sleep 6
		crash_servers $((fault_ms - 6000))
		sleep $((fault_ms / 1000 - 6))
		if [ "$1" = fleet ]; then
			$bin/primrosenotch stop cancel "$($bin/primrosenotch stop list --platform "$PLATFORM" --format json | jq -r '.stops[0].id')" \
				--platform "$PLATFORM" -m "measured return" >>"$dir/stop.log" 2>&1 || true
		fi
		;;
	region | flood-region)
		if [ "$1" = fleet ]; then for i in $(lost_entries); do kill -KILL "${ENTRY_PIDS[$i]}"; done; fi
		crash_servers "$fault_ms"
		;;
	*) crash_servers "$fault_ms" ;;
	esac
}

# run_load fleet|naive NAME ENTRIES runs the experiment and injects the scenario's
# faults. NAME is the base name of the experiment, result and log files.
run_load() {
	local kind=$1 name=$2 entries=$3 result=0 faults_pid watch_pid="" i
	sed "s/^\[experiment\]\$/&\nentries = $entries/" bench/experiments/shift.ini >"$dir/$name.ini"
	if [ "$scenario" = flood-region ]; then
		sed -i 's/^\[phase fault\]$/&\nfactor background = 10/' "$dir/$name.ini"
	fi
	exec 9>"$lock"
	flock 9
	if [ "$scenario" = lag-zone ]; then delay_status_reports; fi
	if [ "$kind" = fleet ]; then
		$bin/primrosenotch-load watch "${CONTROLS[@]/#/--entry=}" --text "$text" --every 200ms --not-run "$dir/not-run.txt" \
			--out "$dir/watch.json" 9>&- &
		watch_pid=$!
	fi
	inject_faults "$kind" 9>&- &
	faults_pid=$!
	if [ "$kind" = fleet ] && [[ $scenario == *region ]]; then
		# The main shell restarts the entry instances because fleet_stop can wait only
		# for child processes of its own shell.
		$bin/primrosenotch-load run "$dir/$name.ini" --seed "$seed" --out "$dir/$name.json" --not-run "$dir/not-run.txt" \
			>"$dir/$name.log" 2>&1 9>&- &
		local load_pid=$!
		sleep $((fault_at + fault_ms / 1000))
		for i in $(lost_entries); do wait "${ENTRY_PIDS[$i]}" || true; start_entry "$i" 9>&-; done
		wait "$load_pid" || result=1
	else
		$bin/primrosenotch-load run "$dir/$name.ini" --seed "$seed" --out "$dir/$name.json" --not-run "$dir/not-run.txt" \
			>"$dir/$name.log" 2>&1 9>&- || result=1
	fi
	wait "$faults_pid"
	exec 9>&-
	if [ -n "$watch_pid" ]; then
		kill -TERM "$watch_pid"
		wait "$watch_pid"
	fi
	return "$result"
}

# print_summary RESULT prints outcomes by phase and rank, and the results of the checks.
print_summary() {
	jq -r '
		def outcome_lines(name): .rows | group_by([.phase, .rank])[] |
			(map(.requests) | add) as $n |
			"\(name) \(.[0].phase) \(.[0].rank): \($n) requests, in time \((map(.in_time) | add) / $n * 10000 | round / 100) %, " +
			(map(.outcomes | to_entries) | add | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", ")) + "; " +
			(map(.causes | to_entries) | add | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", "));
		(.fleet | outcome_lines("fleet")), (.naive | select(. != null) | outcome_lines("naive")),
		(.watch | "samples \(.samples), missed \(.missed); reported not-run \(.not_run), of which executed \(.not_run_but_ran | length); idempotency keys executed more than once \(.repeated_keys | length)",
			"backend servers over their slot limit \([.backends[] | select(.peak > .slots)] | length), shed requests \([.backends[].shed] | add)",
			(.cells[] | select(.spill_rise > .bound or .capacity_rise > .bound or .over_level > 0 or .spill_peak > 0) |
				"\(.zone) \(.service): cap \(.cap * 100 | round / 100), spill rise \(.spill_rise), capacity rise \(.capacity_rise), spill peak \(.spill_peak) of \(.slots), samples over spill level \(.over_level)"))
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
run_load fleet fleet "$(IFS=,; echo "${CALLERS[*]}")" || status=1
fleet_stop || echo "an entry instance did not stop gracefully" >&2

# run_naive_baseline runs the same load and faults against a naive proxy in front of
# newly started backend stand-ins.
run_naive_baseline() {
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
	run_load naive naive "$host:$((base + 500))" || true # the naive proxy repeats requests and truncates answers
	for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
}

if [ "${SHIFT_NAIVE:-yes}" = yes ]; then
	run_naive_baseline
else
	echo null >"$dir/naive.json"
fi
trap - EXIT

result=bench/results/shift-$scenario-$seed.json
jq -c -n --arg scenario "$scenario" --arg command "scripts/shift.sh $scenario $seed" --argjson seed "$seed" \
	--slurpfile fleet "$dir/fleet.json" --slurpfile naive "$dir/naive.json" --slurpfile watch "$dir/watch.json" \
	'{scenario: $scenario, command: $command, seed: $seed, fleet: $fleet[0], naive: ($naive[0] | del(.series?)), watch: $watch[0]}' >"$result"
print_summary "$result" | tee "$dir/summary.txt"
jq -e '.watch | (.not_run_but_ran | length) == 0 and (.repeated_keys | length) == 0 and all(.cells[]; .spill_rise <= .bound)' "$result" >/dev/null || status=1
exit "$status"
