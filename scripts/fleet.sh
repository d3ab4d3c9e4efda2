#!/usr/bin/env bash
# Starts and stops a whole fleet on loopback from an operators' text: the
# platform stand-in, every backend server of the text, and entry instances in
# each of its zones. To be sourced; see scripts/demo.sh.
#
#   fleet_start TEXT RUNDIR BASEPORT INSTANCES   starts everything, applies TEXT;
#       BASEPORT + 400 must stay below the system's ephemeral ports (32768 here)
#   start_naive TEXT PORT                        a plain proxy before the same servers
#   fleet_stop                                   ends everything gracefully
#
# Sets PLATFORM, CONTROLS and CALLERS (arrays of HOST:PORT) and ENTRY_PIDS.

FLEET_PIDS=()
ENTRY_PIDS=()
CONTROLS=()
CALLERS=()
LINKS=()
ENTRY_NAMES=()

# text_zones prints the zones of a text, one a line.
text_zones() { sed -n 's/^\[zone \(.*\)\]$/\1/p' "$1"; }

# text_servers prints NAME=ADDRESS,slots=N for each backend server of a text.
text_servers() {
	awk '
		function flush() { if (name != "") print name "=" address ",slots=" slots }
		/^\[/ { flush(); name = "" }
		/^\[backend / { name = substr($2, 1, length($2) - 1) }
		/^address/ { address = $3 }
		/^slots/ { slots = $3 }
		END { flush() }' "$1"
}

# server_addresses prints HOST:PORT of each backend server of a text.
server_addresses() { text_servers "$1" | sed 's/.*=\(.*\),slots=.*/\1/'; }

# FLEET_HOST is the loopback address to listen on. One other than 127.0.0.1 keeps
# clear of the ports that outgoing connections take.
FLEET_HOST=${FLEET_HOST:-127.0.0.1}

# wait_port waits until something listens on PORT of FLEET_HOST.
wait_port() {
	for _ in $(seq 100); do
		(exec 3<>"/dev/tcp/$FLEET_HOST/$1") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "nothing listens on port $1" >&2
	return 1
}

# start_entry INDEX writes the settings of an instance and starts it.
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

# start_backends TEXT starts every backend server of a text.
start_backends() {
	local servers=() s
	while read -r s; do servers+=(--server "$s${FLEET_SERVER_OPTIONS:-,time=exponential:10ms,answer=2000}"); done < <(text_servers "$1")
	"$FLEET_BIN/primrosenotch-standin" backend "${servers[@]}" >"$FLEET_DIR/backends.log" 2>&1 &
	FLEET_PIDS+=($!)
	BACKENDS_PID=$!
}

# start_naive TEXT PORT starts a baseline proxy with the naive policy before the
# servers of a text; sets PROXY.
start_naive() {
	local servers=() s
	while read -r s; do servers+=(--backend "$s"); done < <(server_addresses "$1")
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

# require_running fails, and says which and why, if a process of the fleet has ended.
require_running() {
	local i pid
	for i in "${!ENTRY_PIDS[@]}"; do
		kill -0 "${ENTRY_PIDS[i]}" 2>/dev/null && continue
		echo "entry instance $((i + 1)) of the fleet ended:" >&2
		tail -n 2 "$FLEET_DIR"/entry-$((i + 1))*.log >&2
		return 1
	done
	for pid in "${FLEET_PIDS[@]}"; do
		kill -0 "$pid" 2>/dev/null && continue
		echo "a stand-in of the fleet ended; its log is in $FLEET_DIR:" >&2
		tail -qn 1 "$FLEET_DIR"/platform.log "$FLEET_DIR"/backend*.log >&2 || true
		return 1
	done
}

# fleet_stop ends the entry instances gracefully, then the stand-ins. It returns
# the number of entry instances that did not exit with 0.
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

# wait_ready waits until every entry instance is ready with the configuration and
# knows an owner for each backend server of the text: an instance is ready some
# time before it owns anything, and what nobody owns is refused.
wait_ready() {
	local c slots status
	slots=$(text_servers "$FLEET_TEXT" | sed 's/.*slots=//' | sum_lines)
	for c in "${CONTROLS[@]}"; do
		for _ in $(seq 400); do
			require_running || return 1
			status=$(curl -sf -m 1 "http://$c/v1/status" 2>/dev/null) || status=
			[[ $status == *'"state":"ready"'* && $(known_slots "$status") == "$slots" ]] && continue 2
			sleep 0.05
		done
		echo "$c does not know an owner for each of $slots slots" >&2
		return 1
	done
}

# known_slots adds up the usable slots of all zones in a status answer.
known_slots() {
	grep -o '"services":\[[^]]*\]' <<<"$1" | grep -o '"slots":[0-9]*' | sed 's/.*://' | sum_lines
}

sum_lines() { awk '{ sum += $1 } END { print sum + 0 }'; }
