#!/bin/sh
# Builds all programs into bin/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for m in entry agent standin load bench; do
	go build -o "bin/bulrush-$m" "./$m"
done
go build -o bin/bulrush-control ./control/bulrush-control
go build -o bin/bulrushpath ./ctl
