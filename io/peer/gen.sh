#!/usr/bin/env bash
# Regenerates peerpb from peer.proto. Needs protoc; the plugins come from the
# versions pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=peerpb --go_opt=paths=source_relative \
	--go-grpc_out=peerpb --go-grpc_opt=paths=source_relative peer.proto
