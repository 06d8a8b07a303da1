package peertest

import (
	"syscall"
	"testing"
	"time"
)

// messageOverheadBytes is the approximate size of a message on the wire in addition to its kind and payload: 12 bytes
// of yamux, 4 of length, 8 of protobuf and 52 of TCP and IP with timestamps.
const messageOverheadBytes = 76

// Measure runs fn for the duration d and reports the traffic of the VMs during that time: messages and bytes per VM
// and second, bytes per second of the busiest VM, and the CPU time of the whole process divided by the number of VMs.
func (c *Cluster) Measure(b *testing.B, label string, d time.Duration, fn func(stop <-chan struct{})) {
	before := make([]Traffic, len(c.VMs))
	for i, vm := range c.VMs {
		before[i] = c.Network.Traffic(vm.Name)
	}
	cpuBefore, started := cpuTime(), time.Now()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		fn(stop)
	}()
	<-time.After(d)
	close(stop)
	<-done
	elapsed := time.Since(started).Seconds()
	var bytes, messages, busiest float64
	for i, vm := range c.VMs {
		after := c.Network.Traffic(vm.Name)
		out := float64(after.BytesOut-before[i].BytesOut) + messageOverheadBytes*float64(after.MessagesOut-before[i].MessagesOut)
		bytes += out
		messages += float64(after.MessagesOut - before[i].MessagesOut)
		busiest = max(busiest, out)
	}
	n := float64(len(c.VMs))
	b.ReportMetric(messages/n/elapsed, label+"-msg/VM/s")
	b.ReportMetric(bytes/n/elapsed, label+"-B/VM/s")
	b.ReportMetric(busiest/elapsed, label+"-B/busiest/s")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/n/elapsed, label+"-%core/VM")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
