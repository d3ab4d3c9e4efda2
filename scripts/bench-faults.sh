#!/usr/bin/env bash
# Fault injectors that scripts/bench.sh runs concurrently with a load. Each takes
# the path of the JSON file for its result and the entry instances as
# HOST:PORT,HOST:PORT.

# FAULT_AFTER is the delay between the start of a load and its fault, in seconds.
FAULT_AFTER=5

# clear_faults clears the faults of all backend servers.
clear_faults() {
	local address
	for address in $(server_addresses "$FLEET_TEXT"); do
		curl -sf -m 2 -X PUT "http://$address/standin/faults" -d '{}' >/dev/null
	done
	sleep 3
}

# silence_connections silences all open connections of all backend servers.
silence_connections() {
	local address
	sleep "$FAULT_AFTER"
	for address in $(server_addresses "$FLEET_TEXT"); do curl -sf -m 2 -X POST "http://$address/standin/silence" >/dev/null; done
	echo '{"silenced":"every open connection of every server"}' >"$1"
}

# delay_status_reports delays all status reports by 5 s from the start of the load.
# At the fault, the first server becomes ten times slower and reports itself idle.
delay_status_reports() {
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

# name_limit makes the first server name a limit of one request a second.
name_limit() { switch_first_server "$1" '{"limit":1}'; }

# refuse_with_retry_after makes the first server refuse all requests for 3 s.
refuse_with_retry_after() { switch_first_server "$1" '{"retry_after_s":3}'; }

# say_leaving makes the first server say that it leaves.
say_leaving() { switch_first_server "$1" '{"draining":true}'; }

# switch_first_server RESULT FAULTS sets the faults of the first server and counts the requests
# that it gets in each of the next FAULT_SECONDS seconds.
FAULT_SECONDS=12
switch_first_server() {
	local first i counts=()
	first=$(server_addresses "$FLEET_TEXT" | head -1)
	sleep "$FAULT_AFTER"
	curl -sf -m 2 -X PUT "http://$first/standin/faults" -d "$2" >/dev/null
	for ((i = 0; i <= FAULT_SECONDS; i++)); do
		counts+=("$(curl -sf -m 2 "http://$first/_runs" | jq '.started + .shed')")
		sleep 1
	done
	jq -n --argjson faults "$2" '$ARGS.positional as $c
		| {server: "the first", faults: $faults, by_second: [range(1; $c | length) | $c[.] - $c[. - 1]]}' \
		--jsonargs "${counts[@]}" >"$1"
}

# resend_crashing_request sends a request that crashes backend servers 12 times,
# each time through the next entry instance.
resend_crashing_request() {
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

# count_crashes prints the total number of crashes of all backend servers. It
# retries servers that are down.
count_crashes() {
	local address
	for address in $(server_addresses "$FLEET_TEXT"); do
		curl -s -m 2 --retry 5 --retry-connrefused --retry-delay 1 "http://$address/_runs" | jq .crashes
	done | sum_lines
}
