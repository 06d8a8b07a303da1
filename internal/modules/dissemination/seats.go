package dissemination

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/dissemination"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// seatCommandTimeout limits one command that acquires or renews the seat.
	seatCommandTimeout = 10 * time.Second
	// assumedCloseTime is the time after which connections beyond the share are assumed to be closed if no module can
	// report it: the longest attempt that is expected.
	assumedCloseTime = 10 * time.Second
	// closePollInterval is how often a draining VM polls the transport for whether it is within its shares.
	closePollInterval = 20 * time.Millisecond
	// releaseTimeout limits, in a drain, the wait until connections are closed, and then the command that releases the
	// seat.
	releaseTimeout = 3 * time.Second
)

// seatResultEvent carries the result of a command that acquires or renews the seat.
type seatResultEvent struct {
	command any
	sentAt  time.Time
	result  state.SeatResult
	err     error
}

// seats connects the seat keeper with the control client and the connections.
type seats struct {
	module *Module
	keeper *dissemination.SeatKeeper
	ctx    *kernel.Context
	// lastSeat is the seat in the last view. publishedChange is the last change of the number of seats in a view, and
	// publishedAt when a view first contained it.
	lastSeat        model.Seat
	publishedChange uint64
	publishedAt     time.Time
}

func newSeats(m *Module, ctx *kernel.Context) *seats {
	return &seats{module: m, keeper: dissemination.NewSeatKeeper(ctx.VM), ctx: ctx, lastSeat: model.NoSeat}
}

// contribute returns the seat for a view. It logs a change of the seat and updates the readiness.
func (s *seats) contribute(now time.Time, v *kernel.View) model.Seat {
	disseminated := s.module.node.Disseminated()
	s.keeper.SetControlContact(s.module.node.ControlContact())
	seat := s.keeper.Current(now, disseminated)
	if seat != s.lastSeat {
		_ = level.Info(s.module.logger).Log("msg", "seat changed", "seat", seat.Index, "seats", seat.Seats, "previous_seats", seat.PreviousSeats, "view", v.Version)
		s.lastSeat = seat
		s.updateReadiness()
	}
	if change := s.keeper.Change(disseminated); seat.Index >= 0 && change > s.publishedChange {
		s.publishedChange, s.publishedAt = change, now
	}
	return seat
}

// noSeatReason is the reason why a VM without a seat is not ready: it could not answer any request.
const noSeatReason = "the VM has no seat, so it may open no connection to targets"

func (s *seats) updateReadiness() {
	if s.lastSeat.Index < 0 {
		s.module.readiness.Set(seatReadinessKey, noSeatReason)
	} else {
		s.module.readiness.Clear(seatReadinessKey)
	}
}

// step publishes a changed seat and sends the next command.
func (s *seats) step(now time.Time) {
	disseminated := s.module.node.Disseminated()
	s.keeper.SetControlContact(s.module.node.ControlContact())
	if s.keeper.Current(now, disseminated) != s.lastSeat {
		s.module.control.MarkDirty()
	}
	s.recordAppliedChange(now)
	command := s.keeper.Command(now, disseminated)
	if command == nil {
		return
	}
	runCtx := s.module.runCtx
	go func() {
		ctx, cancel := context.WithTimeout(runCtx, seatCommandTimeout)
		defer cancel()
		// The lease starts before the command is sent, so that it ends at this VM before it expires at the control
		// group.
		ev := seatResultEvent{command: command, sentAt: s.module.now()}
		result, err := s.module.propose(ctx, command)
		r, ok := result.(state.SeatResult)
		if err == nil && !ok {
			err = errs.New(errs.KindInternal, "report this fault", "the result of a seat command has type %T", result)
		}
		ev.result, ev.err = r, err
		_ = s.module.control.PostWait(runCtx, ev) // It fails only when the process ends.
	}()
}

func (s *seats) handleResult(now time.Time, ev seatResultEvent) {
	s.keeper.HandleResult(now, ev.sentAt, ev.command, ev.result, ev.err, s.module.random())
	if ev.err != nil {
		_ = level.Warn(s.module.logger).Log("msg", "command to acquire or renew the seat failed", "err", ev.err)
		return
	}
	_ = level.Info(s.module.logger).Log("msg", "the control group answered the command to acquire or renew the seat", "outcome", ev.result.Outcome, "seat", ev.result.Seat.Index, "change", ev.result.Change, "lease", ev.result.Lease)
}

// recordAppliedChange records a change of the number of seats as applied once no connection is beyond the share of the
// published view.
func (s *seats) recordAppliedChange(now time.Time) {
	if s.publishedChange <= s.keeper.AppliedChange() {
		return
	}
	if within, known := s.withinShares(); known && within || !known && now.Sub(s.publishedAt) >= assumedCloseTime {
		s.keeper.MarkChangeApplied(s.publishedChange)
		_ = level.Info(s.module.logger).Log("msg", "connections are within the share after a change of the number of seats", "change", s.publishedChange)
	}
}

// withinShares reports whether the transport is within its shares; known is false if no module can report it. The
// transport is looked up on each call, because it is provisioned after this module.
func (s *seats) withinShares() (within, known bool) {
	t, err := kernel.Lookup[kernel.ConnectionShareChecker](s.ctx)
	if err != nil {
		return false, false
	}
	return t.WithinShares(s.module.control.View()), true
}

// drain stops the use of the seat, waits for the connections to close and releases the seat at the control group.
func (s *seats) drain(ctx context.Context) error {
	var command any
	if err := s.module.control.Do(ctx, func(time.Time) {
		command = s.keeper.Release()
		s.module.control.MarkDirty()
	}); err != nil || command == nil {
		return err
	}
	if !s.waitClosed(ctx) {
		_ = level.Warn(s.module.logger).Log("msg", "seat not released because connections to targets are still open; it becomes free when its lease expires")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := s.module.propose(ctx, command); err != nil {
		// The seat becomes free when its lease expires or this VM starts again, so the drain does not fail because of
		// it.
		_ = level.Warn(s.module.logger).Log("msg", "seat could not be released; it becomes free when its lease expires", "err", err)
		return nil
	}
	_ = level.Info(s.module.logger).Log("msg", "seat released")
	return nil
}

func (s *seats) waitClosed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	for {
		if within, known := s.withinShares(); known && within {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
}
