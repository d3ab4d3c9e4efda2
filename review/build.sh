#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/rig ./review/rig
