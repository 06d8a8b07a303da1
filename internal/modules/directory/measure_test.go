package directory_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// renewEvery is the renewal interval of the measured targets, whose leases are three times as long.
	renewEvery = 3 * time.Second
	// settlingTime exceeds the duration of a lease.
	settlingTime = 4 * renewEvery
	// phaseDuration is the duration of each measured phase.
	phaseDuration = 4 * time.Second
)

// fleet announces targets as real targets do: to the responsible VMs that the responses name.
type fleet struct {
	cluster     *cluster
	targets     []*model.Announcement
	responsible [][]model.VMName
	directories map[model.VMName]kernel.TargetDirectory
}

func newFleet(b *testing.B, c *cluster, n int) *fleet {
	f := &fleet{cluster: c, directories: map[model.VMName]kernel.TargetDirectory{}, responsible: make([][]model.VMName, n)}
	for name, k := range c.Running {
		d, err := kernel.Lookup[kernel.TargetDirectory](k.Context())
		require.NoError(b, err)
		f.directories[name] = d
	}
	for i := range n {
		vm := c.VMs[i%len(c.VMs)]
		a := announcement(fmt.Sprint(i), 1, 1, model.TargetServing)
		a.AvailabilityZone, a.Lease, a.Addr = vm.Zone, 3*renewEvery, fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		a.Shards = []model.ShardID{model.ShardID(i), model.ShardID(i + 1), model.ShardID(i + 2)}
		f.targets = append(f.targets, a)
		f.responsible[i] = []model.VMName{vm.Name}
		f.announce(b, i)
		f.announce(b, i)
	}
	return f
}

func (f *fleet) announce(b *testing.B, i int) {
	next := *f.targets[i]
	next.Sequence++
	f.targets[i] = &next
	for _, vm := range f.responsible[i] {
		r, err := f.directories[vm].Announce(context.Background(), &next)
		require.NoError(b, err)
		f.responsible[i] = f.responsible[i][:0:0]
		for _, url := range r.Responsible {
			f.responsible[i] = append(f.responsible[i], model.VMName(strings.TrimPrefix(url, "http://")))
		}
	}
}

// renew returns a function that renews all targets at their interval and changes the index version of some of them each
// second.
func (f *fleet) renew(b *testing.B, changesPerSecond int) func(stop <-chan struct{}) {
	return func(stop <-chan struct{}) {
		const step = 50 * time.Millisecond
		tick := time.NewTicker(step)
		defer tick.Stop()
		renewed, changed := 0.0, 0.0
		for n := 0; ; {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			for renewed += float64(len(f.targets)) * float64(step) / float64(renewEvery); renewed >= 1; renewed-- {
				i := n % len(f.targets)
				n++
				if changed >= 1 {
					changed--
					next := *f.targets[i]
					next.IndexVersions = []model.IndexVersion{next.IndexVersions[0] + 1}
					f.targets[i] = &next
				}
				f.announce(b, i)
			}
			changed += float64(changesPerSecond) * step.Seconds()
		}
	}
}

// BenchmarkGossip measures the cost of the targets' leases for each VM, without changes and with 10 changes per second.
// Run it with -benchtime 1x.
func BenchmarkGossip(b *testing.B) {
	for _, vms := range []int{10, 30, 100} {
		for _, targets := range []int{300, 1000, 3000} {
			b.Run(fmt.Sprintf("VMs=%d/targets=%d", vms, targets), func(b *testing.B) {
				c := newCluster(b, 3, vms, "")
				c.waitConnected()
				f := newFleet(b, c, targets)
				for name := range c.Running {
					require.Eventually(b, func() bool {
						s := c.View(name).Targets("depot")
						return s != nil && len(s.Targets) >= targets
					}, time.Minute, 10*time.Millisecond)
				}
				// The VMs of the first announcements may not be the responsible ones, so let the leases there expire
				// first.
				stop := make(chan struct{})
				time.AfterFunc(settlingTime, func() { close(stop) })
				f.renew(b, 0)(stop)
				b.ResetTimer()
				for range b.N {
					c.Measure(b, "quiet", phaseDuration, f.renew(b, 0))
					c.Measure(b, "changes", phaseDuration, f.renew(b, 10))
				}
			})
		}
	}
}
