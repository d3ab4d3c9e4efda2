#!/usr/bin/env bash
# Functions that start and stop a fleet on loopback from a configuration text: the
# platform stand-in, all backend servers of the text, and entry instances
# distributed over its zones. Source this file; see scripts/demo.sh.
#
#   fleet_start TEXT RUNDIR BASEPORT INSTANCES   starts the fleet and applies TEXT;
#       BASEPORT + 400 must stay below the ephemeral ports of the system (32768 here)
#   start_naive_proxy TEXT PORT                  starts a plain proxy for the same servers
#   fleet_stop                                   stops all processes gracefully
#
# Sets PLATFORM, CONTROLS and CALLERS (arrays of HOST:PORT) and ENTRY_PIDS.

FLEET_PIDS=()
ENTRY_PIDS=()
CONTROLS=()
CALLERS=()
LINKS=()
ENTRY_NAMES=()

# text_zones prints the zones of a configuration text, one per line.
text_zones() { sed -n 's/^\[zone \(.*\)\]$/\1/p' "$1"; }

# text_servers prints NAME=ADDRESS,slots=N for each backend server of a configuration text.
text_servers() {
	awk '
		function flush() { if (name != "") print name "=" address ",slots=" slots }
		/^\[/ { flush(); name = "" }
		/^\[backend / { name = substr($2, 1, length($2) - 1) }
		/^address/ { address = $3 }
		/^slots/ { slots = $3 }
		END { flush() }' "$1"
}

# server_addresses prints HOST:PORT of each backend server of a configuration text.
server_addresses() { text_servers "$1" | sed 's/.*=\(.*\),slots=.*/\1/'; }

# FLEET_HOST is the loopback address to listen on. An address other than 127.0.0.1
# avoids conflicts with the ephemeral ports of outgoing connections.
FLEET_HOST=${FLEET_HOST:-127.0.0.1}

# wait_port PORT waits until a process listens on PORT of FLEET_HOST. It gives up after
# 100 attempts, 50 ms apart.
wait_port() {
	for _ in $(seq 100); do
		(exec 3<>"/dev/tcp/$FLEET_HOST/$1") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "timed out waiting for a listener on $FLEET_HOST:$1" >&2
	return 1
}

# start_entry INDEX writes the settings file of an entry instance and starts it.
start_entry() {
	local i=$1 zone name settings
	zone=${FLEET_ZONES[$((i % ${#FLEET_ZONES[@]}))]}
	name="entry-$((i + 1))-$zone"
	settings="$FLEET_DIR/$name.ini"
	cat >"$settings" <<-EOF
		[instance]
		id = $name
		zone = $zone
		[listen]
		callers = ${CALLERS[$i]}
		links = ${LINKS[$i]}
		control = ${CONTROLS[$i]}
		[platform]
		address = $PLATFORM
		[log]
		level = ${FLEET_LOG_LEVEL:-info}
		${FLEET_SETTINGS:-}
	EOF
	"$FLEET_BIN/primrosenotch-entry" --settings "$settings" >>"$FLEET_DIR/$name.log" 2>&1 &
	ENTRY_PIDS[i]=$!
	ENTRY_NAMES[i]=$name
}

# start_backends TEXT starts all backend servers of a configuration text.
start_backends() {
	local servers=() server
	while read -r server; do servers+=(--server "$server${FLEET_SERVER_OPTIONS:-,time=exponential:10ms,answer=2000}"); done < <(text_servers "$1")
	"$FLEET_BIN/primrosenotch-standin" backend "${servers[@]}" >"$FLEET_DIR/backends.log" 2>&1 &
	FLEET_PIDS+=($!)
	BACKENDS_PID=$!
}

# start_naive_proxy TEXT PORT starts a baseline proxy with the naive policy in front of
# the backend servers of a configuration text. It sets PROXY to HOST:PORT.
start_naive_proxy() {
	local servers=() server
	while read -r server; do servers+=(--backend "$server"); done < <(server_addresses "$1")
	PROXY=$FLEET_HOST:$2
	"$FLEET_BIN/primrosenotch-load" baseline --policy naive --listen "$PROXY" "${servers[@]}" >"$FLEET_DIR/proxy.log" 2>&1 &
	FLEET_PIDS+=($!)
	wait_port "$2"
}

fleet_start() {
	local text=$1 i
	FLEET_TEXT=$1
	FLEET_DIR=$2
	local base=$3 count=$4
	FLEET_BIN=${FLEET_BIN:-bin}
	mkdir -p "$FLEET_DIR"
	mapfile -t FLEET_ZONES < <(text_zones "$text")
	PLATFORM=$FLEET_HOST:$base
	"$FLEET_BIN/primrosenotch-standin" platform --listen "$PLATFORM" >"$FLEET_DIR/platform.log" 2>&1 &
	FLEET_PIDS+=($!)
	PLATFORM_PID=$!
	[ -n "${FLEET_NO_SERVERS:-}" ] || start_backends "$text"
	wait_port "$base"
	"$FLEET_BIN/primrosenotch" apply "$text" --platform "$PLATFORM" -m "fleet start" >"$FLEET_DIR/apply.log"
	for ((i = 0; i < count; i++)); do
		CALLERS[i]=$FLEET_HOST:$((base + 100 + i))
		LINKS[i]=$FLEET_HOST:$((base + 200 + i))
		CONTROLS[i]=$FLEET_HOST:$((base + 300 + i))
	done
	for ((i = 0; i < count; i++)); do start_entry "$i"; done
	for ((i = 0; i < count; i++)); do wait_port $((base + 100 + i)); done
}

# require_running fails if a process of the fleet has exited, and prints the last lines
# of its log.
require_running() {
	local i pid
	for i in "${!ENTRY_PIDS[@]}"; do
		kill -0 "${ENTRY_PIDS[i]}" 2>/dev/null && continue
		echo "entry instance $((i + 1)) exited; last log lines:" >&2
		tail -n 2 "$FLEET_DIR"/entry-$((i + 1))*.log >&2
		return 1
	done
	for pid in "${FLEET_PIDS[@]}"; do
		kill -0 "$pid" 2>/dev/null && continue
		echo "a stand-in process exited; last log lines from $FLEET_DIR:" >&2
		tail -qn 1 "$FLEET_DIR"/platform.log "$FLEET_DIR"/backend*.log >&2 || true
		return 1
	done
}

# fleet_stop stops the entry instances gracefully, then the stand-ins. It returns the
# number of entry instances that exited with a status other than 0.
fleet_stop() {
	local failed=0 pid
	for pid in "${ENTRY_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${ENTRY_PIDS[@]}"; do wait "$pid" || failed=$((failed + 1)); done
	for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${FLEET_PIDS[@]}"; do wait "$pid" || true; done
	ENTRY_PIDS=()
	FLEET_PIDS=()
	return "$failed"
}

# wait_ready waits until every entry instance is ready and knows an owner for each
# backend server of the configuration text. Readiness alone is not enough: an
# instance becomes ready before it owns any backend servers, and requests for
# servers without an owner are refused.
wait_ready() {
	local control slots status
	slots=$(text_servers "$FLEET_TEXT" | sed 's/.*slots=//' | sum_lines)
	for control in "${CONTROLS[@]}"; do
		for _ in $(seq 400); do
			require_running || return 1
			status=$(curl -sf -m 1 "http://$control/v1/status" 2>/dev/null) || status=
			[[ $status == *'"state":"ready"'* && $(usable_slots "$status") == "$slots" ]] && continue 2
			sleep 0.05
		done
		echo "timed out waiting for $control to be ready and know owners for all $slots slots" >&2
		return 1
	done
}

# usable_slots prints the sum of the usable slots of all zones in a status response.
usable_slots() {
	grep -o '"services":\[[^]]*\]' <<<"$1" | grep -o '"slots":[0-9]*' | sed 's/.*://' | sum_lines
}

sum_lines() { awk '{ sum += $1 } END { print sum + 0 }'; }
