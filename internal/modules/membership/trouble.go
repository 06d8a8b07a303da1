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
	// maxAttempts is above what all entry VMs together send to one leaf within the time that evidence counts.
	maxAttempts = 1e6
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

// pool is what the VMs together see of leaves. It belongs to the control goroutine, apart from reportTo.
type pool struct {
	// inForce holds the leaves in trouble. From is the control VM that told of them, or this VM itself if it is one.
	inForce leaves.Trouble
	from    model.VMName
	// board and version, the version of inForce, are used on control VMs only.
	board   *leaves.TroubleBoard
	version uint64
	// gathered is what entry VMs reported to this control VM, as the others have been told since gatheredAt.
	gathered        []leaves.Evidence
	gatheredAt      time.Time
	gatheredVersion uint64
	// changed is closed when one of the versions has changed. judging says that the board is judged again soon.
	changed chan struct{}
	judging bool
	// logged is what the last line said, at loggedAt.
	logged   leaves.Trouble
	loggedAt time.Time
	// reportTo is the control VM that gets the reports of this VM. Traffic goroutines read it.
	reportTo atomic.Pointer[model.VMName]
}

func (p *pool) init() { p.board, p.changed = leaves.NewTroubleBoard(), make(chan struct{}) }

// Report implements kernel.LeafReporter.
func (m *Module) Report(list []leaves.Evidence) {
	if m.controls {
		if !m.control.Post(reportEvent{list}) {
			_ = level.Debug(m.logger).Log("msg", "report of leaves dropped because the control queue is full", "leaves", len(list))
		}
		return
	}
	to := m.reportTo()
	data, err := proto.Marshal(encodeEvidence(list))
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "report of leaves cannot be encoded", "err", err)
		return
	}
	if to == "" || !m.peers.Send(to, kernel.PeerMessage{Kind: kindReport, Payload: data}) {
		// The loss of the control VM has a line of its own, and the next report goes to another one.
		_ = level.Debug(m.logger).Log("msg", "report of leaves dropped because the control VM is not reachable", "to", to, "leaves", len(list))
	}
}

// reportTo returns the control VM that gets the reports of this VM, or nothing before one is known.
func (m *Module) reportTo() model.VMName {
	if vm := m.pool.reportTo.Load(); vm != nil {
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
	list, _, err := decodeEvidence(&x)
	if err != nil {
		return nil, err
	}
	return nil, m.control.PostWait(ctx, reportEvent{list})
}

// judgeSoon has the board judged after troubleInterval, unless this will happen anyway.
func (m *Module) judgeSoon() {
	if !m.pool.judging {
		m.pool.judging = true
		m.control.After(troubleInterval, troubleEvent{})
	}
}

// judgeTrouble judges the board, and tells those that watch what has changed.
func (m *Module) judgeTrouble(now time.Time) {
	m.pool.judging = false
	changed, postponed := false, false
	if gathered := m.pool.board.Gathered(now); !slices.Equal(gathered, m.pool.gathered) {
		postponed = now.Sub(m.pool.gatheredAt) < gatherInterval
		if !postponed {
			m.pool.gathered, m.pool.gatheredAt, changed = gathered, now, true
			m.pool.gatheredVersion++
		}
	}
	if trouble := m.pool.board.Trouble(now); !maps.Equal(trouble, m.pool.inForce) {
		m.setTrouble(now, m.self, trouble)
		m.pool.version++
		changed = true
	}
	if changed {
		close(m.pool.changed)
		m.pool.changed = make(chan struct{})
	}
	if postponed || !m.pool.board.Idle() {
		m.judgeSoon()
	}
}

// takeTrouble takes over what a control VM knows of leaves in trouble.
func (m *Module) takeTrouble(now time.Time, s *source, x newsEvent) {
	switch {
	case m.controls:
		m.pool.board.Learn(x.from, x.news.gathered)
		m.judgeSoon()
	case s.first.Load():
		m.setTrouble(now, x.from, x.news.trouble)
	}
}

// dropTrouble forgets what control VMs have told that do not answer any more.
func (m *Module) dropTrouble(now time.Time) {
	for vm, s := range m.sources {
		if s.told && now.Sub(s.contact) > watchTimeout {
			if m.pool.board.Forget(vm) {
				m.judgeSoon()
			}
		}
	}
}

// setTrouble puts another set of leaves in trouble into force.
func (m *Module) setTrouble(now time.Time, from model.VMName, trouble leaves.Trouble) {
	if maps.Equal(m.pool.inForce, trouble) {
		return
	}
	m.pool.inForce, m.pool.from = trouble, from
	m.gauges.trouble.Update(float64(len(trouble)))
	m.control.MarkDirty()
	m.logTrouble(now)
}

// logTrouble writes a line if other leaves are in trouble than the last one says, unless that one is very young.
func (m *Module) logTrouble(now time.Time) {
	if now.Sub(m.pool.loggedAt) < troubleLineInterval || sameLeaves(m.pool.inForce, m.pool.logged) {
		return
	}
	_ = level.Info(m.logger).Log("msg", "leaves in trouble changed", "from", m.pool.from, "before", len(m.pool.logged), "now", len(m.pool.inForce), "leaves", describeTrouble(m.pool.inForce))
	m.pool.loggedAt, m.pool.logged = now, m.pool.inForce
}

func sameLeaves(a, b leaves.Trouble) bool {
	return maps.EqualFunc(a, b, func(float64, float64) bool { return true })
}

// describeTrouble lists leaves with the share of their attempts that are bad, the worst first.
func describeTrouble(x leaves.Trouble) string {
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
