package membership

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

// callPeers answers each call with a fixed payload and error.
type callPeers struct {
	fakePeers
	payload []byte
	err     error
}

func (x callPeers) Call(context.Context, model.VMName, kernel.PeerMessage) ([]byte, error) {
	return x.payload, x.err
}

// Guards against an answer for other services that is taken for a grant, and against a request without a control VM that waits.
func TestExtrasAreRequestedFromTheControlVM(t *testing.T) {
	m := newModule()
	_, err := m.RequestExtras(t.Context(), []model.ServiceName{"a"})
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))
	primary := model.VMName("b")
	m.outlierPool.primary.Store(&primary)
	payload, err := proto.Marshal(&membershippb.ExtraReply{Granted: []bool{true, false}})
	require.NoError(t, err)
	m.peers = callPeers{payload: payload}
	granted, err := m.RequestExtras(t.Context(), []model.ServiceName{"a", "b"})
	require.NoError(t, err)
	require.Equal(t, []bool{true, false}, granted)
	_, err = m.RequestExtras(t.Context(), []model.ServiceName{"a"})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	m.peers = callPeers{payload: []byte{0xff}}
	_, err = m.RequestExtras(t.Context(), []model.ServiceName{"a"})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
}

// Guards against control VMs that together grant more than the pool, and against a malformed request that ends one.
func TestControlVMGrantsItsPart(t *testing.T) {
	m := newModule()
	m.extraPool = forward.NewExtraPool(start.Add(-time.Hour), 100, 10*time.Second)
	granted := 0
	for range 50 {
		answer := m.grantExtras(start, []string{"a", "b", "a"})
		require.Len(t, answer, 3)
		for _, g := range answer {
			if g {
				granted++
			}
		}
	}
	part := int(forward.BudgetSafety * forward.PooledShare * 100 / float64(m.controlVMCount()))
	require.Equal(t, 5, m.controlVMCount())
	require.Equal(t, 2*part, granted, "for each of the two services")
	_, err := m.handleExtra(t.Context(), "e", []byte{0xff})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
}
