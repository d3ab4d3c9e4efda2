#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review. Run it in the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/rig3 ./review/rig3
