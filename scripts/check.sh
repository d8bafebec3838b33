#!/bin/sh
# Formatter, linter and generated code: fails if any of them would change or report something,
# and if a compiled program is tracked.
set -eu
cd "$(dirname "$0")/.."
. scripts/modules.sh
PATH="$PWD/.tools:$PATH"
export PATH
programs=$(git ls-files -s | awk '$1 == 100755 { print $4 }' | while read -r f; do
	if [ -e "$f" ] && [ "$(head -c 4 "$f" | tail -c 3)" = ELF ]; then echo "$f"; fi
done)
if [ -n "$programs" ]; then
	echo "compiled programs are tracked:"
	echo "$programs"
	exit 1
fi
bad=$(gofumpt -l $(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$' | grep -v -e '_drpc' -e '_string\.go$' | while read -r f; do [ -e "$f" ] && echo "$f"; done))
if [ -n "$bad" ]; then
	echo "not formatted by gofumpt:"
	echo "$bad"
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
	echo "generated code was out of date; commit the result of go generate"
	exit 1
fi
