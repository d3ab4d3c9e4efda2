#!/usr/bin/env bash
# Faults that scripts/bench.sh brings about beside a load. Each takes the file for
# what it saw, as JSON, and the entry instances as HOST:PORT,HOST:PORT.

# FAULT_AFTER is the time from the start of a load to its fault.
FAULT_AFTER=5

# clear_faults ends the faults of every server.
clear_faults() {
	local address
	for address in $(server_addresses "$FLEET_TEXT"); do
		curl -sf -m 2 -X PUT "http://$address/standin/faults" -d '{}' >/dev/null
	done
	sleep 3
}

# silence_servers makes the connections that are open go silent, on every server.
silence_servers() {
	local address
	sleep "$FAULT_AFTER"
	for address in $(server_addresses "$FLEET_TEXT"); do curl -sf -m 2 -X POST "http://$address/standin/silence" >/dev/null; done
	echo '{"silenced":"every open connection of every server"}' >"$1"
}

# lag_reports lets every report lag by 5 s from the start; later the first server
# slows down tenfold and reports that it is idle.
lag_reports() {
	local address first
	first=$(server_addresses "$FLEET_TEXT" | head -1)
	for address in $(server_addresses "$FLEET_TEXT"); do
		curl -sf -m 2 -X PUT "http://$address/standin/faults" -d '{"status_lag_ms":5000}' >/dev/null
	done
	sleep "$FAULT_AFTER"
	curl -sf -m 2 -X PUT "http://$first/standin/faults" \
		-d '{"status_lag_ms":5000,"slowdown":10,"status_lie":{"healthy":true,"in_use":0,"slots":3}}' >/dev/null
	echo '{"lying":"the first server, ten times slower from the fault on"}' >"$1"
}

# resend_crashing sends one request that crashes servers, and sends it again
# through the next entry instance, 12 times in all.
resend_crashing() {
	local entries i codes=() before
	before=$(count_crashes)
	IFS=, read -ra entries <<<"$2"
	sleep "$FAULT_AFTER"
	for ((i = 0; i < 12; i++)); do
		codes+=("$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'X-Crash: true' -H 'X-Deadline-Ms: 1000' \
			"http://${entries[i % ${#entries[@]}]}/read/crash" || true)")
		sleep 0.3
	done
	jq -n --argjson crashes "$(($(count_crashes) - before))" --arg codes "${codes[*]}" \
		'{resent: 12, crashes: $crashes, codes: $codes}' >"$1"
}

# count_crashes adds up the crashes of all servers, waiting for those that are down.
count_crashes() {
	local address
	for address in $(server_addresses "$FLEET_TEXT"); do
		curl -s -m 2 --retry 5 --retry-connrefused --retry-delay 1 "http://$address/_runs" | jq .crashes
	done | sum_lines
}
