#!/usr/bin/env bash
# Starts and stops a whole fleet on loopback from an operators' text: the
# platform stand-in, every backend server of the text, and entry instances in
# each of its zones. To be sourced; see scripts/demo.sh.
#
#   fleet_start TEXT RUNDIR BASEPORT INSTANCES   starts everything, applies TEXT
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

fleet_start() {
	local text=$1 i
	FLEET_DIR=$2
	local base=$3 count=$4
	FLEET_BIN=${FLEET_BIN:-bin}
	mkdir -p "$FLEET_DIR"
	mapfile -t FLEET_ZONES < <(text_zones "$text")
	PLATFORM=$FLEET_HOST:$base
	"$FLEET_BIN/primrosenotch-standin" platform --listen "$PLATFORM" >"$FLEET_DIR/platform.log" 2>&1 &
	FLEET_PIDS+=($!)
	PLATFORM_PID=$!
	local servers=()
	while read -r s; do servers+=(--server "$s${FLEET_SERVER_OPTIONS:-,time=exponential:10ms,answer=2000}"); done < <(text_servers "$text")
	"$FLEET_BIN/primrosenotch-standin" backend "${servers[@]}" >"$FLEET_DIR/backends.log" 2>&1 &
	FLEET_PIDS+=($!)
	BACKENDS_PID=$!
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

# wait_ready waits until every entry instance is ready with the configuration.
wait_ready() {
	local c
	for c in "${CONTROLS[@]}"; do
		for _ in $(seq 200); do
			curl -sf -m 1 "http://$c/v1/status" 2>/dev/null | grep -q '"state":"ready"' && break
			sleep 0.05
		done
	done
}
