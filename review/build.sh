#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../bin/rig .
