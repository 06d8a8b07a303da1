// Package forwardpb holds the answers of control VMs to forwarded calls.
package forwardpb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/controlclient/forwardpb/forward.proto
