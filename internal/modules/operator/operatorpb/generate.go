// Package operatorpb holds the messages that the operator APIs of VMs exchange.
package operatorpb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/operator/operatorpb/operator.proto
