.PHONY: build test check demo bench tools

build:
	scripts/build.sh

# Formatter, linter, generated code, and all tests with the race detector.
test: check
	scripts/test.sh

check: tools
	scripts/check.sh

tools:
	scripts/tools.sh

# Runs the whole system on loopback for some seconds, with failures on the way.
demo: build
	scripts/demo.sh

bench: build
	scripts/bench.sh
