package routestate

import (
	"context"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "routes.publisher",
		New:      func() kernel.Module { return &Publisher{} },
		Needs:    []kernel.Capability{kernel.CapControlClient},
		Provides: []kernel.Capability{kernel.CapRoutePublisher},
		Enabled:  kernel.ForRoutes(settings.RoleControl),
	})
}

// Publisher implements kernel.RoutePublisher.
type Publisher struct{ client kernel.EncodedControlClient }

// Provision implements kernel.Provisioner.
func (p *Publisher) Provision(ctx *kernel.Context) error {
	var err error
	p.client, err = kernel.Lookup[kernel.EncodedControlClient](ctx)
	return err
}

// Publish implements kernel.RoutePublisher.
func (p *Publisher) Publish(ctx context.Context, pub routes.Publication) (routes.Version, error) {
	data, err := routescodec.Encode(pub)
	if err != nil {
		return 0, errs.Wrap(err, errs.KindInvalid, "correct the text of the routes", "the route table cannot be encoded")
	}
	result, err := p.client.ProposeEncoded(ctx, data)
	if err != nil {
		return 0, err
	}
	return routescodec.DecodeResult(result)
}

// Latest implements kernel.RoutePublisher.
func (p *Publisher) Latest(ctx context.Context) (routes.Publication, error) {
	data, err := p.client.ReadEncoded(ctx, nil)
	if err != nil {
		return routes.Publication{}, err
	}
	s, err := routescodec.DecodeState(data)
	if err == nil && s.Publication.Table == nil {
		err = errs.New(errs.KindUnavailable, "publish a route table first", "no route table has been published yet")
	}
	return s.Publication, err
}
