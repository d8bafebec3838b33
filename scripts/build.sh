#!/bin/sh
# Builds all programs into bin/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for m in standin load bench; do
	go build -o "bin/bulrush-$m" "./$m"
done
for m in entry agent control; do
	go build -o "bin/bulrush-$m" "./$m/bulrush-$m"
done
go build -o bin/bulrushpath ./ctl
