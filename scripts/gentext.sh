#!/usr/bin/env bash
# Prints a configuration text of a given size, for measurements.
#   gentext.sh ZONES SERVERS BLOCKS [FIRST_PORT]
# Distributes zones over at most 6 regions, backend servers (3 slots each) over 4
# services and all zones, and address blocks (/28, from 10.0.0.0/8 upwards) over one
# caller group per zone.
set -euo pipefail
zones=$1 servers=$2 blocks=$3 port=${4:-50000}
awk -v zones="$zones" -v servers="$servers" -v blocks="$blocks" -v port="$port" 'BEGIN {
	regions = zones < 6 ? zones : 6
	for (z = 0; z < zones; z++) printf "[zone z%d]\nregion = r%d\n", z, z % regions
	for (s = 0; s < 4; s++) {
		printf "[service s%d]\ntarget = 99.9%% in 300ms\n", s
		printf "[route get-s%d]\nservice = s%d\nmatch = GET /s%d/*\nrank = normal\nkind = read\ndeadline = 1s\n", s, s, s
		printf "[route post-s%d]\nservice = s%d\nmatch = POST /s%d\nrank = urgent\nkind = once\ndeadline = 1s\n", s, s, s
	}
	for (b = 0; b < servers; b++)
		printf "[backend b%d]\nservice = s%d\nzone = z%d\naddress = 127.0.%d.1:%d\nslots = 3\n", b, int(b / zones) % 4, b % zones, 1 + int(b / 10000), port + b % 10000
	for (z = 0; z < zones; z++) {
		n = 0
		for (i = z; i < blocks; i += zones) {
			a = i * 16
			sep = n++ ? ", " : "blocks = "
			if (n == 1) printf "[callers c%d]\nhome = z%d\n", z, z
			printf "%s%d.%d.%d.%d/28", sep, 10 + int(a / 16777216), int(a / 65536) % 256, int(a / 256) % 256, a % 256
		}
		if (n) printf "\n"
	}
	print "[limits]\nshift cap = 10% of capacity per 30s"
}'
