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
	// seatTimeout bounds one command about the seat.
	seatTimeout = 10 * time.Second
	// closeTime is how long connections beyond a share may take to close when no module can tell: the longest
	// attempt that is expected.
	closeTime = 10 * time.Second
	// closePoll is how often the transport is asked whether it is within its shares, while the VM drains.
	closePoll = 20 * time.Millisecond
	// releaseTimeout bounds the wait for closed connections, and then the command, while the VM drains.
	releaseTimeout = 3 * time.Second
)

// seatResultEvent carries the result of a command about the seat.
type seatResultEvent struct {
	command any
	sentAt  time.Time
	result  state.SeatResult
	err     error
}

// seats joins the seat keeper with the control client and the connections.
type seats struct {
	module *Module
	keeper *dissemination.SeatKeeper
	ctx    *kernel.Context
	// last is the seat of the last view, shownAt when a view first showed the change numbered shown.
	last    model.Seat
	shown   uint64
	shownAt time.Time
}

func newSeats(m *Module, ctx *kernel.Context) *seats {
	return &seats{module: m, keeper: dissemination.NewSeatKeeper(ctx.VM), ctx: ctx, last: model.NoSeat}
}

// contribute returns the seat for a view.
func (s *seats) contribute(now time.Time, v *kernel.View) model.Seat {
	shared := s.module.node.Shared()
	s.keeper.SetContact(s.module.node.Contact())
	seat := s.keeper.Current(now, shared)
	if seat != s.last {
		_ = level.Info(s.module.log).Log("msg", "seat changed", "seat", seat.Index, "seats", seat.Seats, "previous_seats", seat.PreviousSeats, "view", v.Version)
		s.last = seat
		s.showReadiness()
	}
	if change := s.keeper.Change(shared); seat.Index >= 0 && change > s.shown {
		s.shown, s.shownAt = change, now
	}
	return seat
}

// noSeatReason is why a VM without a seat gets no requests: it could answer none of them.
const noSeatReason = "the VM has no seat, so it may open no connection to targets"

func (s *seats) showReadiness() {
	if s.last.Index < 0 {
		s.module.readiness.Set(seatReadinessKey, noSeatReason)
	} else {
		s.module.readiness.Clear(seatReadinessKey)
	}
}

// step publishes a changed seat and sends the next command.
func (s *seats) step(now time.Time) {
	shared := s.module.node.Shared()
	s.keeper.SetContact(s.module.node.Contact())
	if s.keeper.Current(now, shared) != s.last {
		s.module.control.MarkDirty()
	}
	s.takeUp(now)
	command := s.keeper.Command(now, shared)
	if command == nil {
		return
	}
	run := s.module.run
	go func() {
		ctx, cancel := context.WithTimeout(run, seatTimeout)
		defer cancel()
		// The lease counts from here, so that it ends here before it lapses at control.
		ev := seatResultEvent{command: command, sentAt: s.module.now()}
		result, err := s.module.propose(ctx, command)
		r, ok := result.(state.SeatResult)
		if err == nil && !ok {
			err = errs.New(errs.KindInternal, "report this fault", "the result of a seat is a %T", result)
		}
		ev.result, ev.err = r, err
		_ = s.module.control.PostWait(run, ev) // It fails only once the process ends.
	}()
}

func (s *seats) result(now time.Time, ev seatResultEvent) {
	s.keeper.Result(now, ev.sentAt, ev.command, ev.result, ev.err, s.module.random())
	if ev.err != nil {
		_ = level.Warn(s.module.log).Log("msg", "seat not confirmed", "err", ev.err)
		return
	}
	_ = level.Info(s.module.log).Log("msg", "seat answered", "outcome", ev.result.Outcome, "seat", ev.result.Seat.Index, "change", ev.result.Change, "lease", ev.result.Lease)
}

// takeUp notes a change of the number of seats once no connection is beyond the share of the published view.
func (s *seats) takeUp(now time.Time) {
	if s.shown <= s.keeper.TakenUp() {
		return
	}
	if within, known := s.withinShares(); known && within || !known && now.Sub(s.shownAt) >= closeTime {
		s.keeper.TakeUp(s.shown)
		_ = level.Info(s.module.log).Log("msg", "change of the number of seats taken up", "change", s.shown)
	}
}

// withinShares asks the transport. It is looked up late, because the transport is provisioned after this module.
func (s *seats) withinShares() (within, known bool) {
	t, err := kernel.Lookup[kernel.ShareKeeper](s.ctx)
	if err != nil {
		return false, false
	}
	return t.WithinShares(s.module.control.View()), true
}

// drain stops the use of the seat, waits for the connections to close and gives the seat back.
func (s *seats) drain(ctx context.Context) error {
	var command any
	if err := s.module.control.Do(ctx, func(time.Time) {
		command = s.keeper.Release()
		s.module.control.MarkDirty()
	}); err != nil || command == nil {
		return err
	}
	if !s.waitClosed(ctx) {
		_ = level.Warn(s.module.log).Log("msg", "seat kept until its lease lapses, because connections to targets are still open")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := s.module.propose(ctx, command); err != nil {
		// The seat passes on when its lease lapses or this VM starts again, so a drain does not fail over it.
		_ = level.Warn(s.module.log).Log("msg", "seat not given back", "err", err)
		return nil
	}
	_ = level.Info(s.module.log).Log("msg", "seat given back")
	return nil
}

func (s *seats) waitClosed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	poll := time.NewTicker(closePoll)
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
