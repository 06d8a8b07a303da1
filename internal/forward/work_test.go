package forward

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// A loadTrial runs the load of the core archive without a network: queries to 36 shards with three leaves each, one per availability
// zone 4.4 ms from the others, of speeds 0.8, 1.0 and 1.3. Noisy neighbours slow each leaf by a factor of 2.5 for 15% of the time, in
// spells of 0.6 s, and each leaf pauses for 120 ms each 3 s. Of 80 VMs each sees its part of the queries, and load reports only with
// replies. No attempt is hedged or retried.
const (
	trialVMs, trialShards, trialZones, trialSlots = 80, 36, 3, 4
	trialSpell, trialPause, trialPauseEvery       = 0.6, 0.12, 3.0
	trialNetwork                                  = 0.0088
)

var trialWork = []struct {
	route      string
	rate, work float64
}{{"small", 26.3, 0.0038}, {"large", 79, 0.011}}

type trialLeaf struct {
	member       *leaves.Member
	speed, phase float64
	noise        []bool
	running      int
	queue        []*trialAttempt
	served       float64
}

type trialQuery struct {
	started  float64
	left     int
	measured bool
	route    int
}

type trialAttempt struct {
	query   *trialQuery
	leaf    *trialLeaf
	vm      int
	started time.Time
	work    float64
}

type trialEvent struct {
	at  float64
	run func()
}

type trialEvents []trialEvent

func (e trialEvents) Len() int           { return len(e) }
func (e trialEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e trialEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *trialEvents) Push(x any)        { *e = append(*e, x.(trialEvent)) }
func (e *trialEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type loadTrial struct {
	random   *rand.Rand
	events   trialEvents
	now      float64
	trackers []*Tracker
	shards   [][]*leaves.Member
	leaves   map[string]*trialLeaf
	// latency holds the latencies of queries by route; behind counts the costly attempts that waited while another costly one ran or
	// waited ahead of them.
	latency          [2][]float64
	attempts, behind int
}

type trialResult struct {
	p50, p99, p999 [2]float64
	most, behind   float64
}

func runLoadTrial(choice Choice, factor float64, seed uint64, seconds float64) trialResult {
	x := &loadTrial{random: rand.New(rand.NewPCG(seed, 1)), leaves: map[string]*trialLeaf{}}
	for vm := range trialVMs {
		x.trackers = append(x.trackers, NewTracker(TrackerOptions{Zone: trialZone(vm), HedgeQuantile: 0.92, Choice: choice}, rand.New(rand.NewPCG(seed, uint64(vm)))))
	}
	for shard := range trialShards {
		var list []*leaves.Member
		for i := range trialZones {
			m := &leaves.Member{Leaf: leaves.Leaf{ID: fmt.Sprint(shard, "-", i), Service: model.ServiceName(fmt.Sprint(shard)), Slots: trialSlots, AvailabilityZone: trialZone(i)}}
			l := &trialLeaf{member: m, speed: []float64{0.8, 1, 1.3}[(i+shard)%3], phase: x.random.Float64() * trialPauseEvery}
			for range int(seconds*2/trialSpell) + 1 {
				l.noise = append(l.noise, x.random.Float64() < 0.15)
			}
			list, x.leaves[m.ID] = append(list, m), l
		}
		x.shards = append(x.shards, list)
	}
	for route := range trialWork {
		x.arrive(route, factor, seconds)
	}
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(trialEvent)
		x.now = e.at
		e.run()
	}
	return x.result()
}

func trialZone(i int) model.AvailabilityZone {
	return model.AvailabilityZone(fmt.Sprint("z", i%trialZones))
}

func (x *loadTrial) after(d float64, run func()) { heap.Push(&x.events, trialEvent{x.now + d, run}) }

func (x *loadTrial) clock() time.Time {
	return start.Add(time.Duration(x.now * float64(time.Second)))
}

// arrive starts the queries of a route, the next of which follows at random.
func (x *loadTrial) arrive(route int, factor, seconds float64) {
	x.after(x.random.ExpFloat64()/(trialWork[route].rate*factor), func() {
		if x.now > seconds {
			return
		}
		vm := x.random.IntN(trialVMs)
		q := &trialQuery{started: x.now, left: trialShards, measured: x.now > seconds/4, route: route}
		for _, list := range x.shards {
			x.send(q, vm, list)
		}
		x.arrive(route, factor, seconds)
	})
}

func (x *loadTrial) send(q *trialQuery, vm int, list []*leaves.Member) {
	now, t := x.clock(), x.trackers[vm]
	m := t.Choose(now, trialWork[q.route].route, list, nil, nil, fakeConnections{})
	t.AttemptStarted(now, trialWork[q.route].route, m)
	a := &trialAttempt{query: q, leaf: x.leaves[m.ID], vm: vm, started: now, work: trialWork[q.route].work * math.Exp(0.35*x.random.NormFloat64())}
	if x.random.IntN(100) == 0 {
		a.work *= 5
	}
	x.after(x.network(a)/2, func() { x.receive(a) })
}

func (x *loadTrial) network(a *trialAttempt) float64 {
	if a.leaf.member.AvailabilityZone == trialZone(a.vm) {
		return 0.0005
	}
	return trialNetwork
}

func (x *loadTrial) receive(a *trialAttempt) {
	l := a.leaf
	if a.query.measured {
		x.attempts++
		costly := func(b *trialAttempt) bool { return b.query.route == 1 }
		if costly(a) && l.running == trialSlots && slices.ContainsFunc(l.queue, costly) {
			x.behind++
		}
	}
	if l.running == trialSlots {
		l.queue = append(l.queue, a)
		return
	}
	x.execute(a)
}

func (x *loadTrial) execute(a *trialAttempt) {
	l := a.leaf
	l.running++
	d := a.work / l.speed
	if spell := int(x.now / trialSpell); spell < len(l.noise) && l.noise[spell] {
		d *= 2.5
	}
	// A pause that begins before the end, or is under way at the start, delays the end.
	if sincePause := math.Mod(x.now+l.phase, trialPauseEvery); sincePause < trialPause {
		d += trialPause - sincePause
	} else if sincePause+d > trialPauseEvery {
		d += trialPause
	}
	if a.query.measured {
		l.served += a.work
	}
	x.after(d, func() {
		l.running--
		if len(l.queue) > 0 {
			next := l.queue[0]
			l.queue = l.queue[1:]
			x.execute(next)
		}
		load := Load{Running: l.running, Waiting: len(l.queue), Slots: trialSlots}
		x.after(x.network(a)/2, func() { x.end(a, load) })
	})
}

func (x *loadTrial) end(a *trialAttempt, load Load) {
	result := successWith("")
	result.Latency, result.Reply.Load = x.clock().Sub(a.started), &load
	x.trackers[a.vm].AttemptEnded(x.clock(), trialWork[a.query.route].route, a.leaf.member, a.started, &result, false)
	if a.query.left--; a.query.left == 0 && a.query.measured {
		x.latency[a.query.route] = append(x.latency[a.query.route], x.now-a.query.started)
	}
}

func (x *loadTrial) result() (r trialResult) {
	for route, list := range x.latency {
		slices.Sort(list)
		at := func(q float64) float64 { return 1000 * list[int(q*float64(len(list)-1))] }
		r.p50[route], r.p99[route], r.p999[route] = at(0.5), at(0.99), at(0.999)
	}
	var sum, most float64
	for _, l := range x.leaves {
		sum, most = sum+l.served, max(most, l.served)
	}
	r.most, r.behind = most/(sum/float64(len(x.leaves))), float64(x.behind)/float64(x.attempts)
	return r
}

// runLoadTrials runs trials with several seeds, each on a goroutine.
func runLoadTrials(choice Choice, factor float64, seeds int) []trialResult {
	results := make([]trialResult, seeds)
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() { results[i] = runLoadTrial(choice, factor, uint64(i)+1, max(10, 40/factor)) })
	}
	wait.Wait()
	return results
}

// Guards against a choice by work whose tail is worse than that of the choice by requests under the load of the core archive: at the
// usual rate, in a burst of 2.5 times, and at 6 times, where requests queue at the leaves.
func TestChoiceByWorkUnderTheLoadOfTheArchive(t *testing.T) {
	const seeds = 4
	for _, factor := range []float64{1, 2.5, 6} {
		var sums [2]trialResult
		for i, choice := range []Choice{ChoiceRequests, ChoiceWork} {
			sum := &sums[i]
			for _, r := range runLoadTrials(choice, factor, seeds) {
				for route := range trialWork {
					sum.p50[route] += r.p50[route] / seeds
					sum.p99[route] += r.p99[route] / seeds
					sum.p999[route] += r.p999[route] / seeds
				}
				sum.most, sum.behind = sum.most+r.most/seeds, sum.behind+r.behind/seeds
			}
			t.Logf("load %.1f %-8s small: p50 %5.1f p99 %5.1f p99.9 %5.1f  large: p50 %5.1f p99 %5.1f p99.9 %5.1f ms  most loaded leaf %.2f  costly behind costly %.4f",
				factor, choice, sum.p50[0], sum.p99[0], sum.p999[0], sum.p50[1], sum.p99[1], sum.p999[1], sum.most, sum.behind)
		}
		// Without a queue both choices differ by less than the means of other seeds do, which is about 2%.
		limit := 1.01
		if factor > 5 {
			limit = 0.95
		}
		for route := range trialWork {
			require.LessOrEqual(t, sums[1].p99[route], limit*sums[0].p99[route], "load %.1f, route %d", factor, route)
		}
	}
}

// workTrial is a tracker with the choice by work that knows three equal leaves, as of at(2000).
func workTrial() (*Tracker, []*leaves.Member) {
	x := newTrackerTrial(3)
	x.tracker.options.Choice = ChoiceWork
	x.send(200, 10, healthy)
	return x.tracker, x.list
}

// shares returns the part of 1000 choices that each of three leaves gets.
func shares(x *Tracker, now time.Time, list []*leaves.Member) (out [3]float64) {
	for range 1000 {
		out[x.Choose(now, "r", list, nil, nil, fakeConnections{}).ID[0]-'a'] += 0.001
	}
	return out
}

// Guards against a lost or old load report that keeps requests from a leaf, against VMs that all choose the leaf which seems best by a
// little, and against a slow leaf that is never tried again.
func TestChoiceByWorkWithOldReports(t *testing.T) {
	now := at(2100)
	x, list := workTrial()
	for _, s := range shares(x, now, list) {
		require.Greater(t, s, 0.2, "equal leaves are chosen at random")
	}
	s := x.statsOf(list[0])
	s.load, s.loadAt = Load{Running: 4, Waiting: 8, Slots: 3}, now
	require.Less(t, shares(x, now, list)[0], 0.01, "its queue is long")
	require.Greater(t, shares(x, now.Add(time.Second), list)[0], 0.2, "the report is old")

	s.load, s.work.slowness, s.work.last, s.work.at = Load{}, 1.3, 1.3, now
	require.Less(t, shares(x, now, list)[0], 0.01, "it is slower")
	require.Positive(t, shares(x, now.Add(2*slownessHalfLife), list)[0], "it is tried again")
}

// Guards against a costly request that is sent behind another costly one because both leaves have as many requests.
func TestChoiceByWorkSeesTheWorkOfOwnRequests(t *testing.T) {
	x, list := workTrial()
	now := at(2100)
	list = list[:2]
	x.work.routes["large"] = &mean{value: 20 * x.work.cost("r"), n: 100}
	for range 3 { // All slots of both leaves.
		x.AttemptStarted(now, "large", list[0])
		x.AttemptStarted(now, "r", list[1])
	}
	require.Less(t, shares(x, now, list)[0], 0.01)
}

// Guards against memory that is allocated for each choice: an entry VM has a fifth of a core.
func TestChoiceAllocatesNothing(t *testing.T) {
	x, list := workTrial()
	require.Zero(t, testing.AllocsPerRun(100, func() { x.Choose(at(2100), "r", list, nil, nil, fakeConnections{}) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, choice := range []Choice{ChoiceRequests, ChoiceWork} {
		b.Run(string(choice), func(b *testing.B) {
			x, list := workTrial()
			x.options.Choice = choice
			b.ReportAllocs()
			for b.Loop() {
				x.Choose(at(2100), "r", list, nil, nil, fakeConnections{})
			}
		})
	}
}
