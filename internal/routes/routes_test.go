package routes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func table(routes ...Route) *Table {
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

// Guards against a shorter prefix that takes the requests of a longer one.
func TestLongestPrefixWins(t *testing.T) {
	x, err := Build(table(Route{Name: "short", Prefix: "/x/"}, Route{Name: "long", Prefix: "/x/y/"}, Route{Name: "root", Prefix: "/"}))
	require.NoError(t, err)
	require.Equal(t, "long", x.Match("H:80", "/x/y/1").Name)
	require.Equal(t, "short", x.Match("h", "/x/yy").Name)
	require.Equal(t, "root", x.Match("h", "/x").Name)
	require.Nil(t, x.Match("other", "/x/"))
}

// Guards against a table in force that sends requests nowhere.
func TestInvalidTablesAreRefused(t *testing.T) {
	broken := map[string]func(*Table){
		"unknown service":    func(x *Table) { x.Routes[0].Split = []Share{{"c", 1}} },
		"unknown shard":      func(x *Table) { x.Routes[0].Split, x.Routes[0].Shards = nil, []model.ServiceName{"a", "c"} },
		"same place":         func(x *Table) { x.Routes[1].Prefix = x.Routes[0].Prefix },
		"no weight":          func(x *Table) { x.Routes[0].Split = []Share{{"a", 0}, {"b", 0}} },
		"no timeout":         func(x *Table) { x.Routes[0].Timeout = 0 },
		"prefix":             func(x *Table) { x.Routes[0].Prefix = "/x" },
		"no destination":     func(x *Table) { x.Routes[0].Split = nil },
		"repeated service":   func(x *Table) { x.Services[1].Name = "a" },
		"not repeatable":     func(x *Table) { x.Routes[1].Repeatable = false },
		"shard listed twice": func(x *Table) { x.Routes[1].Shards = []model.ServiceName{"a", "a"} },
	}
	for name, spoil := range broken {
		x := table(Route{Prefix: "/x/"}, Route{Prefix: "/y/", Repeatable: true, Shards: []model.ServiceName{"a", "b"}, TopRecords: 1})
		_, err := Build(x)
		require.NoError(t, err)
		spoil(x)
		_, err = Build(x)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
	}
}

// Guards against a split that gives a service another share than its weight.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Route{Split: []Share{{"a", float64(rapid.IntRange(0, 9).Draw(t, "a"))}, {"b", float64(rapid.IntRange(1, 9).Draw(t, "b"))}}}
		const n = 1000
		hits := 0
		for i := range n {
			if r.Pick(float64(i)/n) == "a" {
				hits++
			}
		}
		want := n * r.Split[0].Weight / (r.Split[0].Weight + r.Split[1].Weight)
		require.InDelta(t, want, hits, 1)
	})
}
