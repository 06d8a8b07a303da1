package state

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result. Pass -rapid.seed to use
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	// With 100 runs, the default, the test of the connection shares does not detect a missing wait for
	// acknowledgements.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("500")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// machine applies commands to a state with increasing indices.
type machine struct {
	*State
	index uint64
	at    time.Time
}

func newMachine() *machine { return &machine{State: New(), at: epoch} }

func (m *machine) applyNext(command any) any {
	m.index++
	return m.Apply(m.index, m.at, command)
}

func change(id string, basedOn model.Revision, base string, seats int) ApplyConfig {
	return ApplyConfig{
		ChangeID: id, BasedOn: basedOn, Author: "ann", Files: model.ConfigFiles{Base: base},
		Seats: seats, SeatLease: time.Hour, ClaimRetention: 24 * time.Hour,
	}
}

// keyAt returns a UUIDv7 for a time.
func keyAt(at time.Time, n uint16) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint16(id[14:], n)
	return id.String()
}

func layout(service model.ServiceName, number model.LayoutNumber, shards int) model.Layout {
	l := model.Layout{Service: service, Number: number}
	for i := range shards {
		l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(i), Share: 1 / float64(shards)})
	}
	return l
}

// Guards against two accepted changes with the same based-on revision, against a resend that is applied twice, and
// against a change ID that is accepted for two changes.
func TestOneChangeIsAcceptedForEachRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		sent := map[string]ApplyConfig{}
		first := map[string]ChangeResult{}
		accepted := map[model.Revision]string{}
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			id := fmt.Sprintf("change-%d", rapid.IntRange(0, 20).Draw(t, "id"))
			basedOn := model.Revision(rapid.IntRange(0, int(m.history.inForce())+1).Draw(t, "based_on"))
			c := change(id, basedOn, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "base"), 3)
			c.Author = rapid.SampledFrom([]string{"ann", "ben"}).Draw(t, "author")
			before := m.history.inForce()
			r := m.applyNext(c).(ChangeResult)
			if old, ok := sent[id]; ok {
				require.Equal(t, before, m.history.inForce(), "a repeated change ID must not change anything")
				if old.BasedOn != basedOn || old.Files.Base != c.Files.Base {
					require.Equal(t, ChangeIDReused, r.Outcome)
					require.Equal(t, errs.KindInvalid, errs.KindOf(r.Err()))
					continue
				}
				require.Equal(t, first[id].Outcome, r.Outcome)
				require.Equal(t, first[id].Revision, r.Revision)
				require.True(t, r.Repeated)
				continue
			}
			sent[id], first[id] = c, r
			if basedOn == before {
				require.Equal(t, ChangeAccepted, r.Outcome)
				require.Empty(t, accepted[basedOn])
				accepted[basedOn] = id
				require.Equal(t, before+1, r.Revision)
			} else {
				require.Equal(t, ChangeConflict, r.Outcome)
				require.Equal(t, before, r.Revision, "the result of a conflict has the revision in force")
				require.Equal(t, errs.KindConflict, errs.KindOf(r.Err()))
			}
		}
		requireRestores(t, m.State)
	})
}

func requireRestores(t require.TestingT, s *State) *State {
	restored, err := Restore(s.Snapshot())
	require.NoError(t, err)
	require.Equal(t, s.Snapshot(), restored.Snapshot())
	require.Equal(t, s.Disseminated().Digest(), restored.Disseminated().Digest())
	return restored
}

// Guards against a history that grows without limit over hundreds of changes, and against a restart that loses the
// results of changes.
func TestHistoryIsLimitedAndRestored(t *testing.T) {
	m := newMachine()
	big := strings.Repeat("#", 700_000)
	for i := range 600 {
		r := m.applyNext(change(fmt.Sprintf("c%d", i), model.Revision(i), fmt.Sprintf("%s%d", big[:1000+i%2*600_000], i), 3)).(ChangeResult)
		require.Equal(t, ChangeAccepted, r.Outcome)
	}
	require.LessOrEqual(t, m.history.fileBytes(), maxFileBytes)
	require.LessOrEqual(t, len(m.history.files), maxFileRevisions)
	restored := requireRestores(t, m.State)
	r := restored.Apply(601, m.at, change("c3", 3, big[:601_000]+"3", 3)).(ChangeResult)
	require.Equal(t, ChangeResult{ChangeAccepted, 4, true}, r, "an old change ID keeps its result")
	a := restored.Query(GetConfig{}).(ConfigAnswer)
	require.True(t, a.Found)
	require.Equal(t, model.Revision(600), a.InForce)
	require.Equal(t, "c599", a.Entry.ChangeID)
	h := restored.Query(GetHistory{Before: 600, Limit: 2}).(HistoryAnswer)
	require.Equal(t, []model.Revision{599, 598}, []model.Revision{h.Entries[0].Revision, h.Entries[1].Revision})
	require.Equal(t, ChangeUnknown, restored.Query(GetChange{"nobody"}).(ChangeResult).Outcome)
}

// Guards against a committed layout that changes, which would falsify every coverage computed with it.
func TestFirstLayoutIsCommitted(t *testing.T) {
	m := newMachine()
	require.Equal(t, LayoutCommitted, m.applyNext(CommitLayout{layout("s", 1, 3)}).(CommitLayoutResult).Outcome)
	require.Equal(t, LayoutExists, m.applyNext(CommitLayout{layout("s", 1, 3)}).(CommitLayoutResult).Outcome)
	r := m.applyNext(CommitLayout{layout("s", 1, 4)}).(CommitLayoutResult)
	require.Equal(t, LayoutConflict, r.Outcome)
	want := layout("s", 1, 3)
	require.Equal(t, want.Ref(), r.Committed)
	bad := layout("s", 2, 3)
	bad.Shards[0].Share = 0.9
	require.Equal(t, LayoutInvalid, m.applyNext(CommitLayout{bad}).(CommitLayoutResult).Outcome)
	require.Equal(t, &want, m.Disseminated().LayoutTable()["s"][1])
}

// Guards against layouts that accumulate, against dropping one that is in use, and against a dropped number that is
// committed again with other shards.
func TestOldLayoutsAreDroppedOnlyWhenUnused(t *testing.T) {
	m := newMachine()
	number := model.LayoutNumber(0)
	for range maxLayoutsPerService {
		number++
		require.Equal(t, LayoutCommitted, m.applyNext(CommitLayout{layout("s", number, 2)}).(CommitLayoutResult).Outcome)
	}
	require.Equal(t, LayoutsFull, m.applyNext(CommitLayout{layout("s", number+1, 2)}).(CommitLayoutResult).Outcome)
	m.at = m.at.Add(unusedLayoutRetention)
	require.Equal(t, []LayoutKey{{"s", 99}}, m.applyNext(ReportLayoutUse{[]LayoutKey{{"s", 3}, {"s", 99}}}).(LayoutUseResult).Unknown)
	require.Equal(t, LayoutCommitted, m.applyNext(CommitLayout{layout("s", number+1, 2)}).(CommitLayoutResult).Outcome)
	table := m.Disseminated().LayoutTable()["s"]
	require.NotContains(t, table, model.LayoutNumber(2))
	require.Contains(t, table, model.LayoutNumber(3), "a layout in use stays")
	require.Equal(t, LayoutTooOld, m.applyNext(CommitLayout{layout("s", 2, 5)}).(CommitLayoutResult).Outcome)
	requireRestores(t, m.State)
}

// seatVM models one entry VM as the design page requires: it reads its seat from the highest state that it has
// received, acknowledges a change once it has applied it, and stops using its seat before its lease can expire.
type seatVM struct {
	holder model.Holder
	view   *DisseminatedState
	seat   model.Seat
	// seatRevision is the state revision of the last seat result that was applied.
	seatRevision uint64
	usableUntil  time.Time
	released     bool
}

func (v *seatVM) share(now time.Time, key model.TargetKey, limit int) int {
	if v.released || now.After(v.usableUntil) {
		return 0
	}
	return v.seat.ConnectionShare(key, limit)
}

func (v *seatVM) applyResult(sent time.Time, r SeatResult) {
	if r.Outcome != SeatHeld {
		v.usableUntil = time.Time{}
		return
	}
	v.usableUntil = sent.Add(SeatUseDuration(r.Lease))
	if r.StateRevision >= v.seatRevision && r.StateRevision >= v.view.Revision {
		v.seat, v.seatRevision = r.Seat, r.StateRevision
	}
}

func (v *seatVM) receive(s *DisseminatedState) {
	if s.Revision <= v.view.Revision {
		return
	}
	v.view = s
	if s.Revision >= v.seatRevision {
		v.seat = s.SeatOf(v.holder)
	}
}

// Guards against entry VMs whose connections to a target together exceed its limit, whichever changes of the seat
// count, takeovers, releases and expired leases each VM has received.
func TestConnectionSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		states := []*DisseminatedState{m.Disseminated()}
		vms := make([]*seatVM, 3)
		incarnation := uint64(0)
		start := func(i int) {
			incarnation++
			vms[i] = &seatVM{holder: model.Holder{VM: model.VMName(fmt.Sprintf("vm%d", i)), Incarnation: incarnation}, view: m.Disseminated(), seat: model.NoSeat}
		}
		for i := range vms {
			start(i)
		}
		// The weights let VMs run long enough to hold seats over several changes of the seat count, and let leases
		// expire while other VMs wait for a seat.
		actions := []string{"configure", "acquire", "acquire", "acquire", "renew", "renew", "renew", "release", "restart", "receive", "receive", "receive"}
		limits := []int{1, 2, 3, 25, 30, 35, 110}
		for step := range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.at = m.at.Add(rapid.SampledFrom([]time.Duration{0, 20 * time.Second, 40 * time.Second, time.Minute}).Draw(t, "elapsed"))
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			v := vms[i]
			answered := rapid.Bool().Draw(t, "answered")
			var r any
			switch action := rapid.SampledFrom(actions).Draw(t, "action"); {
			case action == "configure":
				c := change(fmt.Sprintf("c%d", step), m.history.inForce(), "x", rapid.IntRange(1, 3).Draw(t, "seats"))
				c.SeatLease = time.Duration(rapid.IntRange(4, 6).Draw(t, "lease")) * time.Minute
				r = m.applyNext(c)
			case action == "receive":
				v.receive(states[rapid.IntRange(0, len(states)-1).Draw(t, "received")])
			case action == "restart":
				start(i)
			case action == "release":
				v.released = true
				r = m.applyNext(ReleaseSeat{v.holder})
			case v.released:
			case action == "acquire":
				r = m.applyNext(AcquireSeat{v.holder})
			case action == "renew":
				acknowledged := uint64(0)
				if v.view.Revision >= v.seatRevision {
					acknowledged = v.view.Seats.Change
				}
				r = m.applyNext(RenewSeat{v.holder, acknowledged})
			}
			if sr, ok := r.(SeatResult); ok && answered && !v.released {
				v.applyResult(m.at, sr)
			}
			if last := states[len(states)-1]; m.Disseminated() != last {
				states = append(states, m.Disseminated())
			}
			requireWithinLimits(t, vms, m.at, limits)
		}
		requireRestores(t, m.State)
	})
}

func requireWithinLimits(t *rapid.T, vms []*seatVM, now time.Time, limits []int) {
	for n, limit := range limits {
		key := model.TargetKey{Service: "s", ID: model.TargetID(fmt.Sprint(n))}
		sum := 0
		for _, v := range vms {
			sum += v.share(now, key, limit)
		}
		if sum > limit {
			for _, v := range vms {
				t.Logf("%v seat %+v view %d seats %+v", v.holder, v.seat, v.view.Revision, v.view.Seats)
			}
			t.Fatalf("%d connections to a target with limit %d", sum, limit)
		}
	}
}

// Guards against a change of the seat count that never ends, or that ends before every holder has acknowledged it.
func TestSeatCountChangeWaitsForEveryHolder(t *testing.T) {
	m := newMachine()
	a, b := model.Holder{VM: "a", Incarnation: 1}, model.Holder{VM: "b", Incarnation: 1}
	require.Equal(t, SeatNone, m.applyNext(AcquireSeat{a}).(SeatResult).Outcome, "no configuration, no seats")
	m.applyNext(change("c1", 0, "x", 2))
	require.Equal(t, model.Seat{Index: 0, Seats: 2, PreviousSeats: 2}, m.applyNext(AcquireSeat{a}).(SeatResult).Seat)
	require.Equal(t, 1, m.applyNext(AcquireSeat{b}).(SeatResult).Seat.Index)
	require.Equal(t, SeatNone, m.applyNext(AcquireSeat{model.Holder{VM: "c", Incarnation: 1}}).(SeatResult).Outcome)

	m.applyNext(change("c2", 1, "x", 4))
	r := m.applyNext(RenewSeat{a, 2}).(SeatResult)
	require.Equal(t, model.Seat{Index: 0, Seats: 4, PreviousSeats: 2}, r.Seat, "b has not acknowledged")
	require.Equal(t, uint64(2), r.Change)
	r = m.applyNext(RenewSeat{b, 2}).(SeatResult)
	require.Equal(t, model.Seat{Index: 1, Seats: 4, PreviousSeats: 4}, r.Seat)

	// A new incarnation gets the seat of the older one, which is refused from then on.
	again := model.Holder{VM: "a", Incarnation: 2}
	require.Equal(t, 0, m.applyNext(AcquireSeat{again}).(SeatResult).Seat.Index)
	require.Equal(t, SeatLost, m.applyNext(AcquireSeat{a}).(SeatResult).Outcome)
	require.Equal(t, SeatLost, m.applyNext(RenewSeat{a, 2}).(SeatResult).Outcome)
	m.applyNext(ReleaseSeat{a})
	require.Equal(t, 0, m.Disseminated().SeatOf(again).Index, "an older incarnation cannot release the seat")

	// A decrease removes the seats beyond the new count. The lease of the holder of seat 1 expires, so that its
	// acknowledgement is not needed.
	m.applyNext(change("c3", 2, "x", 1))
	for range 12 {
		m.at = m.at.Add(maxLeaseStep)
		m.applyNext(RenewSeat{again, 3})
	}
	require.Equal(t, SeatTable{Count: 1, Previous: 1, Change: 3, Lease: time.Hour}, withoutHolders(m.Disseminated().Seats))
	require.Equal(t, model.NoSeat, m.Disseminated().SeatOf(b))
}

func withoutHolders(t SeatTable) SeatTable {
	t.Holders, t.Changed = nil, 0
	return t
}

// Guards against all seats expiring at the same time after a time without a quorum or a jump of the leader's clock.
func TestLeaseClockAdvancesInLimitedSteps(t *testing.T) {
	m := newMachine()
	m.applyNext(change("c1", 0, "x", 2))
	a := model.Holder{VM: "a", Incarnation: 1}
	m.applyNext(AcquireSeat{a})
	m.at = m.at.Add(100 * time.Hour)
	require.Equal(t, SeatHeld, m.applyNext(RenewSeat{a, 1}).(SeatResult).Outcome)
	c := change("c2", 1, "y", 2)
	c.SeatLease = time.Minute
	m.applyNext(c)
	m.applyNext(ReleaseSeat{a})
	m.applyNext(AcquireSeat{a})
	m.at = m.at.Add(100 * time.Hour)
	require.Equal(t, SeatHeld, m.applyNext(RenewSeat{a, 1}).(SeatResult).Outcome, "a short lease has small steps")
}

// Guards against a seat that is assigned to another VM while its former holder still uses it by its own clock, when
// the leader's clock has jumped ahead.
func TestSeatIsReassignedOnlyAfterItsUseHasEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		c := change("c1", 0, "x", 1)
		c.SeatLease = time.Duration(rapid.IntRange(1, 600).Draw(t, "lease")) * time.Minute
		m.applyNext(c)
		m.applyNext(AcquireSeat{model.Holder{VM: "a", Incarnation: 1}})
		start := m.at
		jump := time.Duration(rapid.IntRange(0, 1000).Draw(t, "jump")) * time.Hour
		jumpAt := rapid.IntRange(0, 100).Draw(t, "jump_at")
		step := time.Duration(rapid.IntRange(1, 100).Draw(t, "step")) * c.SeatLease / 400
		for i := range 2000 {
			m.at = m.at.Add(step)
			elapsed := m.at.Sub(start)
			if i >= jumpAt {
				elapsed -= jump
			}
			if i == jumpAt {
				m.at, elapsed = m.at.Add(jump), elapsed+jump
			}
			if m.applyNext(AcquireSeat{model.Holder{VM: "b", Incarnation: 1}}).(SeatResult).Outcome == SeatHeld {
				require.Greater(t, elapsed, SeatUseDuration(c.SeatLease))
				return
			}
		}
		t.Fatal("the seat never expired")
	})
}

// Guards against a seat that expires while its holder still relies on an earlier renewal, because the answer to a
// renewal under a shorter lease was lost.
func TestRenewalNeverShortensALease(t *testing.T) {
	m := newMachine()
	m.applyNext(change("c1", 0, "x", 1))
	a := model.Holder{VM: "a", Incarnation: 1}
	m.applyNext(AcquireSeat{a})
	c := change("c2", 1, "y", 1)
	c.SeatLease = time.Minute
	m.applyNext(c)
	m.applyNext(RenewSeat{a, 1})
	for range 11 {
		m.at = m.at.Add(maxLeaseStep)
		require.Equal(t, SeatNone, m.applyNext(AcquireSeat{model.Holder{VM: "b", Incarnation: 1}}).(SeatResult).Outcome)
	}
}

// Guards against an order that two attempts may dispatch, against a late FinishClaim that overwrites another
// attempt's claim, and against an order that runs again after its claim was pruned.
func TestOrdersAreGrantedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		keys := []string{keyAt(epoch, 1), keyAt(epoch.Add(time.Hour), 2), keyAt(epoch.Add(-time.Hour), 3)}
		type dispatch struct {
			attempt model.AttemptID
			// released is set once the attempt has released its claim: it certainly did not run the order and will not.
			released bool
		}
		ran := map[string][]*dispatch{}
		retentions := []time.Duration{time.Hour, 24 * time.Hour, 48 * time.Hour}
		for step := range rapid.IntRange(5, 120).Draw(t, "steps") {
			m.at = m.at.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "elapsed")) * time.Minute)
			key := rapid.SampledFrom(keys).Draw(t, "key")
			order := model.OrderID{Service: "s", Key: key}
			attempt := model.AttemptID(fmt.Sprintf("a%d", step))
			if old := ran[key]; len(old) > 0 && rapid.Bool().Draw(t, "same_attempt") {
				attempt = old[rapid.IntRange(0, len(old)-1).Draw(t, "attempt")].attempt
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				r := m.applyNext(ClaimOrder{order, model.Holder{VM: "v", Incarnation: 1}, attempt, 7, m.at.Add(time.Second)}).(model.ClaimResult)
				if r.Decision != model.ClaimGranted {
					continue
				}
				for _, d := range ran[key] {
					require.True(t, d.attempt == attempt && !d.released || d.released, "attempt %s was granted while %s may run", attempt, d.attempt)
					require.False(t, d.attempt == attempt && d.released && last(ran[key]).attempt == attempt, "a released attempt was granted again")
				}
				if len(ran[key]) == 0 || last(ran[key]).attempt != attempt {
					ran[key] = append(ran[key], &dispatch{attempt: attempt})
				}
			case 2:
				before := m.Query(GetClaim{order}).(ClaimAnswer)
				r := m.applyNext(FinishClaim{order, attempt, []byte(attempt)}).(ClaimUpdate)
				if r.Applied {
					require.Equal(t, attempt, r.Claim.Attempt)
				} else if before.Found && r.Found {
					require.Equal(t, before.Claim, r.Claim, "a refused FinishClaim changes nothing")
				}
			case 3:
				if r := m.applyNext(ReleaseClaim{order, attempt, 7}).(ClaimUpdate); r.Applied && len(ran[key]) > 0 && last(ran[key]).attempt == attempt {
					last(ran[key]).released = true
				}
			case 4:
				c := change(fmt.Sprintf("c%d", step), m.history.inForce(), "x", 1)
				c.ClaimRetention = rapid.SampledFrom(retentions).Draw(t, "retention")
				m.applyNext(c)
			}
		}
		requireRestores(t, m.State)
	})
}

func last[T any](in []T) T { return in[len(in)-1] }

// Guards against a decision that does not match the key and the claim on it.
func TestClaimDecisions(t *testing.T) {
	m := newMachine()
	holder := model.Holder{VM: "v", Incarnation: 1}
	claim := func(key string, attempt model.AttemptID, digest uint64) model.ClaimResult {
		return m.applyNext(ClaimOrder{model.OrderID{Service: "s", Key: key}, holder, attempt, digest, m.at.Add(time.Second)}).(model.ClaimResult)
	}
	key := keyAt(epoch, 1)
	order := model.OrderID{Service: "s", Key: key}
	require.Equal(t, model.ClaimGranted, claim(key, "a1", 7).Decision)
	require.Equal(t, model.ClaimGranted, claim(key, "a1", 7).Decision, "the same attempt resends its claim after a lost answer")
	require.Equal(t, model.ClaimExists, claim(key, "a2", 7).Decision)
	require.Equal(t, model.ClaimMismatch, claim(key, "a2", 8).Decision)
	require.True(t, m.applyNext(ReleaseClaim{order, "a1", 7}).(ClaimUpdate).Applied)
	require.Equal(t, model.ClaimExists, claim(key, "a1", 7).Decision, "a released attempt is not granted again")
	require.Equal(t, model.ClaimGranted, claim(key, "a2", 7).Decision)
	require.False(t, m.applyNext(FinishClaim{order, "a1", []byte("late")}).(ClaimUpdate).Applied)
	require.True(t, m.applyNext(FinishClaim{order, "a2", []byte("done")}).(ClaimUpdate).Applied)
	require.True(t, m.applyNext(FinishClaim{order, "a2", []byte("done")}).(ClaimUpdate).Applied, "a resend")
	require.False(t, m.applyNext(ReleaseClaim{order, "a2", 7}).(ClaimUpdate).Applied)
	done := claim(key, "a3", 7)
	require.Equal(t, model.ClaimExists, done.Decision)
	require.Equal(t, []byte("done"), done.Claim.Result)

	// After a release that arrives before its claim, the claim is refused and another attempt may run.
	other := keyAt(epoch, 2)
	require.True(t, m.applyNext(ReleaseClaim{model.OrderID{Service: "s", Key: other}, "b1", 0}).(ClaimUpdate).Applied)
	require.Equal(t, model.ClaimExists, claim(other, "b1", 9).Decision)
	require.Equal(t, model.ClaimGranted, claim(other, "b2", 9).Decision)

	require.Equal(t, ClaimInvalid, claim("not-a-uuid", "a", 1).Decision)
	require.Equal(t, ClaimInvalid, claim(strings.ToUpper(keyAt(epoch, 0xabcd)), "a", 1).Decision)
	require.Equal(t, ClaimInvalid, claim(uuid.NewString(), "a", 1).Decision, "a UUIDv4 carries no time")
	require.Equal(t, ClaimInvalid, claim(keyAt(epoch.Add(time.Hour), 3), "a", 1).Decision, "a key from the future")
	require.Equal(t, model.ClaimExpired, claim(keyAt(epoch.Add(-25*time.Hour), 4), "a", 1).Decision)
	late := ClaimOrder{model.OrderID{Service: "s", Key: keyAt(epoch, 5)}, holder, "a", 1, m.at.Add(-time.Minute)}
	require.Equal(t, ClaimLate, m.applyNext(late).(model.ClaimResult).Decision)

	m.at = m.at.Add(25 * time.Hour)
	require.Equal(t, model.ClaimExpired, claim(key, "a9", 7).Decision)
	require.Empty(t, m.claims.byOrder, "claims beyond the retention are pruned")
	require.Zero(t, m.claims.resultBytes)
	c := change("c1", 0, "x", 1)
	c.ClaimRetention = 300 * time.Hour
	m.applyNext(c)
	require.Equal(t, model.ClaimExpired, claim(key, "a9", 7).Decision, "a longer retention does not allow an expired key again")
	require.True(t, m.Query(GetClaim{order}).(ClaimAnswer).Expired)
}

// Guards against a copy of the disseminated state that differs from the original after any sequence of deltas, and
// against a copy that applies a lower revision or a damaged delta.
func TestDeltasLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		replica := NewDisseminatedState()
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.at = m.at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "elapsed")) * time.Hour)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				c := change(fmt.Sprintf("c%d", step), m.history.inForce(), "x", rapid.IntRange(1, 5).Draw(t, "seats"))
				c.Files.Overlays = map[model.SiteName]string{}
				for _, site := range rapid.SliceOf(rapid.SampledFrom([]model.SiteName{"a", "b", "c"})).Draw(t, "sites") {
					c.Files.Overlays[site] = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "text")
				}
				m.applyNext(c)
			case 1:
				m.applyNext(CommitLayout{layout("s", model.LayoutNumber(step+1), 2)})
			case 2:
				m.applyNext(AcquireSeat{model.Holder{VM: model.VMName(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "vm")), Incarnation: uint64(step + 1)}})
			case 3:
				u := m.Disseminated().UpdateFrom(replica.Revision)
				before := replica
				damaged := u
				damaged.Digest++
				_, err := replica.Apply(damaged)
				require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
				replica, err = replica.Apply(u)
				require.NoError(t, err)
				require.Equal(t, m.Disseminated().Full(), replica.Full())
				require.Equal(t, m.Disseminated().ConfigFiles(), replica.ConfigFiles())
				if before.Revision < replica.Revision {
					_, err = replica.Apply(before.Full())
					require.Equal(t, errs.KindConflict, errs.KindOf(err))
				}
			}
		}
	})
}

// Guards against control VMs that differ after the same entries, in particular when one of them was restored from
// a snapshot on the way.
func TestSameEntriesGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		other := New()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.at = m.at.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Minute)
			h := model.Holder{VM: model.VMName(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "vm")), Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))}
			order := model.OrderID{Service: "s", Key: keyAt(epoch, uint16(rapid.IntRange(1, 3).Draw(t, "order")))}
			attempt := model.AttemptID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "attempt"))
			number := model.LayoutNumber(rapid.IntRange(1, 30).Draw(t, "layout"))
			command := rapid.SampledFrom([]any{
				change(fmt.Sprintf("c%d", step), m.history.inForce(), "x", rapid.IntRange(1, 3).Draw(t, "seats")),
				CommitLayout{layout("s", number, 2)}, ReportLayoutUse{[]LayoutKey{{"s", number}}},
				AcquireSeat{h}, RenewSeat{h, m.Disseminated().Seats.Change}, ReleaseSeat{h},
				ClaimOrder{order, h, attempt, 7, m.at}, FinishClaim{order, attempt, []byte("r")}, ReleaseClaim{order, attempt, 7},
			}).Draw(t, "command")
			want := m.applyNext(command)
			require.Equal(t, want, other.Apply(m.index, m.at, command))
			if rapid.Bool().Draw(t, "restart") {
				other = requireRestores(t, other)
			}
		}
		require.Equal(t, m.Snapshot(), other.Snapshot())
	})
}

// Guards against a damaged snapshot that is restored.
func TestInconsistentSnapshotsAreRefused(t *testing.T) {
	m := newMachine()
	m.applyNext(change("c1", 0, "x", 2))
	m.applyNext(CommitLayout{layout("s", 1, 2)})
	m.applyNext(ClaimOrder{model.OrderID{Service: "s", Key: keyAt(epoch, 1)}, model.Holder{VM: "v", Incarnation: 1}, "a", 7, m.at})
	for name, damage := range map[string]func(*Snapshot){
		"digest":         func(s *Snapshot) { s.Disseminated.Digest++ },
		"history":        func(s *Snapshot) { s.History = nil },
		"change digest":  func(s *Snapshot) { s.Changes[0].Digest = nil },
		"unknown layout": func(s *Snapshot) { s.Layouts[0].Key.Number = 9 },
		"leases":         func(s *Snapshot) { s.Seats.Leases = s.Seats.Leases[:1] },
		"claim twice":    func(s *Snapshot) { s.Claims.Claims = append(s.Claims.Claims, s.Claims.Claims[0]) },
		"claim key":      func(s *Snapshot) { s.Claims.Claims[0].Claim.Order.Key = "x" },
		"seats":          func(s *Snapshot) { s.Disseminated.Seats.Count = -1 },
	} {
		s := m.Snapshot()
		damage(&s)
		_, err := Restore(s)
		require.Equal(t, errs.KindCorrupt, errs.KindOf(err), name)
	}
}

// Guards against tombstones that accumulate in the disseminated state.
func TestTombstonesAreLimited(t *testing.T) {
	m := newMachine()
	old := m.Disseminated().Revision
	for i := range 2 * maxTombstones {
		c := change(fmt.Sprintf("c%d", i), m.history.inForce(), "x", 1)
		c.Files.Overlays = map[model.SiteName]string{model.SiteName(fmt.Sprintf("site%d", i)): "x"}
		m.applyNext(c)
		if i == 0 {
			old = m.Disseminated().Revision
		}
	}
	require.LessOrEqual(t, len(m.Disseminated().Files), maxTombstones+2)
	require.True(t, m.Disseminated().UpdateFrom(old).Full, "no delta is possible from before the oldest tombstone")
	require.False(t, m.Disseminated().UpdateFrom(m.Disseminated().Floor).Full)
	requireRestores(t, m.State)
}

// Guards against a command whose values make the state grow without limit, or whose text cannot be encoded.
func TestMalformedChangesAreRefused(t *testing.T) {
	m := newMachine()
	for name, edit := range map[string]func(*ApplyConfig){
		"no ID":        func(c *ApplyConfig) { c.ChangeID = "" },
		"long ID":      func(c *ApplyConfig) { c.ChangeID = strings.Repeat("x", 65) },
		"no seats":     func(c *ApplyConfig) { c.Seats = 0 },
		"many seats":   func(c *ApplyConfig) { c.Seats = 1 << 40 },
		"long lease":   func(c *ApplyConfig) { c.SeatLease = 1 << 62 },
		"no retention": func(c *ApplyConfig) { c.ClaimRetention = 0 },
	} {
		c := change("c1", 0, "x", 1)
		edit(&c)
		r := m.applyNext(c).(ChangeResult)
		require.Equal(t, ChangeInvalid, r.Outcome, name)
		require.Equal(t, errs.KindInvalid, errs.KindOf(r.Err()))
	}
	c := change("c1", 0, "x", 1)
	c.Comment = strings.Repeat("x", maxTextBytes-1) + "é"
	m.applyNext(c)
	require.True(t, utf8.ValidString(m.Query(GetConfig{}).(ConfigAnswer).Entry.Comment))
}

// Guards against an unsupported command that changes the state.
func TestUnsupportedCommandIsRejected(t *testing.T) {
	m := newMachine()
	require.IsType(t, Rejected{}, m.applyNext(struct{}{}))
	require.IsType(t, Rejected{}, m.Query(struct{}{}))
	require.Equal(t, uint64(1), m.Applied())
	require.Zero(t, m.Query(GetStatus{}).(StatusAnswer).StateRevision)
}
