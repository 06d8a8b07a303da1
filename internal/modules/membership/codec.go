package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec/routespb"
)

func encodeRoutes(t *routes.Table) *routespb.Table { return routescodec.ToTable(t) }

func encodeLeaf(l *leaves.Leaf) *membershippb.Leaf {
	return &membershippb.Leaf{
		Id: l.ID, Service: string(l.Service), Address: l.Address, AvailabilityZone: string(l.AvailabilityZone),
		Slots: uint32(l.Slots), State: uint32(l.State), BornMs: l.BornMS, Sequence: l.Sequence,
		WarmUpLeftMs: l.WarmUpLeft.Milliseconds(), Origin: string(l.Origin),
	}
}

func decodeLeaf(x *membershippb.Leaf) leaves.Leaf {
	return leaves.Leaf{
		ID: x.GetId(), Service: model.ServiceName(x.GetService()), Address: x.GetAddress(), AvailabilityZone: model.AvailabilityZone(x.GetAvailabilityZone()),
		Slots: int(x.GetSlots()), State: leaves.State(x.GetState()), BornMS: x.GetBornMs(), Sequence: x.GetSequence(),
		WarmUpLeft: time.Duration(x.GetWarmUpLeftMs()) * time.Millisecond, Origin: model.VMName(x.GetOrigin()),
	}
}

func decodeNews(data []byte) (news, error) {
	var x membershippb.WatchReply
	if err := proto.Unmarshal(data, &x); err != nil {
		return news{}, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "the answer to a watch cannot be decoded")
	}
	n := news{incarnation: x.GetIncarnation(), position: x.GetPosition(), complete: x.GetComplete(), entryVMs: int(x.GetEntryVms())}
	for _, l := range x.GetLeaves() {
		if s := leaves.State(l.GetState()); s < leaves.Ready || s > leaves.Lapsed {
			return news{}, errs.New(errs.KindInvalid, "run the same release on all VMs", "leaf %s has the unknown state %d", l.GetId(), s)
		}
		n.leaves = append(n.leaves, decodeLeaf(l))
	}
	for _, vm := range x.GetControlVms() {
		n.controlVMs = append(n.controlVMs, model.VMName(vm))
	}
	if x.GetRoutes() != nil {
		t, err := routescodec.FromTable(x.GetRoutes())
		if err != nil {
			return news{}, err
		}
		n.routes = t
	}
	return n, nil
}
