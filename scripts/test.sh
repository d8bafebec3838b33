#!/bin/sh
# Runs all tests. Tests listed in KNOWN-RED.txt (lines "test: NAME") are skipped and printed.
set -eu
cd "$(dirname "$0")/.."
. scripts/modules.sh
skip=$(sed -n 's/^test: *\([A-Za-z0-9_/]*\).*$/\1/p' KNOWN-RED.txt | paste -sd '|' -)
if [ -n "$skip" ]; then
	echo "skipped, see KNOWN-RED.txt: $skip"
	skip="-skip=^($skip)\$"
fi
race=-race
# The race detector needs cgo.
command -v "${CC:-gcc}" >/dev/null 2>&1 || race=
for m in $(modules); do
	echo "== $m"
	(cd "$m" && go vet ./... && go test $race -count=1 -timeout 20m $skip ./...)
done
