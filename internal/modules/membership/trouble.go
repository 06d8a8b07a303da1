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

// kindReport is the kind of peer messages in which entry VMs tell what they see of leaves.
const kindReport = "membership.report"

const (
	// troubleInterval is how often a control VM judges what was reported. It bounds the news that entry VMs get of leaves in
	// trouble.
	troubleInterval = 250 * time.Millisecond
	// gatherInterval bounds how often a control VM tells the others, since bytes between availability zones are dear.
	gatherInterval = 500 * time.Millisecond
	// troubleLineInterval bounds the lines about leaves in trouble, which change with nearly every judgement on a bad day.
	troubleLineInterval = time.Second
	// maxTroubleNames bounds the leaves that such a line names.
	maxTroubleNames = 20
)

type (
	troubleEvent struct{}
	// reportEvent brings the report of an entry VM.
	reportEvent struct{ list []leaves.Evidence }
)

// pool is what the VMs together see of leaves. It belongs to the control goroutine, apart from first.
type pool struct {
	// inForce holds the leaves in trouble. From is the control VM that told of them, or this VM itself if it is one.
	inForce leaves.Outliers
	from    model.VMName
	// logged is what the last line said, at loggedAt.
	logged   leaves.Outliers
	loggedAt time.Time
	// first is the control VM that tells an entry VM of leaves in trouble and gets its reports. Other goroutines read it.
	first atomic.Pointer[model.VMName]

	// The following fields are used on control VMs only. Version is the version of inForce.
	board   *leaves.OutlierBoard
	version uint64
	// gathered is what entry VMs reported to this VM, as other control VMs have been told since gatheredAt.
	gathered        []leaves.Evidence
	gatheredAt      time.Time
	gatheredVersion uint64
	// changed is closed when one of the versions has changed.
	changed chan struct{}
}

func (p *pool) init() { p.board, p.changed = leaves.NewOutlierBoard(), make(chan struct{}) }

// Report implements kernel.LeafReporter.
func (m *Module) Report(list []leaves.Evidence) {
	data, err := proto.Marshal(encodeEvidence(list))
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "report of leaves cannot be encoded", "err", err)
		return
	}
	if to := m.first(); to == "" || !m.peers.Send(to, kernel.PeerMessage{Kind: kindReport, Payload: data}) {
		// The loss of the control VM has a line of its own, and the next report goes to another one.
		_ = level.Debug(m.logger).Log("msg", "report of leaves dropped because the control VM is not reachable", "to", to, "leaves", len(list))
	}
}

// first returns the control VM that tells this VM of leaves in trouble and gets its reports. It is empty on control VMs, and
// before one is known.
func (m *Module) first() model.VMName {
	if vm := m.pool.first.Load(); vm != nil {
		return *vm
	}
	return ""
}

// takeReport takes the report of an entry VM.
func (m *Module) takeReport(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	var x membershippb.LeafReport
	if err := proto.Unmarshal(payload, &x); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "a report of leaves cannot be decoded")
	}
	list, err := decodeEvidence(&x)
	if err != nil {
		return nil, err
	}
	return nil, m.control.PostWait(ctx, reportEvent{list})
}

// judgeTrouble judges what was reported, and tells those that watch what has changed.
func (m *Module) judgeTrouble(now time.Time) {
	changed := false
	gathered := m.pool.board.LocalEvidence(now)
	if now.Sub(m.pool.gatheredAt) >= gatherInterval && !slices.Equal(gathered, m.pool.gathered) {
		m.pool.gathered, m.pool.gatheredAt, changed = gathered, now, true
		m.pool.gatheredVersion++
	}
	var others [][]leaves.Evidence
	for _, s := range m.sources {
		if s.answers(now) {
			others = append(others, s.gathered)
		}
	}
	if m.setTrouble(m.self, m.pool.board.Outliers(now, others...)) {
		m.pool.version++
		changed = true
	}
	m.logTrouble(now)
	if changed {
		close(m.pool.changed)
		m.pool.changed = make(chan struct{})
	}
}

// useTrouble puts what the first control VM has told into force on an entry VM. What is old is not used, since leaves would be
// avoided for as long as no control VM answers.
func (m *Module) useTrouble(now time.Time) {
	var trouble leaves.Outliers
	if s := m.sources[m.first()]; s != nil && s.answers(now) {
		trouble = s.trouble
	}
	m.setTrouble(m.first(), trouble)
	m.logTrouble(now)
}

// setTrouble puts a set of leaves in trouble into force, and reports whether it is another one.
func (m *Module) setTrouble(from model.VMName, trouble leaves.Outliers) bool {
	if maps.Equal(m.pool.inForce, trouble) {
		return false
	}
	m.pool.inForce, m.pool.from = trouble, from
	m.gauges.trouble.Update(float64(len(trouble)))
	m.control.MarkDirty()
	return true
}

// logTrouble writes a line if other leaves are in trouble than the last one says, unless that one is very young.
func (m *Module) logTrouble(now time.Time) {
	if now.Sub(m.pool.loggedAt) < troubleLineInterval || sameLeaves(m.pool.inForce, m.pool.logged) {
		return
	}
	_ = level.Info(m.logger).Log("msg", "leaves in trouble changed", "from", m.pool.from, "before", len(m.pool.logged), "now", len(m.pool.inForce), "leaves", describeTrouble(m.pool.inForce))
	m.pool.loggedAt, m.pool.logged = now, m.pool.inForce
}

func sameLeaves(a, b leaves.Outliers) bool {
	return maps.EqualFunc(a, b, func(float64, float64) bool { return true })
}

// describeTrouble lists leaves with the share of their attempts that are bad, the worst first.
func describeTrouble(x leaves.Outliers) string {
	list := slices.SortedFunc(maps.Keys(x), func(a, b leaves.Incarnation) int { return cmp.Or(cmp.Compare(x[b], x[a]), cmp.Compare(a.ID, b.ID)) })
	var b strings.Builder
	for i, k := range list {
		if i == maxTroubleNames {
			fmt.Fprintf(&b, " and %d others", len(list)-i)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%.1f", k.ID, x[k])
	}
	return b.String()
}
