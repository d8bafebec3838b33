#!/bin/sh
# Builds the pinned versions of formatter, linter and code generator into .tools, unless
# they are there already.
set -eu
cd "$(dirname "$0")/.."
GOBIN="$PWD/.tools"
export GOBIN
install_tool() {
	# The stamp file names the version, so that a changed pin triggers a rebuild.
	stamp="$GOBIN/.$1-$3"
	[ -e "$stamp" ] || { GOWORK=off go install "$2@$3" && touch "$stamp"; }
}
mkdir -p "$GOBIN"
install_tool gofumpt mvdan.cc/gofumpt v0.12.0
install_tool golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint v2.15.0
install_tool stringer golang.org/x/tools/cmd/stringer v0.52.0
