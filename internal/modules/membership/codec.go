package membership

import (
	"math"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec/routespb"
)

// maxAttempts exceeds the number of attempts that all entry VMs together send to one leaf within the time that evidence
// counts.
const maxAttempts = 1e6

// maxWarmUpMS is the longest warm-up that fits into a time.Duration with a margin, one year.
const maxWarmUpMS = 365 * 24 * 60 * 60 * 1000

func routesToProto(t *routes.Table) *routespb.Table { return routescodec.TableToProto(t) }

func leafToProto(l *leaves.Leaf) *membershippb.Leaf {
	return &membershippb.Leaf{
		Id: l.ID, Service: string(l.Service), Address: l.Address, AvailabilityZone: string(l.AvailabilityZone),
		Slots: uint32(l.Slots), State: uint32(l.State), BornMs: l.BornMS, Sequence: l.Sequence,
		WarmUpLeftMs: l.WarmUpLeft.Milliseconds(), Origin: string(l.Origin),
	}
}

// leafFromProto returns an error of kind invalid for a record that no leaf can have.
func leafFromProto(in *membershippb.Leaf) (leaves.Leaf, error) {
	if state := in.GetState(); state > uint32(leaves.Expired) {
		return leaves.Leaf{}, errs.New(errs.KindInvalid, "run the same release on all VMs", "leaf %.64q has the unknown state %d", in.GetId(), state)
	}
	l := leaves.Leaf{
		ID: in.GetId(), Service: model.ServiceName(in.GetService()), Address: in.GetAddress(), AvailabilityZone: model.AvailabilityZone(in.GetAvailabilityZone()),
		Slots: int(in.GetSlots()), State: leaves.State(in.GetState()), BornMS: in.GetBornMs(), Sequence: in.GetSequence(),
		WarmUpLeft: time.Duration(min(in.GetWarmUpLeftMs(), maxWarmUpMS)) * time.Millisecond, Origin: model.VMName(in.GetOrigin()),
	}
	return l, l.Check()
}

func evidenceToProto(list []leaves.Evidence) *membershippb.LeafReport {
	out := &membershippb.LeafReport{}
	for _, e := range list {
		out.Leaves = append(out.Leaves, &membershippb.LeafEvidence{Id: e.Leaf.ID, BornMs: e.Leaf.BornMS, Attempts: uint32(e.Attempts), Bad: uint32(e.Bad)})
	}
	return out
}

// evidenceFromProto refuses numbers that no VM sends, since evidence of that size would take a long time to decay.
func evidenceFromProto(in *membershippb.LeafReport) (list []leaves.Evidence, err error) {
	for _, l := range in.GetLeaves() {
		if l.GetAttempts() > maxAttempts || l.GetBad() > l.GetAttempts() {
			return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "leaf %s is reported with %d of %d attempts bad", l.GetId(), l.GetBad(), l.GetAttempts())
		}
		leaf := leaves.Incarnation{ID: l.GetId(), BornMS: l.GetBornMs()}
		list = append(list, leaves.Evidence{Leaf: leaf, Attempts: float64(l.GetAttempts()), Bad: float64(l.GetBad())})
	}
	return list, nil
}

func outliersToProto(outliers leaves.Outliers) *membershippb.LeafTrouble {
	out := &membershippb.LeafTrouble{}
	for leaf, share := range outliers {
		out.Leaves = append(out.Leaves, &membershippb.TroubledLeaf{Id: leaf.ID, BornMs: leaf.BornMS, SharePercent: uint32(math.Round(100 * share))})
	}
	return out
}

func outliersFromProto(in *membershippb.LeafTrouble) (leaves.Outliers, error) {
	out := leaves.Outliers{}
	for _, l := range in.GetLeaves() {
		if l.GetSharePercent() > 100 {
			return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "leaf %s is listed as an outlier with %d%% of its attempts bad", l.GetId(), l.GetSharePercent())
		}
		out[leaves.Incarnation{ID: l.GetId(), BornMS: l.GetBornMs()}] = float64(l.GetSharePercent()) / 100
	}
	return out, nil
}

func decodeUpdate(data []byte) (update, error) {
	reply, err := decodeReply(data)
	if err != nil {
		return update{}, err
	}
	u := update{incarnation: reply.GetIncarnation(), tableVersion: reply.GetPosition(), complete: reply.GetComplete(), entryVMs: int(reply.GetEntryVms())}
	for _, l := range reply.GetLeaves() {
		if leaf, err := leafFromProto(l); err != nil {
			u.invalid = append(u.invalid, err)
		} else {
			u.leaves = append(u.leaves, leaf)
		}
	}
	u.outlierVersion, u.outliersIncluded = reply.GetTroubleVersion(), reply.GetGathered() != nil || reply.GetTrouble() != nil
	if u.evidence, err = evidenceFromProto(reply.GetGathered()); err != nil {
		return update{}, err
	}
	if u.outliers, err = outliersFromProto(reply.GetTrouble()); err != nil {
		return update{}, err
	}
	u.owners, u.ownersDigest = ownersFromProto(reply.GetOwners()), reply.GetOwners().GetDigest()
	for _, vm := range reply.GetControlVms() {
		u.controlVMs = append(u.controlVMs, model.VMName(vm))
	}
	u.evacuations = routescodec.EvacuationsFromProto(reply.GetEvacuations())
	if reply.GetRoutes() != nil {
		t, err := routescodec.TableFromProto(reply.GetRoutes())
		if err != nil {
			return update{}, err
		}
		u.routes = t
	}
	return u, nil
}
