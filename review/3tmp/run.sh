#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 115 review/bin/rig -case crash-popular -record review/1/record.txt -trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)"
