// Package disseminationpb holds the messages that carry the replicated state between VMs.
package disseminationpb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/dissemination/disseminationpb/dissemination.proto
