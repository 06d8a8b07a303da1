package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/gossip"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/directory/gossippb"
)

var statesToWire = map[model.TargetState]gossippb.State{
	model.TargetCold: gossippb.State_STATE_COLD, model.TargetServing: gossippb.State_STATE_SERVING,
	model.TargetDraining: gossippb.State_STATE_DRAINING, model.TargetLeaving: gossippb.State_STATE_LEAVING,
}

var statesFromWire = map[gossippb.State]model.TargetState{
	gossippb.State_STATE_COLD: model.TargetCold, gossippb.State_STATE_SERVING: model.TargetServing,
	gossippb.State_STATE_DRAINING: model.TargetDraining, gossippb.State_STATE_LEAVING: model.TargetLeaving,
}

func encodeMessage(m gossip.Message) ([]byte, error) {
	out := &gossippb.Message{}
	switch m := m.(type) {
	case gossip.Changes:
		out.Body = &gossippb.Message_Changes{Changes: changesToProto(m)}
	case gossip.Report:
		out.Body = &gossippb.Message_Report{Report: stampToProto(m.Stamp)}
	case gossip.VectorUpdate:
		v := &gossippb.VectorUpdate{Scope: uint32(m.Scope), Put: entriesToProto(m.Put), Hash: m.Hash}
		for _, vm := range m.Removed {
			v.Removed = append(v.Removed, string(vm))
		}
		out.Body = &gossippb.Message_Vector{Vector: v}
	}
	return proto.Marshal(out)
}

func decodeMessage(data []byte) (gossip.Message, error) {
	var in gossippb.Message
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, wrapDecodeError(err)
	}
	switch b := in.GetBody().(type) {
	case *gossippb.Message_Changes:
		return changesFromProto(b.Changes)
	case *gossippb.Message_Report:
		return gossip.Report{Stamp: stampFromProto(b.Report)}, nil
	case *gossippb.Message_Vector:
		v := gossip.VectorUpdate{Scope: gossip.Scope(b.Vector.GetScope()), Put: entriesFromProto(b.Vector.GetPut()), Hash: b.Vector.GetHash()}
		for _, vm := range b.Vector.GetRemoved() {
			v.Removed = append(v.Removed, model.VMName(vm))
		}
		return v, nil
	}
	return nil, errs.New(errs.KindInvalid, "upgrade this VM", "gossip message has an unknown type")
}

func wrapDecodeError(err error) error {
	return errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "gossip message cannot be decoded")
}

func changesToProto(m gossip.Changes) *gossippb.Changes {
	d := m.Delta
	out := &gossippb.Changes{
		Hop: uint32(m.Hop), Origin: string(d.Origin), Incarnation: d.Incarnation, From: d.From, To: d.To, Digest: d.Digest,
		Put: recordsToProto(d.Put),
	}
	for _, k := range d.Removed {
		out.Removed = append(out.Removed, keyToProto(k))
	}
	return out
}

func changesFromProto(in *gossippb.Changes) (gossip.Message, error) {
	records, err := recordsFromProto(in.GetPut())
	if err != nil {
		return nil, err
	}
	d := gossip.Delta{
		Origin: model.VMName(in.GetOrigin()), Incarnation: in.GetIncarnation(), From: in.GetFrom(), To: in.GetTo(),
		Digest: in.GetDigest(), Put: records,
	}
	for _, k := range in.GetRemoved() {
		d.Removed = append(d.Removed, keyFromProto(k))
	}
	return gossip.Changes{Delta: d, Hop: gossip.Hop(in.GetHop())}, nil
}

func keyToProto(k model.TargetKey) *gossippb.Key {
	return &gossippb.Key{Service: string(k.Service), Id: string(k.ID)}
}

func keyFromProto(k *gossippb.Key) model.TargetKey {
	return model.TargetKey{Service: model.ServiceName(k.GetService()), ID: model.TargetID(k.GetId())}
}

func stampToProto(s gossip.Stamp) *gossippb.Stamp {
	return &gossippb.Stamp{Incarnation: s.Incarnation, Version: s.Version, Digest: s.Digest}
}

func stampFromProto(s *gossippb.Stamp) gossip.Stamp {
	return gossip.Stamp{Incarnation: s.GetIncarnation(), Version: s.GetVersion(), Digest: s.GetDigest()}
}

func entriesToProto(entries []gossip.Entry) []*gossippb.Entry {
	out := make([]*gossippb.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &gossippb.Entry{Origin: string(e.Origin), Stamp: stampToProto(e.Stamp)})
	}
	return out
}

func entriesFromProto(entries []*gossippb.Entry) []gossip.Entry {
	out := make([]gossip.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, gossip.Entry{Origin: model.VMName(e.GetOrigin()), Stamp: stampFromProto(e.GetStamp())})
	}
	return out
}

func recordsToProto(records []*model.Announcement) []*gossippb.Record {
	out := make([]*gossippb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, recordToProto(r))
	}
	return out
}

func recordToProto(a *model.Announcement) *gossippb.Record {
	r := &gossippb.Record{
		Service: string(a.Service), Id: string(a.ID), AvailabilityZone: string(a.AvailabilityZone), Address: a.Addr,
		Incarnation: a.Incarnation, Sequence: a.Sequence, State: statesToWire[a.State],
		Layout: uint64(a.Layout.Number), LayoutDigest: a.Layout.Digest, Shards: make([]uint32, len(a.Shards)),
		IndexVersions: make([]uint64, len(a.IndexVersions)), Slots: uint32(a.Slots), ConnectionLimit: uint32(a.ConnectionLimit),
		LeaseMs: uint64(a.Lease.Milliseconds()),
	}
	for i, s := range a.Shards {
		r.Shards[i] = uint32(s)
	}
	for i, v := range a.IndexVersions {
		r.IndexVersions[i] = uint64(v)
	}
	return r
}

func recordsFromProto(in []*gossippb.Record) ([]*model.Announcement, error) {
	out := make([]*model.Announcement, 0, len(in))
	for _, r := range in {
		a, err := recordFromProto(r)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func recordFromProto(r *gossippb.Record) (*model.Announcement, error) {
	state, ok := statesFromWire[r.GetState()]
	if !ok || r.GetService() == "" || r.GetId() == "" || r.GetAddress() == "" {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "gossip record of %q has state %d and address %q", r.GetService()+"/"+r.GetId(), r.GetState(), r.GetAddress())
	}
	a := &model.Announcement{
		Service: model.ServiceName(r.GetService()), ID: model.TargetID(r.GetId()),
		AvailabilityZone: model.AvailabilityZone(r.GetAvailabilityZone()), Addr: r.GetAddress(),
		Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), State: state,
		Layout: model.LayoutRef{Number: model.LayoutNumber(r.GetLayout()), Digest: r.GetLayoutDigest()},
		Slots:  int(r.GetSlots()), ConnectionLimit: int(r.GetConnectionLimit()),
		Lease: time.Duration(min(r.GetLeaseMs(), uint64(time.Hour/time.Millisecond))) * time.Millisecond,
	}
	for _, s := range r.GetShards() {
		a.Shards = append(a.Shards, model.ShardID(s))
	}
	for _, v := range r.GetIndexVersions() {
		a.IndexVersions = append(a.IndexVersions, model.IndexVersion(v))
	}
	return a, nil
}
