package directory

import (
	"reflect"
	"testing"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/gossip"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against gossip messages that crash a VM, or that change when they are decoded and encoded.
func FuzzDecodeMessage(f *testing.F) {
	record := &model.Announcement{
		Service: "depot", ID: "leaf", AvailabilityZone: "az-1", Addr: "127.0.0.1:1", Incarnation: 1, Sequence: 2, State: model.TargetCold,
		Layout: model.LayoutRef{Number: 1, Digest: 3}, Shards: []model.ShardID{1}, IndexVersions: []model.IndexVersion{4}, Slots: 2, Lease: time.Second,
	}
	for _, m := range []gossip.Message{
		gossip.Changes{Hop: gossip.HopZone, Delta: gossip.Delta{Origin: "vm-1", Incarnation: 1, From: 1, To: 2, Put: []*model.Announcement{record}, Removed: []model.TargetKey{record.Key()}}},
		gossip.Report{Stamp: gossip.Stamp{Incarnation: 1, Version: 2, Digest: 3}},
		gossip.VectorUpdate{Scope: gossip.ScopeAll, Put: []gossip.Entry{{Origin: "vm-1"}}, Removed: []model.VMName{"vm-2"}, Hash: 1},
	} {
		data, err := encodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		node := gossip.NewNode(gossip.Config{Self: "vm-9", Zone: "az-1", Interval: time.Second, ExpireAfter: 3 * time.Second})
		node.HandleMessage(time.Unix(1, 0), "vm-1", m)
		node.Tick(time.Unix(2, 0))
		data, err = encodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeMessage(data)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%+v was decoded as %+v after encoding: %v", m, again, err)
		}
	})
}
