// Package gossippb holds the messages of the gossip about targets.
package gossippb

//go:generate sh ../../../../scripts/protoc.sh internal/modules/directory/gossippb/gossip.proto
