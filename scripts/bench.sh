#!/usr/bin/env bash
# Compares entry instances with the naive baseline proxy under load. For each seed,
# runs the same experiment first through entry instances and then through the
# baseline proxy with --policy naive, using the same stand-ins. See
# docs/MEASUREMENTS.md.
#
#   scripts/bench.sh SCENARIO...      writes bench/results/SCENARIO.json
#
# Environment variables:
#   SEEDS             seeds to run (default "1 2 3")
#   BASE              first port of the fleet (default 12000)
#   LOCK              file that is locked during the runs
#   RESULTS           directory for results (default bench/results)
#   SERVER_THOUSANDS  thousands of the backend servers' ports (default 13)
# Requires curl and jq.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/bench-faults.sh

SEEDS=${SEEDS:-1 2 3}
BASE=${BASE:-12000}
LOCK=${LOCK:-/tmp/primrosenotch-bench.lock}
RESULTS=${RESULTS:-bench/results}
TMP=$RESULTS/tmp
COMMIT=${COMMIT:-$(git describe --always --dirty)} # revision of the binaries
FLOOD_OPTIONS=",time=lognormal:45ms:0.25,queue=4,answer=1000"
MIXED_OPTIONS=",time=lognormal:45ms:0.25,time/catalogue=lognormal:15ms:0.25,queue=4,answer=2000"

# configure_scenario SCENARIO sets TEXT, INSTANCES, FLEET_SERVER_OPTIONS and FAULT.
configure_scenario() {
	TEXT=bench/texts/three-slots.ini INSTANCES=3 FLEET_SERVER_OPTIONS=$FLOOD_OPTIONS FAULT=
	case $1 in
	steady-kaderwerk) TEXT=examples/kaderwerk.ini INSTANCES=7 FLEET_SERVER_OPTIONS=$MIXED_OPTIONS ;;
	steady-associacao) TEXT=examples/associacao.ini INSTANCES=7 FLEET_SERVER_OPTIONS=$MIXED_OPTIONS ;;
	flood-*-three-slots) ;;
	flood-*-nine-slots) TEXT=bench/texts/nine-slots.ini ;;
	silent-connections) FAULT=silence_connections ;;
	lagging-reports) FAULT=delay_status_reports ;;
	server-limit) FAULT=name_limit ;;
	server-pause) FAULT=refuse_with_retry_after ;;
	server-leaving) FAULT=say_leaving ;;
	crashing-request) FAULT=resend_crashing_request ;;
	*)
		echo "unknown scenario $1" >&2
		return 1
		;;
	esac
}

# remap_server_ports TEXT prints a configuration text with the backend servers'
# ports moved to another thousand, so that they do not conflict with other fleets on
# the same machine.
remap_server_ports() { sed -E "s/:(2[13]|13)([0-9]{3})$/:${SERVER_THOUSANDS:-13}\2/" "$1"; }

# run_load SCENARIO SEED POLICY ENTRIES runs the experiment and, concurrently, the
# scenario's fault, and appends the result to the scenario's runs.
run_load() {
	local name=$1-$3-$2 fault_pid=
	sed "s/^\[experiment\]\$/&\nentries = $4/" "bench/experiments/$1.ini" >"$TMP/$name.ini"
	if [[ -n $FAULT ]]; then
		"$FAULT" "$TMP/$name.fault" "$4" 9>&- &
		fault_pid=$!
	fi
	"$FLEET_BIN/primrosenotch-load" run "$TMP/$name.ini" --seed "$2" --out "$TMP/$name.json" 2>"$TMP/$name.log" || true
	if [[ -n $fault_pid ]]; then
		wait "$fault_pid"
		clear_faults
	fi
	if [[ ! -f $TMP/$name.fault ]]; then echo '{}' >"$TMP/$name.fault"; fi
	jq -c --arg policy "$3" --argjson seed "$2" --slurpfile fault "$TMP/$name.fault" '{
		policy: $policy, seed: $seed, started, command: (.command | join(" ")), fault: $fault[0],
		dispatch_lag, failed_lookups, problems,
		rows: [.rows[] | del(.statuses, .moved, .retries)],
		answered: [.series | group_by(.class)[] | {class: .[0].class,
			served_by_second: [.[] | {key: (.second | tostring), value: (.outcomes.served // 0)}] | from_entries}]}' \
		"$TMP/$name.json" >>"$TMP/$1.runs"
}

# run_scenario SCENARIO starts a fleet and a baseline proxy, runs the experiment with
# every seed and both policies, and writes and prints the results.
run_scenario() {
	local seed
	configure_scenario "$1"
	: >"$TMP/$1.runs"
	trap 'kill "${ENTRY_PIDS[@]}" "${FLEET_PIDS[@]}" 2>/dev/null || true' EXIT
	remap_server_ports "$TEXT" >"$TMP/$1.text.ini"
	fleet_start "$TMP/$1.text.ini" "$TMP/$1-fleet" "$BASE" "$INSTANCES"
	start_naive_proxy "$TMP/$1.text.ini" "$((BASE + 1))"
	wait_ready
	exec 9>"$LOCK"
	flock 9
	for seed in $SEEDS; do
		run_load "$1" "$seed" policy "$(IFS=,; echo "${CALLERS[*]:0:$INSTANCES}")"
		run_load "$1" "$seed" naive "$PROXY"
	done
	exec 9>&-
	fleet_stop || echo "an entry instance did not stop gracefully" >&2
	trap - EXIT
	jq -s --arg scenario "$1" --arg command "SEEDS='$SEEDS' scripts/bench.sh $1" \
		--arg commit "$COMMIT" --arg servers "$FLEET_SERVER_OPTIONS" \
		--arg text "$TEXT" --argjson instances "$INSTANCES" \
		'{scenario: $scenario, command: $command, commit: $commit, text: $text, instances: $instances,
		  servers: $servers, runs: .}' "$TMP/$1.runs" >"$RESULTS/$1.json"
	jq -r -f scripts/bench-table.jq "$RESULTS/$1.json"
}

mkdir -p "$TMP"
for name in "$@"; do run_scenario "$name"; done
