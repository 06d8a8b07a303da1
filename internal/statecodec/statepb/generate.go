// Package statepb holds the messages of internal/statecodec.
package statepb

//go:generate sh ../../../scripts/protoc.sh internal/statecodec/statepb/state.proto
