package routestate

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "evacuations.orders",
		New:      func() kernel.Module { return &Evacuator{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapControlClient, kernel.CapLeafRegistry},
		Provides: []kernel.Capability{kernel.CapEvacuations},
		Enabled:  kernel.ForRoutes(settings.RoleControl),
	})
}

// evacuationsQuery reads the evacuations without the publication.
var evacuationsQuery = []byte("evacuations")

// orderPause is the pause before an order is sent again after its outcome was unknown. A new leader is elected within about a
// second.
const orderPause = 100 * time.Millisecond

// Evacuator implements kernel.Evacuator.
type Evacuator struct {
	client kernel.EncodedControlClient
	// known lists the availability zones of the system. Without a list, this VM's own and those of leaves are known.
	known  map[model.AvailabilityZone]string
	own    model.AvailabilityZone
	leaves kernel.LeafZoneLister
	now    func() time.Time
	wait   func(context.Context, time.Duration) error
	logger log.Logger
}

// Provision implements kernel.Provisioner.
func (m *Evacuator) Provision(ctx *kernel.Context) error {
	m.known, m.own = ctx.Settings.ZoneRegions, ctx.AvailabilityZone
	m.now, m.wait, m.logger = ctx.Now, kernel.Wait, ctx.Logger("evacuations")
	var err error
	if m.leaves, err = kernel.Lookup[kernel.LeafZoneLister](ctx); err != nil {
		return err
	}
	m.client, err = kernel.Lookup[kernel.EncodedControlClient](ctx)
	return err
}

// SetEvacuated implements kernel.Evacuator. Each order states the revision that it is based on, so that it takes effect at most once,
// however often and late it arrives at the control log.
func (m *Evacuator) SetEvacuated(ctx context.Context, zone model.AvailabilityZone, evacuated bool) error {
	before, err := m.read(ctx)
	if err != nil {
		return err
	}
	if err := m.checkKnown(ctx, zone, before); err != nil {
		return err
	}
	for latest := before; ; {
		order := routes.EvacuationOrder{Zone: zone, End: !evacuated, BasedOn: latest.Revision}
		if latest.Has(zone) == evacuated {
			if latest.Revision != before.Revision { // This order, or another like it, has come into force meanwhile.
				m.confirm(ctx, order)
			}
			return nil
		}
		if latest.MayHaveChanged(before, zone) {
			return errs.New(errs.KindUnavailable, "send the order again if it is still wanted", "other orders came into force first, and one may have reversed this one for availability zone %s", zone)
		}
		revision, failure := m.propose(ctx, order)
		if failure == nil {
			_ = level.Info(m.logger).Log("msg", "evacuation order committed", "zone", zone, "evacuated", evacuated, "revision", revision)
			m.confirm(ctx, order)
			return nil
		}
		_ = level.Info(m.logger).Log("msg", "evacuation order is not committed yet", "zone", zone, "evacuated", evacuated, "based_on", latest.Revision, "err", failure)
		if !m.mayRepeat(ctx, failure) {
			return finalError(failure, zone)
		}
		latest, err = m.read(ctx)
		if err != nil {
			return finalError(failure, zone)
		}
	}
}

// confirm proposes an order that is committed once more, which changes nothing. A control VM that is restarted applies at once only the
// entries that it knows to be committed from its disk, which are those before its last write. Without a further entry it would send entry
// VMs routes without the evacuation until a leader is elected.
func (m *Evacuator) confirm(ctx context.Context, order routes.EvacuationOrder) {
	if _, err := m.propose(ctx, order); err != nil {
		_ = level.Warn(m.logger).Log("msg", "evacuation order is committed, but control VMs that are restarted now may know it only once a leader is elected", "zone", order.Zone, "end", order.End, "err", err)
	}
}

// mayRepeat reports whether an order that failed is sent again, after a pause if its outcome is unknown. That is safe, since it is
// based on a revision.
func (m *Evacuator) mayRepeat(ctx context.Context, failure error) bool {
	switch errs.KindOf(failure) {
	case errs.KindConflict:
		return !m.ended(ctx)
	case errs.KindUnknownOutcome:
		return m.wait(ctx, orderPause) == nil && !m.ended(ctx)
	}
	return false
}

// finalError returns the error of an order that is not sent again. After a conflict the order has certainly had no effect.
func finalError(failure error, zone model.AvailabilityZone) error {
	if errs.KindOf(failure) != errs.KindConflict {
		return failure
	}
	return errs.Wrap(failure, errs.KindUnavailable, "send the order again if it is still wanted", "the order for availability zone %s has had no effect within its time", zone)
}

// ended reports whether nobody waits for an order any more. A process that was suspended may notice its deadline before the context
// does.
func (m *Evacuator) ended(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !m.now().Before(deadline)
}

// propose returns the revision in force once an order is committed.
func (m *Evacuator) propose(ctx context.Context, order routes.EvacuationOrder) (revision uint64, err error) {
	if m.ended(ctx) {
		return 0, errs.New(errs.KindUnavailable, "send the order again", "the time for the evacuation order has passed before it was sent")
	}
	data, err := routescodec.EncodeOrder(order)
	if err != nil {
		return 0, errs.Wrap(err, errs.KindInvalid, "correct the name of the availability zone", "the evacuation order cannot be encoded")
	}
	result, err := m.client.ProposeEncoded(ctx, data)
	if err != nil {
		return 0, err
	}
	return routescodec.DecodeOrderResult(result)
}

// read returns the evacuations that a quorum confirms to be the latest.
func (m *Evacuator) read(ctx context.Context) (routes.Evacuations, error) {
	data, err := m.client.ReadEncoded(ctx, evacuationsQuery)
	if err != nil {
		return routes.Evacuations{}, err
	}
	s, err := routescodec.DecodeState(data)
	return s.Evacuations, err
}

// checkKnown returns an error of kind not_found for a zone that is none of the system. A zone that is evacuated is one, although it may
// have no leaf any more.
func (m *Evacuator) checkKnown(ctx context.Context, zone model.AvailabilityZone, e routes.Evacuations) error {
	_, known := m.known[zone]
	if len(m.known) == 0 {
		withLeaves, err := m.leaves.LeafZones(ctx)
		if err != nil {
			return err
		}
		known = zone == m.own || withLeaves[zone]
	}
	if zone != "" && (known || e.Has(zone)) {
		return nil
	}
	return errs.New(errs.KindNotFound, "use the name of an availability zone of the system", "availability zone %.64q is unknown", string(zone))
}
