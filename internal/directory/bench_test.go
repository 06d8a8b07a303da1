package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// BenchmarkDirectory measures the memory per target, including the published view, and the time to rebuild the view of
// a service after a change of one target. Each service has as many shards as targets, at most 1,100; each target holds
// two shards.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{300, 1000, 3000, 35000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := New(n)
			shards := min(n, 1100)
			layouts := map[model.ServiceName]map[model.LayoutNumber]*model.Layout{}
			for i := range n {
				a := benchTarget(i, shards)
				if _, err := d.Apply(start, a, ReplicatedState{}); err != nil {
					b.Fatal(err)
				}
				if layouts[a.Service] == nil {
					layouts[a.Service] = map[model.LayoutNumber]*model.Layout{1: benchLayout(a.Service, shards)}
				}
			}
			d.View(layouts)
			runtime.GC()
			runtime.ReadMemStats(&after)
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				a := benchTarget(0, shards)
				a.Sequence, a.IndexVersions = sequence, []model.IndexVersion{model.IndexVersion(sequence)}
				if _, err := d.Apply(start.Add(time.Millisecond), a, ReplicatedState{}); err != nil {
					b.Fatal(err)
				}
				d.View(layouts)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/target")
			runtime.KeepAlive(d)
		})
	}
}

func benchLayout(s model.ServiceName, shards int) *model.Layout {
	l := &model.Layout{Service: s, Number: 1}
	for i := range shards {
		l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(i), Share: 1 / float64(shards)})
	}
	return l
}

func benchTarget(i, shards int) *model.Announcement {
	service := model.ServiceName(fmt.Sprint("service-", i/shards))
	return &model.Announcement{
		Service: service, ID: model.TargetID(fmt.Sprint("leaf-", i)), AvailabilityZone: "a", Addr: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200+1),
		Incarnation: 1, Sequence: 1, State: model.TargetServing, Layout: benchLayout(service, shards).Ref(),
		Shards: []model.ShardID{model.ShardID(i % shards), model.ShardID((i + 1) % shards)}, IndexVersions: []model.IndexVersion{1},
		Slots: 2, ConnectionLimit: 35, Lease: time.Minute,
	}
}
