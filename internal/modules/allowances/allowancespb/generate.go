// Package allowancespb holds the messages of the protocol between entry VMs about allowances.
package allowancespb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/allowances/allowancespb/allowances.proto
