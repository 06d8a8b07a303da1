#!/bin/sh
# Generates logpb from log.proto with the plug-in that go.mod declares.
set -eu
plugin=$(mktemp -d)
trap 'rm -rf "$plugin"' EXIT
go build -o "$plugin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin="$plugin/protoc-gen-go" --go_out=logpb --go_opt=paths=source_relative -I logpb logpb/log.proto
