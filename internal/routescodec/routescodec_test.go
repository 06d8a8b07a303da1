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

// Guards against fields of customers, routes and services that other VMs do not receive.
func TestCustomersAreStored(t *testing.T) {
	rank := 0
	table, err := routes.Build(&routes.Table{
		Version:  3,
		Services: []routes.Service{{Name: "a", WarmUp: 3 * time.Second, WarmUpRate: 2.5}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Split: []routes.Share{{Service: "a", Weight: 1}}, Public: true, Regions: []string{"north"},
		}},
		Customers: []routes.Customer{
			{Name: "c", Keys: []routes.KeyDigest{routes.DigestKey("secret")}, Rank: &rank, Quota: routes.Quota{Rate: 1.5, Burst: 4}, Regions: []string{"south"}},
			{Name: "d"},
		},
	})
	require.NoError(t, err)
	data, err := Encode(routes.Publication{Table: table})
	require.NoError(t, err)
	require.NotContains(t, string(data), "secret")
	stored, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, table.Customers, stored.Table.Customers)
	require.Equal(t, table.Services, stored.Table.Services)
	require.True(t, stored.Table.Routes[0].Public)
	require.Equal(t, []string{"north"}, stored.Table.Routes[0].Regions)
	require.Equal(t, "c", stored.Table.CustomerOf("secret").Name)
}
