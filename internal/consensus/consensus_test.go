package consensus

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// TestMain fixes the seed of the property tests, so that CI has the same result on every run. The flag -rapid.seed
// selects another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against two leaders in a term, two votes of a replica in a term, lost or
// reordered committed entries, stale reads and a group that does not recover, under message loss, duplication,
// reordering, partitions, crashes and lost disks.
func TestSafetyAndRecoveryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		// Single integers are drawn close to zero most of the time; eight bytes give a different schedule in each run.
		seed := binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
		s := newSim(t, seed, voters)
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss")
		crashes := rapid.SampledFrom([]int{0, 2, 8, 20}).Draw(t, "crashes")
		lostDisks := rapid.Bool().Draw(t, "lost disks") && voters > 1
		for range rapid.SampledFrom([]int{500, 2000, 6000}).Draw(t, "steps") {
			s.step(crashes, lostDisks, voters)
		}
		s.heal()
		s.until("all members have the whole log", s.converged)
		s.until("the group is repaired", func() bool { return s.repaired(voters) })
		s.until("a proposal is accepted", func() bool { return s.leader() != nil && s.propose(s.leader()) })
		s.until("a new entry is applied everywhere", s.converged)
	})
}

// Guards against a group that is left with more or fewer voters than its limit after faults, for good or in turns, when voters are
// replaced while they are silent, come back at any moment, and the limit is lowered. No quorum is lost on the way.
func TestVoterLimitHoldsAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")
		seed := binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
		s := newSim(t, seed, voters)
		s.maxVoters = rapid.SampledFrom([]int{3, voters}).Draw(t, "max voters")
		s.replaceAfter = rapid.SampledFrom([]int{12, 20, 40}).Draw(t, "replace after")
		for _, r := range s.replicas {
			r.node.cfg.MaxVoters, r.node.cfg.ReplaceAfterTicks = s.maxVoters, s.replaceAfter
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "spare VMs") {
			s.start(s.newReplica(model.VMName(fmt.Sprintf("spare-%d", i))))
		}
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		crashes := rapid.SampledFrom([]int{0, 2, 8}).Draw(t, "crashes")
		for range rapid.SampledFrom([]int{500, 2000, 6000}).Draw(t, "steps") {
			s.step(crashes, false, voters)
		}
		s.heal()
		for range 3 * s.replaceAfter {
			s.round()
		}
		s.until("all replicas are members, and the number of voters is the limit", func() bool {
			return s.voterLimitHolds() && len(s.leader().node.members()) == len(s.replicas) && s.converged()
		})
		leader, members := s.leader(), s.leader().node.Status().Members
		for range 3 * s.replaceAfter {
			s.round()
		}
		if l := s.leader(); l != leader || !slices.Equal(members, l.node.Status().Members) {
			t.Fatalf("an idle group changed from %v under %s to %v under %s", members, leader.id, l.node.Status().Members, l.id)
		}
		s.until("a proposal is accepted", func() bool { return s.propose(s.leader()) })
		s.until("a new entry is applied everywhere", s.converged)
	})
}

// step performs one random action or fault.
func (s *sim) step(crashes int, lostDisks bool, voters int) {
	live := s.live()
	if len(live) == 0 {
		s.heal()
		return
	}
	r := live[s.random.IntN(len(live))]
	switch p := s.random.IntN(1000); {
	case p < 70:
		s.now = s.now.Add(1)
		for _, other := range live {
			if s.random.IntN(5) > 0 {
				s.tick(other)
			}
		}
	case p < 620:
		s.deliver()
	case p < 800:
		s.persist(r, s.random.IntN(len(r.disk.queue)+1))
	case p < 900:
		s.propose(r)
	case p < 920:
		s.read(r)
	case p < 930:
		s.join()
	case p < 938:
		s.partitioned[r.vm] = !s.partitioned[r.vm]
	case p < 941:
		s.partitioned = map[model.VMName]bool{}
	case p < 950:
		s.compact(r)
	case p < 955:
		_ = r.node.TransferLeadership()
		s.flush(r)
	case p < 957:
		r.node.SetDiskFull(!r.node.diskFull)
	case p < 961:
		r.paused = true
	case p < 961+crashes:
		s.crash(r)
	case p < 995:
		for _, other := range s.replicas {
			other.paused = other.paused && s.random.IntN(4) > 0
			if other.node == nil && !other.diskLost {
				s.start(other)
			}
		}
	case lostDisks && s.repaired(voters):
		s.loseDisk(r)
	}
}

func healthy(t *testing.T, voters int) *sim {
	s := newSim(t, 7, voters)
	s.until("a leader is elected", func() bool { return s.leader() != nil && s.leader().node.committedInTerm() })
	return s
}

func (s *sim) proposeMany(t *testing.T, k int) {
	for range k {
		require.True(t, s.propose(s.leader()))
		s.round()
	}
	s.until("the entries are applied everywhere", s.converged)
}

// Guards against a new replica that counts for a quorum before it has synced the entries
// that it acknowledges. A second VM loses its disk as soon as the first one is repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	s := healthy(t, 3)
	s.proposeMany(t, 60)
	highestApplied, chain := s.highestApplied, s.chains[s.highestApplied]
	for _, vm := range []model.VMName{"vm-1", "vm-2", "vm-0"} {
		for _, r := range s.live() {
			if r.vm == vm {
				s.compact(r)
				s.loseDisk(r)
				break
			}
		}
		s.until("the group is repaired", func() bool { return s.repaired(3) })
	}
	s.until("all members have the whole log", s.converged)
	require.Equal(t, chain, s.chains[highestApplied])
	require.GreaterOrEqual(t, s.leader().applied, highestApplied)
	for _, r := range s.live() {
		require.NotContains(t, []ReplicaID{"r1", "r2", "r3"}, r.id)
	}
}

// Guards against a leader that stays leader without a quorum, and against a term that
// increases when it reconnects.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	s.partitioned[old.vm] = true
	require.True(t, s.propose(old))
	s.read(old)
	s.until("the isolated leader steps down", func() bool { return old.node.role != Leader })
	require.Zero(t, s.readsReleased)
	s.until("another leader commits", func() bool { return s.leader() != nil && s.leader().node.committedInTerm() })
	for range 200 {
		s.round()
	}
	term, leader := s.leader().node.term, s.leader()
	s.partitioned = map[model.VMName]bool{}
	s.until("the old leader follows", func() bool { return old.node.leader == leader.id })
	s.proposeMany(t, 3)
	require.Equal(t, term, s.leader().node.term)
	require.Equal(t, leader.id, s.leader().id)
}

// Guards against a shutdown that leaves the group without a leader for an election timeout, and against a proposal during it that
// is refused for good, although the next leader accepts it.
func TestTransferLeadership(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	require.NoError(t, old.node.TransferLeadership())
	last := old.node.Status().Last
	_, err := old.node.Propose(s.now, []byte("x"))
	require.Equal(t, errs.KindNotLeader, errs.KindOf(err))
	require.Equal(t, last, old.node.Status().Last, "nothing was appended")
	s.flush(old)
	start := s.now
	s.until("another replica leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.Less(t, s.now.Sub(start).Milliseconds(), int64(10), "the transfer target waited for an election timeout")
}

// Guards against an election that takes several timeouts because replicas start it at the same moment and split the votes.
func TestSimultaneousCandidatesElectALeaderAtOnce(t *testing.T) {
	for _, voters := range []int{3, 5} {
		s := healthy(t, voters)
		s.until("all are idle", s.converged)
		s.leader().node = nil
		s.network = nil
		for _, r := range s.live() {
			r.node.electionElapsed, r.node.electionTimeout = 12, 13
		}
		for range 3 {
			s.round()
		}
		require.NotNil(t, s.leader(), "%d voters", voters)
	}
}

// Guards against a lost leader whose silence counts only from the election of the next one, and against a voter that counts as silent
// although it has just voted.
func TestSilenceOfALostLeaderCountsFromItsLastMessage(t *testing.T) {
	s := healthy(t, 3)
	for _, r := range s.replicas {
		r.node.cfg.ReplaceAfterTicks = 40
	}
	s.until("all are idle", s.converged)
	old := s.leader()
	rounds := 0
	old.paused = true
	s.until("another replica leads", func() bool { rounds++; return s.leader() != nil })
	silence := s.leader().node.progress[old.id].ticksSinceContact
	require.GreaterOrEqual(t, silence, rounds-3, "a heartbeat is sent every two ticks")
	require.LessOrEqual(t, silence, rounds)
	old.paused = false
	s.until("the old leader follows", s.converged)
	next := s.leader()
	require.NoError(t, next.node.TransferLeadership())
	s.flush(next)
	s.until("leadership is transferred", func() bool { return s.leader() != nil && s.leader() != next })
	require.Less(t, s.leader().node.progress[next.id].ticksSinceContact, 4, "it handed over and runs")
}

// Guards against a running voter that is replaced because it led long ago: a leader that is elected again has had no message of it since.
func TestSilenceOfAnEarlierLeaderDoesNotCount(t *testing.T) {
	s := healthy(t, 5)
	for _, r := range s.replicas {
		r.node.cfg.ReplaceAfterTicks = 40
	}
	s.until("all are idle", s.converged)
	first := s.leader()
	require.NoError(t, first.node.TransferLeadership())
	s.flush(first)
	s.until("leadership is transferred", func() bool { return s.leader() != nil && s.leader() != first && s.converged() })
	second := s.leader()
	for range 300 {
		s.round()
	}
	first.paused = true
	second.node.becomeFollower(second.node.term, "")
	second.node.startCampaign(MsgVote, true)
	s.flush(second)
	s.until("it is elected again", func() bool { return s.leader() == second })
	require.Less(t, second.node.progress[first.id].ticksSinceContact, 10)
}

// Guards against a leader with a full disk that blocks the group while other disks have space.
func TestDiskFull(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	old.node.SetDiskFull(true)
	_, err := old.node.Propose(s.now, []byte("x"))
	require.Equal(t, errs.KindDiskFull, errs.KindOf(err))
	s.until("a replica with free disk space leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.True(t, s.propose(s.leader()))
	s.until("the entry is committed without the full replica", func() bool { return s.leader().node.commit == s.leader().node.log.last() })
	old.node.SetDiskFull(false)
	s.until("the replica catches up", s.converged)
}

// Guards against a group that elects no leader after a restart because all disks are full, so that replicas go on with a state
// that is older than the one that was acknowledged.
func TestAllDisksFull(t *testing.T) {
	s := healthy(t, 3)
	require.True(t, s.propose(s.leader()))
	s.until("the entry is applied", func() bool { return s.leader().applied == s.leader().node.log.last() })
	want := s.leader().applied
	for _, r := range s.replicas {
		s.crash(r)
		s.start(r)
		r.node.SetDiskFull(true)
	}
	s.until("the entry is applied everywhere", func() bool {
		return !slices.ContainsFunc(s.replicas, func(r *simReplica) bool { return r.applied < want })
	})
	s.until("a leader is elected", func() bool { return s.leader() != nil })
	leader := s.leader()
	for range 100 {
		s.round()
	}
	require.Equal(t, leader, s.leader(), "leadership moves between replicas with a full disk")
	_, err := s.leader().node.Propose(s.now, []byte("x"))
	require.Equal(t, errs.KindDiskFull, errs.KindOf(err))
	s.heal()
	s.until("entries are accepted again", func() bool { return s.leader() != nil && s.propose(s.leader()) })
	s.until("the replicas catch up", s.converged)
}

// Guards against a leader that keeps leadership by heartbeats although its disk completes no write.
func TestDiskStalled(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	s.stalled = old
	require.True(t, s.propose(old))
	s.until("a replica whose disk works leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.True(t, s.propose(s.leader()))
	s.until("the entry is applied", func() bool { return s.leader().applied == s.leader().node.log.last() })
	s.stalled = nil
	s.until("the replica catches up", s.converged)
}

// Guards against a group whose quorum grows with every added control VM.
func TestMaxVoters(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters = 3
	}
	s.start(s.newReplica("vm-9"))
	s.until("the VM is a learner", func() bool { return len(s.leader().node.members()) == 4 })
	s.proposeMany(t, 20)
	require.Len(t, s.leader().node.voters(), 3)
	s.loseDisk(s.replicas[0])
	s.until("a lost voter is replaced", func() bool {
		l := s.leader()
		return l != nil && len(l.node.voters()) == 3 && !l.node.isVoter(s.replicas[0].id) && !l.node.changePending()
	})
}

// Guards against a group without a limit of voters that removes each voter which is unresponsive for a while, until the next
// loss stops it.
func TestNoVoterIsSurplusWithoutALimit(t *testing.T) {
	s := healthy(t, 3)
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters, r.node.cfg.ReplaceAfterTicks = 0, 40
	}
	crashed := s.replicas[0]
	if crashed == s.leader() {
		crashed = s.replicas[1]
	}
	crashed.node = nil
	for range 200 {
		s.round()
	}
	require.Len(t, s.leader().node.voters(), 3)
}

// Guards against a voter that is replaced without a learner that has caught up, by another replica than the leader, or after the leader has
// been asked to replace itself.
func TestReplaceVoterIsRefused(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters = 3
	}
	s.until("all are idle", s.converged)
	leader, other := s.leader(), s.replicas[0]
	if other == leader {
		other = s.replicas[1]
	}
	require.Equal(t, errs.KindNotFound, errs.KindOf(leader.node.ReplaceVoter(other.id)))
	require.Equal(t, errs.KindNotLeader, errs.KindOf(other.node.ReplaceVoter(leader.id)))
	spare := s.newReplica("vm-9")
	s.start(spare)
	s.until("the spare VM is a learner", func() bool { return s.converged() && len(leader.node.members()) == 4 })
	require.Equal(t, errs.KindConflict, errs.KindOf(leader.node.ReplaceVoter(leader.id)))
	require.NoError(t, leader.node.ReplaceVoter(spare.id), "it is no voter")
	spare.paused = true
	s.until("the learner is silent", func() bool { return !leader.node.responsive(leader.node.progress[spare.id]) })
	require.Equal(t, errs.KindNotFound, errs.KindOf(leader.node.ReplaceVoter(other.id)))
	require.Len(t, leader.node.voters(), 3)
}

// Guards against two uncommitted membership changes, whose quorums need not intersect.
func TestOneChangeAtATime(t *testing.T) {
	s := healthy(t, 3)
	l := s.leader().node
	_, err := l.ProposeChange(s.now, Change{Kind: AddLearner, Member: Member{Replica: "x", VM: "vm-8"}})
	require.NoError(t, err)
	_, err = l.ProposeChange(s.now, Change{Kind: AddLearner, Member: Member{Replica: "y", VM: "vm-9"}})
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))
}

// Guards against VMs that were replaced under another name and stay voters forever, so that
// the group eventually loses its quorum.
func TestRetiredVMIsRemoved(t *testing.T) {
	s := healthy(t, 3)
	retired := s.replicas[0]
	if retired == s.leader() {
		retired = s.replicas[1]
	}
	for _, r := range s.replicas {
		r.node.cfg.Retired = func(vm model.VMName) bool { return vm == retired.vm }
	}
	s.proposeMany(t, 3)
	require.Len(t, s.leader().node.members(), 3, "a responsive VM is not removed")
	retired.node, retired.diskLost = nil, true
	s.start(s.newReplica("vm-9"))
	s.until("the new VM has replaced the old one", func() bool { return s.repaired(3) })
}

// Guards against a group that cannot tolerate the next loss although it has a spare
// learner, and against more voters than allowed once the unresponsive one is back.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters, r.node.cfg.ReplaceAfterTicks = 3, 40
	}
	spare := s.newReplica("vm-9")
	s.start(spare)
	spare.node.cfg.ReplaceAfterTicks = 40
	s.until("the spare VM is a learner", func() bool { return s.leader() != nil && len(s.leader().node.members()) == 4 })
	crashed := s.replicas[0]
	if crashed == s.leader() {
		crashed = s.replicas[1]
	}
	s.crash(crashed)
	s.until("the learner has replaced it as a voter", func() bool {
		l := s.leader()
		return l != nil && l.node.isVoter(spare.id) && !l.node.isVoter(crashed.id) && len(l.node.voters()) == 3 && !l.node.changePending()
	})
	require.True(t, s.propose(s.leader()))
}

// Guards against a group that keeps one voter more than its limit because a voter is back between the promotion of its replacement
// and its own removal. A quorum would be larger, and no learner would be left to replace the next loss.
func TestVoterBackBeforeItsRemoval(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters, s.replaceAfter = 3, 40
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters, r.node.cfg.ReplaceAfterTicks = s.maxVoters, s.replaceAfter
	}
	spare := s.newReplica("vm-9")
	s.start(spare)
	s.until("the spare VM is a learner", func() bool { return len(s.leader().node.members()) == 4 })
	s.until("all are idle", s.converged)
	leader := s.leader()
	var silent *simReplica
	for _, r := range s.replicas {
		if r != leader && r != spare {
			silent = r
		}
	}
	silent.paused = true
	s.until("the voter counts as lost", func() bool { return leader.node.progress[silent.id].ticksSinceContact >= s.replaceAfter-1 })
	s.stalled = spare // The promotion of the learner is not committed before the voter is back.
	s.until("the learner is promoted", func() bool { return leader.node.isVoter(spare.id) })
	silent.paused = false
	s.until("the voter is back", func() bool { return leader.node.responsive(leader.node.progress[silent.id]) })
	s.stalled = nil
	s.until("a voter is a learner again", s.voterLimitHolds)
	require.Len(t, leader.node.members(), 4, "no VM leaves the group")
	last := leader.node.memberships[len(leader.node.memberships)-1].index
	s.proposeMany(t, 100)
	require.Equal(t, leader, s.leader())
	require.Equal(t, last, leader.node.memberships[len(leader.node.memberships)-1].index, "the voters change again")
}

// Guards against voters above a limit that was lowered, and against a demotion that loses a quorum: while a voter is silent, or
// has not answered a new leader, no responsive one is demoted.
func TestLoweredVoterLimit(t *testing.T) {
	s := healthy(t, 5)
	s.until("all are idle", s.converged)
	old := s.leader()
	require.NoError(t, old.node.TransferLeadership())
	var silent *simReplica
	for _, r := range s.replicas {
		if r != old && r.id != old.node.transferTarget {
			silent = r
		}
	}
	silent.paused = true
	s.flush(old)
	s.until("another replica leads", func() bool { return s.leader() != nil && s.leader() != old && s.leader().node.committedInTerm() })
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters = s.maxVoters
	}
	leader := s.leader()
	for range 200 {
		s.round()
		require.Len(t, leader.node.voters(), 5, "a voter is demoted while another one is silent")
	}
	silent.paused = false
	full := old
	full.node.SetDiskFull(true)
	s.until("the number of voters is the limit", s.voterLimitHolds)
	require.Equal(t, leader, s.leader())
	require.Len(t, leader.node.members(), 5)
	require.False(t, leader.node.isVoter(full.id), "a voter with space was demoted before one with a full disk")
	full.node.SetDiskFull(false)
	s.proposeMany(t, 20)
	require.Len(t, leader.node.voters(), 3)
}

// Guards against a leader that demotes itself, and against a learner that is demoted again.
func TestLeaderIsNotDemoted(t *testing.T) {
	s := healthy(t, 3)
	l := s.leader().node
	l.cfg.MaxVoters = 2 // A learner is not promoted again.
	_, err := l.ProposeChange(s.now, Change{Kind: Demote, Member: Member{Replica: l.cfg.Replica}})
	require.Equal(t, errs.KindConflict, errs.KindOf(err))
	other := s.replicas[0].id
	if other == l.cfg.Replica {
		other = s.replicas[1].id
	}
	_, err = l.ProposeChange(s.now, Change{Kind: Demote, Member: Member{Replica: other}})
	require.NoError(t, err)
	s.flush(s.leader())
	s.until("the change is committed", func() bool { return !l.changePending() })
	_, err = l.ProposeChange(s.now, Change{Kind: Demote, Member: Member{Replica: other}})
	require.Equal(t, errs.KindConflict, errs.KindOf(err))
}

// Guards against a vote or an acknowledgement that is sent before its write is durable.
func TestNoVoteBeforeSync(t *testing.T) {
	s := newSim(t, 7, 3)
	r := s.replicas[0]
	r.node.Step(Message{Kind: MsgVote, From: "r2", To: "r1", Term: 5, Index: 1, LogTerm: 1})
	rd := r.node.Ready()
	r.node.Advance(rd)
	require.Empty(t, rd.Messages)
	require.Equal(t, HardState{Term: 5, Vote: "r2", Commit: 1}, *rd.Write.State)
	r.node.Persisted(rd.Write.ID)
	rd = r.node.Ready()
	r.node.Advance(rd)
	require.Equal(t, []Message{{Kind: MsgVoteResp, From: "r1", To: "r2", Term: 5}}, rd.Messages)
	r.node.Step(Message{Kind: MsgAppend, From: "r2", To: "r1", Term: 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 5}}})
	rd = r.node.Ready()
	r.node.Advance(rd)
	require.Empty(t, rd.Messages)
	r.node.Persisted(rd.Write.ID)
	require.Equal(t, uint64(2), r.node.Ready().Messages[0].Index)
}

// Guards against a voter that is replaced because its full disk keeps it from answering a new leader, or the old one after a
// transfer to it that its disk does not let it finish. Some disks refuse even the few bytes of the new term.
func TestFullDiskIsNotUnresponsive(t *testing.T) {
	for _, isTarget := range []bool{false, true} {
		s := healthy(t, 3)
		s.maxVoters = 3
		for _, r := range s.replicas {
			r.node.cfg.MaxVoters, r.node.cfg.ReplaceAfterTicks = 3, 40
		}
		spare := s.newReplica("vm-9")
		s.start(spare)
		spare.node.cfg.ReplaceAfterTicks = 40
		s.until("the spare VM is a learner", func() bool { return s.leader() != nil && len(s.leader().node.members()) == 4 })
		s.until("all are idle", s.converged)
		old := s.leader()
		full := old
		if isTarget {
			require.NoError(t, old.node.TransferLeadership())
			full = s.byID(old.node.transferTarget)
			s.stalled = full
			s.flush(old)
			s.until("the target is a candidate", func() bool { return full.node.role == Candidate })
		}
		s.stalled = full
		full.node.SetDiskFull(true)
		for range 200 {
			s.round()
			l := s.leader()
			require.True(t, l == nil || l.node.isVoter(full.id), "a full disk counts as unresponsive, transfer target %v", isTarget)
		}
		require.NotEqual(t, full, s.leader())
		require.True(t, s.propose(s.leader()))
		s.stalled = nil
		full.node.SetDiskFull(false)
		s.until("the replica catches up", s.converged)
		require.True(t, s.leader().node.isVoter(full.id))
	}
}

// Guards against a leader that stays leader although a quorum has elected another one, because replicas that know the other one and
// have full disks answer its heartbeats.
func TestFullDiskDoesNotSupportADeposedLeader(t *testing.T) {
	s := healthy(t, 5)
	s.until("all are idle", s.converged)
	s.network = nil
	old := s.leader()
	var full, next *simReplica
	for _, r := range s.replicas {
		switch {
		case r == old:
		case full == nil:
			full = r
		default:
			next = r
		}
	}
	term := old.node.term
	full.node.SetDiskFull(true)
	heartbeat := func(from *simReplica, term uint64) (answers []Message) {
		full.node.Step(Message{Kind: MsgHeartbeat, From: from.id, To: full.id, Term: term})
		s.flush(full) // No write completes.
		answers, s.network = s.network, nil
		return answers
	}
	require.Len(t, heartbeat(next, term+1), 1)
	require.Equal(t, next.id, full.node.leader)
	require.Empty(t, heartbeat(old, term))
}
