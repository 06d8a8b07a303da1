package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against hedges of orders, hedges while targets shed load, and hedges before a latency is known.
func TestQuantile(t *testing.T) {
	query, order := &model.ServiceConfig{Idempotent: true}, &model.ServiceConfig{}
	for name, c := range map[string]struct {
		in kernel.HedgeInput
		ok bool
	}{
		"known":    {kernel.HedgeInput{Service: query, QuantileLatency: time.Second}, true},
		"unknown":  {kernel.HedgeInput{Service: query}, false},
		"shedding": {kernel.HedgeInput{Service: query, QuantileLatency: time.Second, Shedding: true}, false},
		"order":    {kernel.HedgeInput{Service: order, QuantileLatency: time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := quantile{}.HedgeAfter(c.in)
			require.Equal(t, c.ok, ok)
			_, ok = none{}.HedgeAfter(c.in)
			require.False(t, ok)
		})
	}
}
