package forwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// fakeGranter grants everything or nothing, and counts the requested extra attempts.
type fakeGranter struct {
	grant     bool
	requested atomic.Int32
}

func (x *fakeGranter) RequestExtras(_ context.Context, services []model.ServiceName) ([]bool, error) {
	x.requested.Add(int32(len(services)))
	granted := make([]bool, len(services))
	for i := range granted {
		granted[i] = x.grant
	}
	return granted, nil
}

// sheddingTransport turns every other attempt at a service away.
type sheddingTransport struct {
	partitionTransport
	attempts map[model.ServiceName]int
}

func (x *sheddingTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	reply := &forward.LeafReply{Status: 200, Signature: l.ID}
	if x.attempts[l.Service]++; x.attempts[l.Service]%2 == 1 {
		reply = &forward.LeafReply{Status: 503, NotRun: true}
	}
	done(forward.AttemptResult{Reply: reply, Sent: true, Latency: time.Millisecond})
	return sentAttempt(func() {})
}

// Guards against a request that is not sent again although a control VM grants the attempt, and against one that is sent again although
// none is granted.
func TestGrantedExtraAttemptsAreUsed(t *testing.T) {
	for _, grant := range []bool{true, false} {
		m, _ := newPartitionModule(t)
		v := *m.control.View()
		index := &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{}}
		for s, list := range v.Leaves.Services {
			other := *list[0]
			other.ID += "-2"
			index.Services[s] = append(list, &other)
		}
		m.control.SetTestView(&kernel.View{Routes: v.Routes, Leaves: index, EntryVMs: 1})
		m.transport = &sheddingTransport{attempts: map[model.ServiceName]int{}}
		g := &fakeGranter{grant: grant}
		m.granter, m.grants = g, forward.NewGrantBook()
		complete := 0
		for range 20 {
			if r := m.forwardRequest(time.Second); r.Kind == forward.KindMerged && r.Missing == 0 {
				complete++
			}
		}
		require.Positive(t, g.requested.Load())
		if grant {
			require.Equal(t, 20, complete)
		} else {
			require.Less(t, complete, 20)
		}
	}
}
