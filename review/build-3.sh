#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -eu
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-rig3 .
