package kernel

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

func testModule(id ModuleID, provides, needs, wants []Capability) ModuleInfo {
	return ModuleInfo{ID: id, New: func() Module { return nil }, Provides: provides, Needs: needs, Wants: wants}
}

// Guards against a module that starts before the modules that it depends on, or drains after them.
func TestModulesFollowTheirDependencies(t *testing.T) {
	a := testModule("a", nil, []Capability{"y"}, []Capability{"x"})
	b := testModule("b", []Capability{"x"}, nil, nil)
	c := testModule("c", []Capability{"y"}, []Capability{"x"}, nil)
	order, err := dependencyOrder([]ModuleInfo{a, b, c})
	require.NoError(t, err)
	var ids []ModuleID
	for _, m := range order {
		ids = append(ids, m.ID)
	}
	require.Equal(t, []ModuleID{"b", "c", "a"}, ids)
}

// Guards against a process that starts without a module that others need, and against modules that need each other.
func TestMissingProviderAndCycleAreRefused(t *testing.T) {
	_, err := dependencyOrder([]ModuleInfo{testModule("a", nil, []Capability{"x"}, nil)})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	_, err = dependencyOrder([]ModuleInfo{testModule("a", []Capability{"x"}, []Capability{"y"}, nil), testModule("b", []Capability{"y"}, []Capability{"x"}, nil)})
	require.ErrorContains(t, err, "depends on itself")
}

type eventCounter struct {
	control *Control
	events  int
}

func (c *eventCounter) HandleEvent(_ time.Time, ev Event) {
	if _, ok := ev.(string); ok {
		c.events++
		c.control.MarkDirty()
	}
}

func (c *eventCounter) ContributeView(_ time.Time, v *View) { v.StateRevision = uint64(c.events) }

// Guards against a caller of Do that reads a view older than its own change, and against leaked goroutines.
func TestControlPublishesBeforeDoReturns(t *testing.T) {
	defer goleak.VerifyNone(t)
	control := newControl(time.Now)
	controller := &eventCounter{control: control}
	control.AddController(controller)
	ctx, cancel := context.WithCancel(context.Background())
	changes := control.Changes()
	go control.run(ctx)
	for n := range uint64(100) {
		require.True(t, control.Post("event"))
		require.NoError(t, control.Do(context.Background(), func(time.Time) {}))
		require.Equal(t, n+1, control.View().StateRevision)
	}
	<-changes
	cancel()
	<-control.stopped
	require.Error(t, control.Do(context.Background(), func(time.Time) {}), "Do fails after the control goroutine has stopped")
}

// Guards against a traffic goroutine that blocks on a full queue.
func TestPostNeverBlocks(t *testing.T) {
	control := newControl(time.Now)
	for range controlQueueLength {
		require.True(t, control.Post("event"))
	}
	require.False(t, control.Post("event"))
	require.EqualValues(t, 1, control.Dropped())
}
