package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// zonesTrial sends a request to all leaves of several availability zones every 200 ms.
type zonesTrial struct {
	tracker *Tracker
	index   *leaves.Index
	now     int
	open    map[*leaves.Member]time.Time
}

// newZonesTrial has four shards. Each has a leaf in the zones y and z, and none in the zone x but for the first two shards.
func newZonesTrial() *zonesTrial {
	x := &zonesTrial{
		tracker: NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()),
		index:   &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{}}, open: map[*leaves.Member]time.Time{},
	}
	for i, zones := range [][]string{{"x", "y", "z"}, {"x", "y", "z"}, {"y"}, {"y"}} {
		s := model.ServiceName(fmt.Sprint("s", i))
		for _, z := range zones {
			x.index.Services[s] = append(x.index.Services[s], &leaves.Member{Leaf: leaves.Leaf{ID: string(s) + z, Service: s, Slots: 2, AvailabilityZone: model.AvailabilityZone(z)}})
		}
	}
	return x
}

// run sends requests for a while. Leaves that are not listed answer in 10 ms, and the others are silent for the 400 ms after
// which their attempts are cancelled.
func (x *zonesTrial) run(ms int, silent func(*leaves.Member) bool) {
	for end := x.now + ms; x.now < end; x.now += 10 {
		for m, began := range x.open {
			took := at(x.now).Sub(began)
			if silent(m) && took < 400*time.Millisecond {
				continue
			}
			reply := success("")
			if silent(m) {
				reply = AttemptEnd{Sent: true}
			}
			reply.Latency = took
			x.tracker.Done(at(x.now), "r", m, began, &reply, silent(m))
			delete(x.open, m)
		}
		if x.now%200 == 0 {
			for _, list := range x.index.Services {
				for _, m := range list {
					if _, busy := x.open[m]; !busy {
						x.tracker.Begin(at(x.now), "r", m)
						x.open[m] = at(x.now)
					}
				}
			}
		}
		x.tracker.SilentZones(at(x.now))
	}
}

func everywhere(zone model.AvailabilityZone) func(*leaves.Member) bool {
	return func(m *leaves.Member) bool { return m.AvailabilityZone == zone }
}

func nowhere(*leaves.Member) bool { return false }

// Guards against requests that are sent into a zone which is cut off until their deadline, and against a zone that stays
// avoided once it answers.
func TestSilentZoneIsFoundAndForgotten(t *testing.T) {
	x := newZonesTrial()
	x.run(1000, nowhere)
	require.Empty(t, x.tracker.SilentZones(at(x.now)))
	x.run(1000, everywhere("y"))
	silent := x.tracker.SilentZones(at(x.now))
	require.Equal(t, []model.AvailabilityZone{"y"}, silent)
	m := x.tracker.Choose(at(x.now), "r", x.index.Services["s0"][:2], nil, nil, openLeaves{})
	require.Equal(t, "s0x", m.ID, "a leaf of another zone goes first")
	require.NotNil(t, x.tracker.Choose(at(x.now), "r", x.index.Services["s2"], nil, nil, openLeaves{}), "the only leaf is still used")
	route := &routes.Route{Shards: []model.ServiceName{"s0", "s1", "s2", "s3"}, MinCoverage: 0.75}
	refusal := Unreachable(route, x.index, silent)
	require.Equal(t, KindRefused, refusal.Kind)
	require.Contains(t, refusal.Reason, "2 of 4 shards")
	require.Nil(t, Unreachable(route, x.index, nil))
	require.Nil(t, Unreachable(&routes.Route{Shards: route.Shards, MinCoverage: 0.5}, x.index, silent), "two of four are enough")
	x.run(500, nowhere)
	require.Empty(t, x.tracker.SilentZones(at(x.now)))
	x.run(1000, everywhere("y"))
	x.tracker.Reached(at(x.now), "y")
	require.Empty(t, x.tracker.SilentZones(at(x.now)))
}

// Guards against a zone that is avoided because some of its leaves have crashed, while there are few requests.
func TestCrashedLeavesDoNotSilenceTheirZone(t *testing.T) {
	x := newZonesTrial()
	x.run(1000, nowhere)
	crashed := func(m *leaves.Member) bool { return m.AvailabilityZone == "y" && m.ID != "s0y" }
	for range 100 {
		x.run(20, crashed)
		require.Empty(t, x.tracker.SilentZones(at(x.now)))
	}
	// No request is sent any more.
	for ms := range 3000 {
		require.Empty(t, x.tracker.SilentZones(at(x.now+ms)))
	}
}

// Guards against zones that count as silent because this VM did not run, so that the replies that wait are not read yet.
func TestFrozenVMFindsNoSilentZone(t *testing.T) {
	x := newZonesTrial()
	x.run(1010, nowhere)
	require.NotEmpty(t, x.open)
	x.now += 3000
	require.Empty(t, x.tracker.SilentZones(at(x.now)))
	x.run(10, nowhere)
	require.Empty(t, x.tracker.SilentZones(at(x.now+200)))
}
