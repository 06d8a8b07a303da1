package routes

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func newTable(routes ...Route) *Table {
	for i := range routes {
		r := &routes[i]
		if r.Host == "" {
			r.Host = "h"
		}
		if r.Split == nil && r.Shards == nil {
			r.Split = []Share{{"a", 1}}
		}
		r.Timeout, r.MaxAttempts = time.Second, 1
	}
	return &Table{Version: 1, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
}

// Guards against requests that match a shorter prefix although a longer one matches too.
func TestLongestPrefixWins(t *testing.T) {
	x, err := Build(newTable(Route{Name: "short", Prefix: "/x/"}, Route{Name: "long", Prefix: "/x/y/"}, Route{Name: "root", Prefix: "/"}))
	require.NoError(t, err)
	require.Equal(t, "long", x.Match("H:80", "/x/y/1").Name)
	require.Equal(t, "short", x.Match("h", "/x/yy").Name)
	require.Equal(t, "root", x.Match("h", "/x").Name)
	require.Nil(t, x.Match("other", "/x/"))
}

// Guards against accepting a table that cannot route requests to a service.
func TestInvalidTablesAreRefused(t *testing.T) {
	mutations := map[string]func(*Table){
		"unknown service":            func(x *Table) { x.Routes[0].Split = []Share{{"c", 1}} },
		"unknown shard":              func(x *Table) { x.Routes[0].Split, x.Routes[0].Shards = nil, []model.ServiceName{"a", "c"} },
		"same prefix":                func(x *Table) { x.Routes[1].Prefix = x.Routes[0].Prefix },
		"no weight":                  func(x *Table) { x.Routes[0].Split = []Share{{"a", 0}, {"b", 0}} },
		"no timeout":                 func(x *Table) { x.Routes[0].Timeout = 0 },
		"prefix without final slash": func(x *Table) { x.Routes[0].Prefix = "/x" },
		"no destination":             func(x *Table) { x.Routes[0].Split = nil },
		"repeated service":           func(x *Table) { x.Services[1].Name = "a" },
		"not repeatable":             func(x *Table) { x.Routes[1].Repeatable = false },
		"shard listed twice":         func(x *Table) { x.Routes[1].Shards = []model.ServiceName{"a", "a"} },
	}
	for name, mutate := range mutations {
		x := newTable(Route{Prefix: "/x/"}, Route{Prefix: "/y/", Repeatable: true, Shards: []model.ServiceName{"a", "b"}, TopRecords: 1})
		_, err := Build(x)
		require.NoError(t, err)
		mutate(x)
		_, err = Build(x)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
	}
}

// Guards against a split in which the share of a service differs from its weight.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Route{Split: []Share{{"a", float64(rapid.IntRange(0, 9).Draw(t, "a"))}, {"b", float64(rapid.IntRange(1, 9).Draw(t, "b"))}}}
		const n = 1000
		picked := 0
		for i := range n {
			if r.Pick(float64(i)/n) == "a" {
				picked++
			}
		}
		want := n * r.Split[0].Weight / (r.Split[0].Weight + r.Split[1].Weight)
		require.InDelta(t, want, picked, 1)
	})
}

// Guards against a split whose requests all go to the last service, because the sum of its weights is infinite.
func TestPickFollowsLargeWeights(t *testing.T) {
	r := &Route{Split: []Share{{"a", math.MaxFloat64}, {"b", math.MaxFloat64}, {"c", 0}}}
	require.Equal(t, model.ServiceName("a"), r.Pick(0))
	require.Equal(t, model.ServiceName("a"), r.Pick(0.49))
	require.Equal(t, model.ServiceName("b"), r.Pick(0.51))
	least := &Route{Split: []Share{{"a", math.SmallestNonzeroFloat64}, {"b", math.SmallestNonzeroFloat64}}}
	require.Equal(t, model.ServiceName("a"), least.Pick(0.49))
	require.Equal(t, model.ServiceName("b"), least.Pick(0.51))
}

// Guards against customers that cannot be told apart, and against quotas without a meaning.
func TestInvalidCustomersAreRefused(t *testing.T) {
	key := func(s string) []KeyDigest { return []KeyDigest{DigestKey(s)} }
	for name, list := range map[string][]Customer{
		"shared key":     {{Name: "a", Keys: key("k")}, {Name: "b", Keys: key("k")}},
		"same name":      {{Name: "a"}, {Name: "a"}},
		"no name":        {{Keys: key("k")}},
		"name of a line": {{Name: "a\r\nX: y"}},
		"negative rate":  {{Name: "a", Quota: Quota{Rate: -1}}},
		"negative burst": {{Name: "a", Quota: Quota{Rate: 1, Burst: -1}}},
		"infinite rate":  {{Name: "a", Quota: Quota{Rate: math.Inf(1)}}},
		"no number":      {{Name: "a", Quota: Quota{Rate: math.NaN()}}},
	} {
		x := newTable(Route{Prefix: "/"})
		x.Customers = list
		_, err := Build(x)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
	}
}

// Guards against a request that is taken for one of another customer, and against a key that is needed where there are no customers.
func TestCustomersAreFoundByTheirKeys(t *testing.T) {
	x := newTable(Route{Prefix: "/"}, Route{Prefix: "/open/", Public: true})
	require.False(t, x.NeedsKey(&x.Routes[0]), "a table without customers")
	x.Customers = []Customer{{Name: "a", Keys: []KeyDigest{DigestKey("1"), DigestKey("1"), DigestKey("2")}}, {Name: "b", Keys: []KeyDigest{DigestKey("3")}}}
	x, err := Build(x)
	require.NoError(t, err)
	require.True(t, x.NeedsKey(x.Match("h", "/x")))
	require.False(t, x.NeedsKey(x.Match("h", "/open/x")))
	require.Equal(t, "a", x.CustomerOf("2").Name)
	require.Equal(t, "b", x.CustomerOf("3").Name)
	for _, unknown := range []string{"", "4", " 2", "2 "} {
		require.Nil(t, x.CustomerOf(unknown), unknown)
	}
}
