#!/usr/bin/env bash
# Plays the case of this folder with real processes; see rig/main.go. TROUBLE=0 leaves the disruption
# out. The program is built by review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
program=review/bin/seeds
[ -x target/platform ] && [ -x "$program" ] || { echo "not built"; exit 2; }
RECORD=review/10/record.txt exec timeout --kill-after=5 115 "$program"
