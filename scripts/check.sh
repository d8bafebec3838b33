#!/bin/sh
# Checks formatting, lint and generated code. Fails if a file is not formatted, the
# linter reports an issue, generated code is out of date, or git tracks a compiled program.
set -eu
cd "$(dirname "$0")/.."
. scripts/modules.sh
PATH="$PWD/.tools:$PATH"
export PATH
programs=$(git ls-files -s | awk '$1 == 100755 { print $4 }' | while read -r f; do
	if [ -e "$f" ] && [ "$(head -c 4 "$f" | tail -c 3)" = ELF ]; then echo "$f"; fi
done)
if [ -n "$programs" ]; then
	echo "compiled programs tracked by git:"
	echo "$programs"
	exit 1
fi
unformatted=$(gofumpt -l $(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$' | grep -v -e '_drpc' -e '_string\.go$' | while read -r f; do [ -e "$f" ] && echo "$f"; done))
if [ -n "$unformatted" ]; then
	echo "not formatted by gofumpt:"
	echo "$unformatted"
	exit 1
fi
for m in $(modules); do
	(cd "$m" && golangci-lint run ./...)
done
before=$(find . -name '*_string.go' -not -path './.tools/*' | sort | xargs cat | cksum)
for m in $(modules); do
	(cd "$m" && go generate ./...)
done
after=$(find . -name '*_string.go' -not -path './.tools/*' | sort | xargs cat | cksum)
if [ "$before" != "$after" ]; then
	echo "generated code is out of date; commit the result of go generate"
	exit 1
fi
