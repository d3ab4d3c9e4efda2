#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 3 117 review/bin/rig -case crash-crowded -record review/4/record.txt -trouble="${TROUBLE:-1}"
