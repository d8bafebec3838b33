#!/bin/sh
# Regenerates the committed protobuf and drpc code. Requires protoc, protoc-gen-go and
# protoc-gen-go-drpc in PATH.
set -eu
cd "$(dirname "$0")"
protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. wire.proto relay.proto
