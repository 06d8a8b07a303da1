package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// targets lists the targets with live leases in the directory of this VM.
func (m *Module) targets(c echo.Context) error {
	v := m.control.View()
	if v.Directory == nil {
		return errs.New(errs.KindUnavailable, "send the request to an entry VM", "this VM has no directory of targets")
	}
	only := model.ServiceName(c.QueryParam("service"))
	out := operatorapi.TargetsResponse{VM: string(m.holder.VM), Targets: []operatorapi.Target{}}
	if only != "" && v.Targets(only) == nil && v.Service(only) == nil {
		return errs.New(errs.KindNotFound, "use a service that is configured at this site", "service %q is not configured at this site", only)
	}
	for _, name := range sortedNames(v.Directory.Services) {
		if only != "" && name != only {
			continue
		}
		for _, t := range v.Directory.Services[name].Targets {
			out.Targets = append(out.Targets, encodeTarget(t))
		}
	}
	return c.JSON(http.StatusOK, out)
}

func encodeTarget(t *model.Target) operatorapi.Target {
	out := operatorapi.Target{
		Service: string(t.Service), ID: string(t.ID), AvailabilityZone: string(t.AvailabilityZone), Address: t.Addr, State: string(t.State),
		Incarnation: t.Incarnation, Layout: uint64(t.Layout.Number), Slots: t.Slots, ConnectionLimit: t.ConnectionLimit,
		InFlight: t.Load.InFlight, Queued: t.Load.Queued, ServingSince: t.ServingSince.UTC(),
		Shards: []uint32{}, IndexVersions: []uint64{},
	}
	for _, s := range t.Shards {
		out.Shards = append(out.Shards, uint32(s))
	}
	for _, v := range t.IndexVersions {
		out.IndexVersions = append(out.IndexVersions, uint64(v))
	}
	return out
}
