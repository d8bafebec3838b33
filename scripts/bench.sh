#!/bin/sh
# Runs the benchmark of the request path and the four measurements of bulrush-bench.
# Results are written to out/, those of bulrush-bench also as CSV.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
go test ./e2e -run '^$' -bench '^BenchmarkPath$' -benchtime 1x | tee out/path.txt
bin/bulrush-bench | tee out/measures.txt
