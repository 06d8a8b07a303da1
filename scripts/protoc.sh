#!/bin/sh
# Generates the Go code of protobuf files, given by their paths from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative "$@"
