package dissemination_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const phaseDuration = 4 * time.Second

// BenchmarkDissemination measures the cost of the replicated state for each VM, without changes and with one change per
// second of a 2 KB overlay beside a 20 KB base file. The measured VMs include three control VMs. Run it with
// -benchtime 1x.
func BenchmarkDissemination(b *testing.B) {
	for _, vms := range []int{10, 30, 100} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			currentGroup = &group{state: state.New(), vms: map[*testControl]bool{}}
			g := currentGroup
			c := peertest.NewCluster(b, 3, vms, 3, "")
			revision := model.Revision(0)
			change := func() {
				files := model.ConfigFiles{
					Base:     baseFile(vms) + strings.Repeat("# comment of forty characters in the file\n", 500),
					Overlays: map[model.SiteName]string{"north": fmt.Sprintf("# %d\n", revision) + strings.Repeat("# comment of forty characters in the file\n", 50)},
				}
				r := g.apply(state.ApplyConfig{ChangeID: fmt.Sprint(revision), BasedOn: revision, Author: "x", Files: files, Seats: vms, SeatLease: time.Hour, ClaimRetention: time.Hour})
				require.NoError(b, r.(state.ChangeResult).Err())
				revision++
			}
			change()
			inForce := func() bool {
				for _, vm := range c.VMs {
					if v := c.View(vm.Name); v.Config == nil || v.Config.Revision != revision || vm.Roles == "entry" && v.Seat.Index < 0 {
						return false
					}
				}
				return true
			}
			require.Eventually(b, inForce, time.Minute, time.Millisecond)
			b.ResetTimer()
			for range b.N {
				c.Measure(b, "quiet", phaseDuration, func(stop <-chan struct{}) { <-stop })
				slowest := time.Duration(0)
				c.Measure(b, "changes", phaseDuration, func(stop <-chan struct{}) {
					tick := time.NewTicker(time.Second)
					defer tick.Stop()
					for {
						select {
						case <-stop:
							return
						case <-tick.C:
							started := time.Now()
							change()
							require.Eventually(b, inForce, time.Minute, time.Millisecond)
							slowest = max(slowest, time.Since(started))
						}
					}
				})
				b.ReportMetric(float64(slowest.Milliseconds()), "ms-in-force")
			}
		})
	}
}
