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

// zoneTrial sends a request to every leaf of several availability zones every 200 ms, unless the last one is unanswered.
type zoneTrial struct {
	tracker *Tracker
	index   *leaves.Index
	now     int
	pending map[*leaves.Member]time.Time
}

// newZoneTrial returns a trial with four shards. The first two have a leaf in each of the zones x, y and z, and the other two
// have one in the zone y only.
func newZoneTrial() *zoneTrial {
	x := &zoneTrial{
		tracker: NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()),
		index:   &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{}}, pending: map[*leaves.Member]time.Time{},
	}
	for i, zones := range [][]string{{"x", "y", "z"}, {"x", "y", "z"}, {"y"}, {"y"}} {
		s := model.ServiceName(fmt.Sprint("s", i))
		for _, z := range zones {
			x.index.Services[s] = append(x.index.Services[s], &leaves.Member{Leaf: leaves.Leaf{ID: string(s) + z, Service: s, Slots: 2, AvailabilityZone: model.AvailabilityZone(z)}})
		}
	}
	return x
}

// run sends requests for a number of milliseconds. Leaves reply in 10 ms, except for the unresponsive ones, whose attempts are
// cancelled after 400 ms.
func (x *zoneTrial) run(ms int, unresponsive func(*leaves.Member) bool) {
	for end := x.now + ms; x.now < end; x.now += 10 {
		for m, started := range x.pending {
			elapsed := at(x.now).Sub(started)
			if unresponsive(m) && elapsed < 400*time.Millisecond {
				continue
			}
			reply := successWith("")
			if unresponsive(m) {
				reply = AttemptResult{Sent: true}
			}
			reply.Latency = elapsed
			x.tracker.AttemptEnded(at(x.now), "r", m, started, &reply, unresponsive(m))
			delete(x.pending, m)
		}
		if x.now%200 == 0 {
			for _, list := range x.index.Services {
				for _, m := range list {
					if _, busy := x.pending[m]; !busy {
						x.tracker.AttemptStarted(at(x.now), "r", m)
						x.pending[m] = at(x.now)
					}
				}
			}
		}
		x.tracker.UnresponsiveZones(at(x.now))
	}
}

func inZone(zone model.AvailabilityZone) func(*leaves.Member) bool {
	return func(m *leaves.Member) bool { return m.AvailabilityZone == zone }
}

func noLeaf(*leaves.Member) bool { return false }

// Guards against requests that are sent to a zone behind a network partition and wait until their deadline, and against a zone
// that is still avoided once it replies again.
func TestUnresponsiveZoneIsAvoidedUntilItReplies(t *testing.T) {
	x := newZoneTrial()
	x.run(1000, noLeaf)
	require.Empty(t, x.tracker.UnresponsiveZones(at(x.now)))
	x.run(1000, inZone("y"))
	unresponsive := x.tracker.UnresponsiveZones(at(x.now))
	require.Equal(t, []model.AvailabilityZone{"y"}, unresponsive)
	m := x.tracker.Choose(at(x.now), "r", x.index.Services["s0"][:2], nil, nil, fakeConnections{})
	require.Equal(t, "s0x", m.ID, "a leaf of a responsive zone is preferred")
	require.NotNil(t, x.tracker.Choose(at(x.now), "r", x.index.Services["s2"], nil, nil, fakeConnections{}), "the only leaf is still used")
	route := &routes.Route{Shards: []model.ServiceName{"s0", "s1", "s2", "s3"}, MinCoverage: 0.75}
	refusal := RefuseUnreachable(route, x.index, unresponsive, LeafFilter{})
	require.Equal(t, KindRefused, refusal.Kind)
	require.Contains(t, refusal.Reason, "2 of 4 shards")
	require.Nil(t, RefuseUnreachable(route, x.index, nil, LeafFilter{}))
	require.Nil(t, RefuseUnreachable(&routes.Route{Shards: route.Shards, MinCoverage: 0.5}, x.index, unresponsive, LeafFilter{}), "two of four shards are enough")
	x.run(500, noLeaf)
	require.Empty(t, x.tracker.UnresponsiveZones(at(x.now)))
	x.run(1000, inZone("y"))
	x.tracker.MarkReachable(at(x.now), "y")
	require.Empty(t, x.tracker.UnresponsiveZones(at(x.now)))
}

// Guards against a zone that is avoided because some of its leaves have crashed while there are few requests.
func TestCrashedLeavesDoNotMakeTheirZoneUnresponsive(t *testing.T) {
	x := newZoneTrial()
	x.run(1000, noLeaf)
	crashed := func(m *leaves.Member) bool { return m.AvailabilityZone == "y" && m.ID != "s0y" }
	for range 100 {
		x.run(20, crashed)
		require.Empty(t, x.tracker.UnresponsiveZones(at(x.now)))
	}
	// No more requests are sent.
	for ms := range 3000 {
		require.Empty(t, x.tracker.UnresponsiveZones(at(x.now+ms)))
	}
}

// Guards against zones that count as unresponsive because this VM was paused and has not yet read the replies that
// arrived during the pause.
func TestPausedVMFindsNoUnresponsiveZone(t *testing.T) {
	x := newZoneTrial()
	x.run(1010, noLeaf)
	require.NotEmpty(t, x.pending)
	x.now += 3000
	require.Empty(t, x.tracker.UnresponsiveZones(at(x.now)))
	x.run(10, noLeaf)
	require.Empty(t, x.tracker.UnresponsiveZones(at(x.now+200)))
}
