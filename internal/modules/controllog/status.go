package controllog

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// The roles in kernel.ControlStatus.
const (
	roleLeader    = "leader"
	roleCandidate = "candidate"
	roleFollower  = "follower"
	roleLearner   = "learner"
	roleJoining   = "joining"
)

// metrics holds the metrics of the control log. The gauges leading and diskFull are 0 or 1.
type metrics struct {
	term, commit, applied, leading, diskFull tally.Gauge
	proposals, elections                     tally.Counter
	syncLatency                              tally.Histogram
}

// syncBuckets range from 50 µs, a cached write, to 1.6 s, a stalled disk.
var syncBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 16)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		term: s.Gauge("term"), commit: s.Gauge("commit_index"), applied: s.Gauge("applied_index"),
		leading: s.Gauge("leading"), diskFull: s.Gauge("disk_full"),
		proposals: s.Counter("proposals"), elections: s.Counter("elections_won"),
		syncLatency: s.Histogram("sync_latency", syncBuckets),
	}
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Status implements kernel.ControlLog.
func (m *Module) Status() kernel.ControlStatus { return *m.status.Load() }

func (m *Module) updateStatus() {
	out := &kernel.ControlStatus{VM: m.ctx.VM.VM, Replica: string(m.identity.Replica), Role: roleJoining}
	if m.node != nil {
		s := m.node.Status()
		out.Role, out.Term, out.Commit, out.Applied = roleName(s), s.Term, s.Commit, s.Applied
		out.Leader = m.vmOf(s.Leader)
		for _, member := range s.Members {
			out.Members = append(out.Members, kernel.ControlMember{VM: member.VM, Replica: string(member.Replica), Learner: member.Learner})
		}
		m.metrics.term.Update(float64(s.Term))
		m.metrics.commit.Update(float64(s.Commit))
		m.metrics.applied.Update(float64(s.Applied))
		m.metrics.leading.Update(gaugeValue(s.Role == consensus.Leader))
	}
	m.status.Store(out)
}

func roleName(s consensus.Status) string {
	switch s.Role {
	case consensus.Leader:
		return roleLeader
	case consensus.Candidate, consensus.PreCandidate:
		return roleCandidate
	}
	if isVoter(s) {
		return roleFollower
	}
	for _, member := range s.Members {
		if member.Replica == s.Replica {
			return roleLearner
		}
	}
	return roleJoining
}
