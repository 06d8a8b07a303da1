package routes

import (
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// EvacuationOrder starts or ends the evacuation of an availability zone.
type EvacuationOrder struct {
	Zone model.AvailabilityZone
	End  bool
	// BasedOn is the revision of the evacuations that the order changes.
	BasedOn uint64
}

// OrderOutcome is the outcome of an evacuation order.
type OrderOutcome string

// The outcomes of evacuation orders.
const (
	// OrderApplied means that the order has changed the evacuations.
	OrderApplied OrderOutcome = "in_force"
	// OrderAlreadyDone means that the evacuations are as the order wants them, so that nothing has changed.
	OrderAlreadyDone OrderOutcome = "already_done"
	// OrderConflict means that the order is based on another revision and has had no effect.
	OrderConflict OrderOutcome = "conflict"
)

// Apply returns the evacuations after an order. An order that is based on another revision changes nothing: it may be a delayed copy of
// one that has been reversed since.
func (e Evacuations) Apply(o EvacuationOrder) (Evacuations, OrderOutcome) {
	switch {
	case e.Has(o.Zone) != o.End:
		return e, OrderAlreadyDone
	case o.BasedOn != e.Revision:
		return e, OrderConflict
	}
	i, _ := slices.BinarySearch(e.Zones, o.Zone)
	next := Evacuations{Revision: e.Revision + 1, Zones: slices.Clone(e.Zones)}
	if o.End {
		next.Zones = slices.Delete(next.Zones, i, i+1)
	} else {
		next.Zones = slices.Insert(next.Zones, i, o.Zone)
	}
	return next, OrderApplied
}

// MayHaveChanged reports whether a zone may have been evacuated or taken back between two revisions, also if it is the same in
// both. Each revision changes one zone, so it has not if the other zones that differ account for all revisions between.
func (e Evacuations) MayHaveChanged(before Evacuations, zone model.AvailabilityZone) bool {
	others := uint64(0)
	for _, z := range slices.Concat(e.Zones, before.Zones) {
		if z != zone && e.Has(z) != before.Has(z) {
			others++
		}
	}
	return e.Revision-before.Revision != others
}
