#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off go build -buildvcs=false -o ../bin/rig2 .
cd ../10/rig
GOWORK=off go build -buildvcs=false -o ../../bin/seeds .
