package membership

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

// kindReport is the kind of peer messages in which entry VMs report the evidence about leaves.
const kindReport = "membership.report"

const (
	// outlierInterval is the time between two evaluations of the reports on a control VM. It limits the rate of outlier
	// updates to entry VMs.
	outlierInterval = 250 * time.Millisecond
	// evidenceInterval is the shortest time between two changes of the evidence that a control VM sends to the others,
	// since traffic between availability zones is expensive.
	evidenceInterval = 500 * time.Millisecond
	// outlierLogInterval is the shortest time between two log lines about outliers. During faults the outliers change
	// with nearly every evaluation.
	outlierLogInterval = time.Second
	// maxLoggedOutliers limits the leaves that one such line lists.
	maxLoggedOutliers = 20
)

type (
	outlierEvent struct{}
	// reportEvent carries the report of an entry VM.
	reportEvent struct{ list []leaves.Evidence }
)

// outlierPool holds the evidence that all VMs together have about leaves. It belongs to the control goroutine, except
// for primary.
type outlierPool struct {
	// inForce holds the outliers. from is the control VM that sent them, or this VM if it is a control VM itself.
	inForce leaves.Outliers
	from    model.VMName
	// logged holds the outliers in the last log line, which was written at loggedAt.
	logged   leaves.Outliers
	loggedAt time.Time
	// primary is the control VM that sends an entry VM the outliers and receives its reports. Other goroutines read it.
	primary atomic.Pointer[model.VMName]

	// The following fields are used on control VMs only. version is the version of inForce.
	board   *leaves.OutlierBoard
	version uint64
	// evidence was reported to this VM by entry VMs. It is the version that other control VMs receive since evidenceAt.
	evidence        []leaves.Evidence
	evidenceAt      time.Time
	evidenceVersion uint64
	// changed is closed when one of the versions has changed.
	changed chan struct{}
}

func (p *outlierPool) init() { p.board, p.changed = leaves.NewOutlierBoard(), make(chan struct{}) }

// Report implements kernel.LeafReporter.
func (m *Module) Report(list []leaves.Evidence) {
	data, err := proto.Marshal(evidenceToProto(list))
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "report about leaves could not be encoded and is not sent", "err", err)
		return
	}
	if to := m.primaryControlVM(); to == "" || !m.peers.Send(to, kernel.PeerMessage{Kind: kindReport, Payload: data}) {
		// The loss of the control VM has its own log line, and later reports go to another control VM.
		_ = level.Debug(m.logger).Log("msg", "report about leaves dropped because the control VM is not reachable", "to", to, "leaves", len(list))
	}
}

// primaryControlVM returns the control VM that sends this VM the outliers and receives its reports. It is empty on
// control VMs, and before one was chosen.
func (m *Module) primaryControlVM() model.VMName {
	if vm := m.outlierPool.primary.Load(); vm != nil {
		return *vm
	}
	return ""
}

func (m *Module) handleReport(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	var report membershippb.LeafReport
	if err := proto.Unmarshal(payload, &report); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "report about leaves cannot be decoded")
	}
	list, err := evidenceFromProto(&report)
	if err != nil {
		return nil, err
	}
	return nil, m.control.PostWait(ctx, reportEvent{list})
}

// evaluateOutliers evaluates the reports, and notifies the watching VMs if outliers or evidence have changed.
func (m *Module) evaluateOutliers(now time.Time) {
	changed := false
	evidence := m.outlierPool.board.LocalEvidence(now)
	if now.Sub(m.outlierPool.evidenceAt) >= evidenceInterval && !slices.Equal(evidence, m.outlierPool.evidence) {
		m.outlierPool.evidence, m.outlierPool.evidenceAt, changed = evidence, now, true
		m.outlierPool.evidenceVersion++
	}
	var others [][]leaves.Evidence
	for _, s := range m.sources {
		if s.sendsOutliers(now) {
			others = append(others, s.evidence)
		}
	}
	if m.setOutliers(m.self, m.outlierPool.board.Outliers(now, others...)) {
		m.outlierPool.version++
		changed = true
	}
	m.logOutliers(now)
	if changed {
		close(m.outlierPool.changed)
		m.outlierPool.changed = make(chan struct{})
	}
}

// applyOutliers puts the outliers that the primary control VM sent into force on an entry VM. Old ones are not used,
// since leaves would otherwise be avoided for as long as no control VM answers.
func (m *Module) applyOutliers(now time.Time) {
	var outliers leaves.Outliers
	if s := m.sources[m.primaryControlVM()]; s != nil && s.sendsOutliers(now) {
		outliers = s.outliers
	}
	m.setOutliers(m.primaryControlVM(), outliers)
	m.logOutliers(now)
}

// setOutliers puts a set of outliers into force, and reports whether it differs from the previous one.
func (m *Module) setOutliers(from model.VMName, outliers leaves.Outliers) bool {
	if maps.Equal(m.outlierPool.inForce, outliers) {
		return false
	}
	m.outlierPool.inForce, m.outlierPool.from = outliers, from
	m.metrics.outliers.Update(float64(len(outliers)))
	m.control.MarkDirty()
	return true
}

// logOutliers writes a log line if the outliers differ from those in the last one, unless that line was written within
// outlierLogInterval.
func (m *Module) logOutliers(now time.Time) {
	if now.Sub(m.outlierPool.loggedAt) < outlierLogInterval || sameLeaves(m.outlierPool.inForce, m.outlierPool.logged) {
		return
	}
	_ = level.Info(m.logger).Log("msg", "leaves in trouble changed", "from", m.outlierPool.from, "before", len(m.outlierPool.logged), "now", len(m.outlierPool.inForce), "leaves", formatOutliers(m.outlierPool.inForce))
	m.outlierPool.loggedAt, m.outlierPool.logged = now, m.outlierPool.inForce
}

func sameLeaves(a, b leaves.Outliers) bool {
	return maps.EqualFunc(a, b, func(float64, float64) bool { return true })
}

// formatOutliers lists outliers with the share of their attempts that are bad, in descending order of this share.
func formatOutliers(outliers leaves.Outliers) string {
	list := slices.SortedFunc(maps.Keys(outliers), func(a, b leaves.Incarnation) int {
		return cmp.Or(cmp.Compare(outliers[b], outliers[a]), cmp.Compare(a.ID, b.ID))
	})
	var b strings.Builder
	for i, k := range list {
		if i == maxLoggedOutliers {
			fmt.Fprintf(&b, " and %d others", len(list)-i)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%.1f", k.ID, outliers[k])
	}
	return b.String()
}
