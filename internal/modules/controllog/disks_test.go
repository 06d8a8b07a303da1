package controllog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// follower returns a voter that does not lead.
func (g *group) follower() model.VMName {
	var found model.VMName
	g.until("there is a follower", func() bool {
		for _, vm := range g.vms {
			if g.kernels[vm] != nil && g.log(vm).Status().Role == roleFollower && g.log(vm).Status().Leader != "" {
				found = vm
				return true
			}
		}
		return false
	})
	return found
}

// Guards against a control VM that was replaced as a voter while it was silent, and never becomes a member again because it has
// not learned that it was removed. Each such case left the group with one VM less to replace the next one.
func TestReplacedVoterComesBack(t *testing.T) {
	g := newGroup(t, 4, fastKeys+"max_voters = 3\nreplace_after = 400ms\n")
	g.form()
	g.propose("x")
	for range 2 {
		silent := g.follower()
		networkOf(g.cluster).setDisconnected(silent, true)
		g.until("the silent VM is replaced", func() bool { return len(g.log(g.leader()).Status().Members) == 3 })
		g.propose("y")
		networkOf(g.cluster).setDisconnected(silent, false)
		g.until("it is a member again", func() bool { return len(g.log(g.leader()).Status().Members) == 4 })
		g.until("it catches up", func() bool { return g.state(silent) == g.state(g.leader()) })
		require.Equal(t, roleLearner, g.log(silent).Status().Role)
	}
}

// Guards against a replica that waits for good with a received snapshot because its own log takes the space.
func TestReceivedSnapshotFreesSpace(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	const entries = 200 // More than three segments.
	for id := consensus.WriteID(1); id <= entries; id++ {
		d.enqueue(write(id))
		require.Equal(t, persistedEvent{id}, <-events)
	}
	d.enqueue(snapshotTask{&consensus.Snapshot{Index: entries / 2, Term: 1}})
	require.True(t, (<-events).(snapshotEvent).saved)
	d.enqueue(write(entries + 1))
	require.Equal(t, persistedEvent{entries + 1}, <-events)
	fs.SetCapacity(fs.Used())
	d.enqueue(&consensus.Write{ID: entries + 2, Snapshot: &consensus.Snapshot{Index: 2 * entries, Term: 1, Data: make([]byte, testSegmentBytes/2)}})
	for {
		select {
		case ev := <-events:
			if ev == (persistedEvent{entries + 2}) {
				require.Empty(t, failures)
				return
			}
		case <-time.After(waitLimit):
			t.Fatal("the received snapshot is not stored")
		}
	}
}
