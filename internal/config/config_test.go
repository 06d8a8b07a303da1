package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const smallBase = `[system]
name = test
seats = 4

[defaults]
deadline = 500ms

[site north]
availability_zones = a, b
services = lookup, order

[site south]
availability_zones = c
services = *

[service lookup]
priority = urgent

[service order]
idempotent = false
`

func readExample(t testing.TB, name string) model.ConfigFiles {
	t.Helper()
	dir := filepath.Join("..", "..", "examples", name)
	base, err := os.ReadFile(filepath.Join(dir, BaseName))
	require.NoError(t, err)
	files := model.ConfigFiles{Base: string(base), Overlays: map[model.SiteName]string{}}
	paths, err := filepath.Glob(filepath.Join(dir, "overlays", "*"+OverlaySuffix))
	require.NoError(t, err)
	for _, p := range paths {
		text, err := os.ReadFile(p)
		require.NoError(t, err)
		files.Overlays[model.SiteName(strings.TrimSuffix(filepath.Base(p), OverlaySuffix))] = string(text)
	}
	return files
}

// Guards against example configurations that the program itself refuses or that differ from the users' sizes and
// policies.
func TestExamplesHaveTheUsersSizes(t *testing.T) {
	for _, tc := range []struct {
		user   string
		seats  int
		groups map[string]int
		finish model.FinishMode
		order  model.ServiceName
		urgent model.ServiceName
	}{
		{"sfax", 9, map[string]int{"depot-desk": 10, "billing": 15, "buyer-portal": 1, "route-plan": 1}, model.FinishWait, "depot-desk-reorder", "route-plan"},
		{"hanbit", 8, map[string]int{"dealer-front": 10, "quote-desk": 15, "order-track": 1, "stock-ledger": 1}, model.FinishEarly, "dealer-front-reservation", "order-track"},
	} {
		t.Run(tc.user, func(t *testing.T) {
			c, err := Parse(readExample(t, tc.user))
			require.NoError(t, err)
			require.Equal(t, tc.seats, c.Seats)
			require.NotEmpty(t, c.Sites)
			for _, s := range c.Sites {
				require.Len(t, s.Services, 27)
				groups := map[string]int{}
				for name := range s.Services {
					for g := range tc.groups {
						if strings.HasPrefix(string(name), g) {
							groups[g]++
						}
					}
				}
				require.Equal(t, tc.groups, groups)
				require.False(t, s.Services[tc.order].Idempotent)
				require.Equal(t, "none", s.Services[tc.order].Hedge)
				require.Equal(t, model.PriorityUrgent, s.Services[tc.urgent].Priority)
				require.Equal(t, tc.finish, s.Services[tc.urgent].Finish)
			}
		})
	}
}

// Guards against a merge in which a general section overrides a more specific one.
func TestMergeGoesFromGeneralToSpecific(t *testing.T) {
	c, err := Parse(model.ConfigFiles{Base: smallBase, Overlays: map[model.SiteName]string{
		"north": "[defaults]\ndeadline = 700ms\npriority = bulk\n[service order]\ndeadline = 900ms\n",
	}})
	require.NoError(t, err)
	north, south := c.Sites["north"], c.Sites["south"]
	require.Equal(t, 700*time.Millisecond, north.Services["lookup"].Deadline)
	require.Equal(t, model.PriorityUrgent, north.Services["lookup"].Priority, "the service section of the base file is more specific than the defaults of the overlay")
	require.Equal(t, 900*time.Millisecond, north.Services["order"].Deadline)
	require.Equal(t, model.PriorityBulk, north.Services["order"].Priority)
	require.Equal(t, 500*time.Millisecond, south.Services["order"].Deadline)
	require.Equal(t, model.SiteName("south"), c.SiteOf("c").Name)
	require.Equal(t, 24*time.Hour, c.SeatLease)
	require.Equal(t, 24*time.Hour, c.ClaimRetention)
}

// Guards against an invalid configuration that is accepted, and against an error without the file, the line or a
// remedy.
func TestErrorsNameFileLineAndRemedy(t *testing.T) {
	replace := func(old, with string) model.ConfigFiles {
		if !strings.Contains(smallBase, old) {
			panic("the base file of this test does not contain " + old)
		}
		return model.ConfigFiles{Base: strings.Replace(smallBase, old, with, 1)}
	}
	overlay := func(site model.SiteName, text string) model.ConfigFiles {
		return model.ConfigFiles{Base: smallBase, Overlays: map[model.SiteName]string{site: text}}
	}
	for _, tc := range []struct {
		name    string
		files   model.ConfigFiles
		message string
		remedy  string
	}{
		{"unknown section", replace("[defaults]", "[default]"), `base.ini:5: section [default] is not known`, "use [system]"},
		{"unknown key", replace("deadline = 500ms", "deadlin = 500ms"), `base.ini:6: key "deadlin" of [defaults] is not known`, "use one of deadline"},
		{"unknown system key", replace("seats = 4", "seats = 4\nchairs = 2"), `base.ini:4: key "chairs" of [system] is not known`, "use one of name"},
		{"missing unit", replace("500ms", "500"), `base.ini:6: [defaults] deadline: value "500" is not a duration`, "with its unit"},
		{"zero without unit", replace("deadline = 500ms", "finish_after = 0"), `base.ini:6: [defaults] finish_after`, "with its unit"},
		{"out of range", replace("500ms", "20m"), `base.ini:6: [defaults] deadline: value "20m" is out of range`, "from 1ms to 10m0s"},
		{"percent", replace("deadline = 500ms", "minimum_coverage = 98%"), `base.ini:6: [defaults] minimum_coverage`, "without a percent sign"},
		{"coverage above one", replace("deadline = 500ms", "minimum_coverage = 98"), `value "98" is out of range`, "from 0 to 1"},
		{"not a number", replace("deadline = 500ms", "hedge_budget = NaN"), `value "NaN" is not a number`, "plain number"},
		{"bytes with unit", replace("deadline = 500ms", "max_request_bytes = 64KiB"), `value "64KiB" is not a whole number`, "without a unit"},
		{"bad priority", replace("urgent", "high"), `base.ini:17: [service lookup] priority`, "urgent, normal or bulk"},
		{"bad choice", replace("deadline = 500ms", "routing = fastest"), `[defaults] routing: value "fastest"`, "random or least_loaded"},
		{"no seats", replace("seats = 4\n", ""), `base.ini:1: [system] seats is missing`, "add the key"},
		{"too many seats", replace("seats = 4", "seats = 0"), `base.ini:3: [system] seats`, "from 1 to 16384"},
		{"bad name", replace("[service order]", "[service Order]"), `base.ini:19: section [service Order]`, "lower-case"},
		{"site without services", replace("services = lookup, order\n", ""), `base.ini:8: [site north] services is missing`, "add the key"},
		{"site names unknown service", replace("lookup, order", "lookup, orders"), `base.ini:10: [site north] services: service "orders" is not configured`, "add [service orders]"},
		{"star with names", replace("lookup, order", "*, order"), `mixes * with names`, "alone"},
		{"zone in two sites", replace("= c", "= b"), `base.ini:12: [site south] availability_zones: zone "b" belongs to site "north" already`, "one of the two"},
		{"zone twice", replace("a, b", "a, a"), `lists "a" twice`, "keep one"},
		{"service twice", replace("[service order]", "[service lookup]"), `base.ini:19`, "keep one"},
		{"service twice, other spacing", replace("[service order]", "[service  lookup]"), `service "lookup" stands twice`, "keep one"},
		{"early finish after the deadline", replace("deadline = 500ms", "deadline = 500ms\nfinish = early\nfinish_after = 1s"), `finish_after 1s is not below deadline 500ms`, "lower finish_after"},
		{"hedged order", replace("idempotent = false", "idempotent = false\nhedge = quantile"), `base.ini:21: [service order] hedge`, "hedge = none"},
		{"overlay for unknown site", overlay("west", "[defaults]\n"), `west.site.ini:1: the overlay is for site "west"`, "rename the overlay"},
		{"overlay for unknown service", overlay("north", "\n[service nothing]\n"), `north.site.ini:2: service "nothing" is not in base.ini`, "add the service"},
		{"overlay with a site section", overlay("north", "[site north]\n"), `north.site.ini:1: an overlay holds [defaults] and [service NAME] only`, "move the section"},
		{"overlay with bad value", overlay("north", "[service order]\ncaller_share = 2\n"), `north.site.ini:2: [service order] caller_share`, "from 0.01 to 1"},
		{"committed layout", replace("[defaults]", "[layout lookup]"), `section [layout lookup] is a decision of the system: partition layouts`, "remove the section"},
		{"share of a shard", replace("priority = urgent", "shard_share = 0.2"), `base.ini:17: key "shard_share" of [service lookup] is a decision of the system`, "remove the key"},
		{"seat of a VM", replace("seats = 4", "seats = 4\nseat_of_vm1 = 2"), `key "seat_of_vm1" of [system] is a decision of the system`, "remove the key"},
		{"seats at a site", replace("services = *", "services = *\nseats = 2"), `key "seats" of [site south] is a decision of the system`, "remove the key"},
		{"leader", replace("seats = 4", "seats = 4\nleader = vm1"), `elects its leader`, "remove the key"},
		{"lease of targets", replace("deadline = 500ms", "lease = 5s"), `leases of targets`, "remove the key"},
		{"responsible VMs", replace("services = *", "services = *\nresponsible_vms = v1"), `responsible VMs are computed`, "remove the key"},
		{"no site", model.ConfigFiles{Base: "[system]\nname = a\nseats = 1\n"}, `base.ini:1: the configuration has no site`, "add [site NAME]"},
		{"key outside a section", model.ConfigFiles{Base: "a = 1\n"}, `base.ini:1: key "a" stands outside a section`, "[section]"},
		{"spaces in brackets", replace("[service lookup]", "[ service lookup ]\ndeadline = 5"), `base.ini:17: [ service lookup ] deadline`, "with its unit"},
		{"key twice", replace("seats = 4", "seats = 4\nseats = 5"), `base.ini:4: key "seats" of section [system] stands already on line 3`, "keep one"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(tc.files)
			require.Error(t, err)
			require.Equal(t, errs.KindInvalid, errs.KindOf(err))
			require.Contains(t, err.Error(), tc.message)
			require.Contains(t, errs.RemedyOf(err), tc.remedy)
		})
	}
}

// Guards against files that do not fit into one log entry.
func TestTotalFileSizeIsLimited(t *testing.T) {
	_, err := Parse(model.ConfigFiles{Base: smallBase + strings.Repeat("#\n", MaxTotalBytes)})
	require.Equal(t, errs.KindTooLarge, errs.KindOf(err))
}

// Guards against a dry run that omits a change or shows it at a site that it does not affect.
func TestDiffListsChangesForEachSite(t *testing.T) {
	before, err := Parse(model.ConfigFiles{Base: smallBase})
	require.NoError(t, err)
	after, err := Parse(model.ConfigFiles{
		Base:     strings.Replace(smallBase, "seats = 4", "seats = 5", 1),
		Overlays: map[model.SiteName]string{"south": "[service lookup]\ndeadline = 250ms\n"},
	})
	require.NoError(t, err)
	require.True(t, Diff(before, before).Empty())
	d := Diff(before, after)
	require.Equal(t, []Change{{Key: "seats", Before: "4", After: "5"}}, d.System)
	require.Equal(t, []SiteDifference{{Site: "south", Changes: []Change{
		{Service: "lookup", Key: "deadline", Before: "500ms", After: "250ms"},
	}}}, d.Sites)
	require.Equal(t, []string{"system seats: 4 -> 5", "site south lookup.deadline: 500ms -> 250ms"}, d.Summary(2))
	require.Equal(t, []string{"and 2 more changes"}, d.Summary(1))
	require.NotEmpty(t, Diff(nil, before).Sites)
	require.Len(t, Diff(nil, before).Summary(3), 3)
}

// Guards against input that makes the parser panic or return an error without a kind or remedy.
func FuzzParse(f *testing.F) {
	f.Add(smallBase, "[defaults]\ndeadline = 1s\n")
	f.Add("[system]\nname=x\nseats=1\n[site a]\navailability_zones=z\nservices=*\n[service s]\n", "")
	f.Add("[system", "[service a]\nhedge = \"\"\"x\n")
	f.Add("[site a b]\n", "[DEFAULT]\na=%(b)s\n")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		files := model.ConfigFiles{Base: base, Overlays: map[model.SiteName]string{"north": overlay}}
		c, err := Parse(files)
		if err != nil {
			require.Contains(t, []errs.Kind{errs.KindInvalid, errs.KindTooLarge}, errs.KindOf(err), "%v", err)
			require.NotEmpty(t, errs.RemedyOf(err))
			return
		}
		again, err := Parse(files)
		require.NoError(t, err)
		require.True(t, Diff(c, again).Empty())
	})
}
