// Package peerpb holds the messages of the protocol between processes.
package peerpb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/peer/peerpb/peer.proto
