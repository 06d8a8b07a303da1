package routescodec

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Guards against numbers that change their sign or size in the control log, so that a valid table is refused or means something
// else.
func TestLargeNumbersAreStored(t *testing.T) {
	for _, great := range []int{math.MaxInt32, math.MaxInt32 + 1, math.MaxUint32 + 2, math.MaxInt64} {
		stored, err := TableFromProto(TableToProto(&routes.Table{
			Version:  math.MaxUint64,
			Services: []routes.Service{{Name: "a", MaxConnections: great}},
			Routes:   []routes.Route{{Name: "r", Host: "h", Prefix: "/", Repeatable: true, Timeout: time.Second, Rank: great, MaxAttempts: great, TopRecords: great, Shards: []model.ServiceName{"a"}}},
		}))
		require.NoError(t, err)
		require.Equal(t, routes.Version(math.MaxUint64), stored.Version)
		r := stored.Routes[0]
		require.Equal(t, []int{math.MaxInt32, math.MaxInt32, math.MaxInt32, math.MaxInt32}, []int{r.Rank, r.MaxAttempts, r.TopRecords, stored.Services[0].MaxConnections})
	}
}
