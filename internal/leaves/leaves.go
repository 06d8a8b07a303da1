// Package leaves decides which leaves there are, from what they say of themselves to any control VM and from what
// control VMs tell each other. It is pure: the clock is an argument and nothing is encoded here.
package leaves

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// State is the state of a leaf.
type State uint8

// The states of a leaf. Ready leaves get new work. Draining leaves finish what they have. Gone leaves have signed
// off or were replaced at their address. Lapsed leaves have not been heard from, and are used only where a service
// has no other leaf.
const (
	Ready State = iota + 1
	Draining
	Gone
	Lapsed
)

// String returns the name used in log lines.
func (s State) String() string {
	if s < Ready || s > Lapsed {
		return "unknown"
	}
	return [...]string{"ready", "draining", "gone", "lapsed"}[s-1]
}

// ended says that a leaf needs no renewal any more.
func (s State) ended() bool { return s == Gone || s == Lapsed }

// Leaf is what a leaf said last.
type Leaf struct {
	ID               string
	Service          model.ServiceName
	Address          string
	AvailabilityZone model.AvailabilityZone
	Slots            int
	State            State
	// BornMS is the start of the incarnation in Unix milliseconds, by the leaf's own clock. Sequence grows with
	// each heartbeat of one incarnation.
	BornMS   int64
	Sequence uint64
	// WarmUpLeft is how long the leaf stays slow after its start, counted from the heartbeat.
	WarmUpLeft time.Duration
	// Origin is the control VM that heard from the leaf last.
	Origin model.VMName
}

// compare orders what is known of one leaf by age.
func compare(a, b *Leaf) int {
	return cmp.Or(cmp.Compare(a.BornMS, b.BornMS), cmp.Compare(a.Sequence, b.Sequence))
}

// sameFacts reports whether other VMs would act in the same way on both. Sequence and warm-up time do not count, since
// they change with each heartbeat.
func sameFacts(a, b *Leaf) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence, x.WarmUpLeft, y.WarmUpLeft = 0, 0, 0, 0
	return x == y
}

// Config holds the time limits of a table.
type Config struct {
	// Lapse is how long a leaf may be silent at the VM that heard from it last.
	Lapse time.Duration
	// OrphanLapse is how long a leaf is kept after contact was lost with the VM that heard from it last.
	OrphanLapse time.Duration
	// Retain is how long an ended leaf is remembered, so that a late heartbeat does not bring it back.
	Retain time.Duration
}

type record struct {
	Leaf
	// heard is the time of the last heartbeat here, or of the last news from another VM.
	heard time.Time
	// changed is the position of the last change.
	changed uint64
}

// Table holds the leaves that one control VM knows. Every change gets the next position, so that other VMs can ask
// for what changed after a position.
type Table struct {
	self      model.VMName
	config    Config
	records   map[string]*record
	byAddress map[string]string
	position  uint64
	// floor is the position of the last removal. Whoever is behind it needs the whole table.
	floor    uint64
	lastScan time.Time
}

// NewTable returns an empty table of a control VM.
func NewTable(self model.VMName, config Config) *Table {
	return &Table{self: self, config: config, records: map[string]*record{}, byAddress: map[string]string{}}
}

// Position returns the position of the newest change.
func (t *Table) Position() uint64 { return t.position }

// Hear takes a heartbeat that reached this VM. An error of kind conflict says that the heartbeat is older than what
// is known, and that it changed nothing.
func (t *Table) Hear(now time.Time, l Leaf) error {
	l.Origin = t.self
	if r := t.records[l.ID]; r != nil {
		if c := compare(&l, &r.Leaf); c < 0 || r.State == Gone && l.BornMS == r.BornMS {
			return errs.New(errs.KindConflict, "send a heartbeat of the running incarnation", "leaf %s is known by a later heartbeat as %s", l.ID, r.State)
		}
	}
	if err := t.takeAddress(now, &l); err != nil {
		return err
	}
	t.put(now, l)
	return nil
}

// End takes the sign-off of a leaf. Without a start time it concerns the known incarnation.
func (t *Table) End(now time.Time, id string, bornMS int64) {
	r := t.records[id]
	if r == nil {
		// Remembering it keeps a late heartbeat from bringing the leaf back.
		t.put(now, Leaf{ID: id, State: Gone, BornMS: bornMS, Origin: t.self})
		return
	}
	if bornMS != 0 && bornMS < r.BornMS {
		return // The incarnation that signs off was replaced by a later one already.
	}
	l := r.Leaf
	l.State, l.Origin = Gone, t.self
	l.BornMS = max(l.BornMS, bornMS)
	t.put(now, l)
}

// takeAddress gives an address to the incarnation that started last. A delayed heartbeat of a leaf that has ended may
// arrive after another leaf started at its address.
func (t *Table) takeAddress(now time.Time, l *Leaf) error {
	other := t.records[t.byAddress[l.Address]]
	if other == nil || other.ID == l.ID || other.State == Gone {
		return nil
	}
	if other.BornMS > l.BornMS {
		return errs.New(errs.KindConflict, "send a heartbeat of the running incarnation", "leaf %s started later at address %s of leaf %s", other.ID, l.Address, l.ID)
	}
	if l.BornMS > other.BornMS {
		gone := other.Leaf
		gone.State, gone.Origin = Gone, t.self
		t.put(now, gone)
	}
	return nil
}

func (t *Table) put(now time.Time, l Leaf) {
	r := t.records[l.ID]
	if r == nil {
		r = &record{}
		t.records[l.ID] = r
	} else if sameFacts(&r.Leaf, &l) {
		r.Leaf, r.heard = l, now
		return
	}
	r.Leaf, r.heard = l, now
	t.touch(r)
	if l.State != Gone {
		t.byAddress[l.Address] = l.ID
	}
}

func (t *Table) touch(r *record) {
	t.position++
	r.changed = t.position
}

// Merge takes what another control VM knows of a leaf.
func (t *Table) Merge(now time.Time, from model.VMName, l Leaf) {
	r := t.records[l.ID]
	if r == nil {
		if t.takeAddress(now, &l) == nil || l.State.ended() {
			t.put(now, l)
		}
		return
	}
	switch c := compare(&l, &r.Leaf); {
	case c > 0:
		if l.State.ended() || t.takeAddress(now, &l) == nil {
			t.put(now, l)
		}
	case c < 0:
		if r.Origin == t.self && l.Origin != t.self {
			t.touch(r) // The other VM holds older news, so it needs what is known here.
		}
	case l.State == Gone && r.State != Gone:
		t.put(now, l)
	case from == l.Origin && l.Origin == r.Origin && r.State != Gone:
		// The VM that heard from the leaf last says that it lapsed, or that it is still heard from.
		t.put(now, l)
	}
}

// Scan lets leaves lapse that were not heard from, and forgets those that ended long ago. Contact returns when a
// control VM was last in contact. A pause of the process itself, seen as a gap of several intervals between scans,
// is not held against the leaves.
func (t *Table) Scan(now time.Time, interval time.Duration, contact func(model.VMName) time.Time) {
	if gap := now.Sub(t.lastScan); !t.lastScan.IsZero() && gap > 3*interval {
		for _, r := range t.records {
			r.heard = r.heard.Add(gap)
		}
	}
	t.lastScan = now
	for id, r := range t.records {
		limit, since := t.config.Lapse, r.heard
		if r.Origin != t.self {
			limit = t.config.OrphanLapse
			if c := contact(r.Origin); c.After(since) {
				since = c
			}
		}
		switch {
		case !r.State.ended() && now.Sub(since) > limit:
			r.State, r.heard = Lapsed, now
			t.touch(r)
		case r.State.ended() && now.Sub(r.heard) > t.config.Retain:
			delete(t.records, id)
			if t.byAddress[r.Address] == id {
				delete(t.byAddress, r.Address)
			}
			t.position++
			t.floor = t.position
		}
	}
}

// Since returns the leaves that changed after a position, in the order of their IDs, and whether these are all leaves.
func (t *Table) Since(position uint64) (list []Leaf, complete bool) {
	complete = position < t.floor || position == 0 || position > t.position
	for _, r := range t.records {
		if complete || r.changed > position {
			list = append(list, r.Leaf)
		}
	}
	slices.SortFunc(list, func(a, b Leaf) int { return cmp.Compare(a.ID, b.ID) })
	return list, complete
}

// Get returns what is known of a leaf.
func (t *Table) Get(id string) (Leaf, bool) {
	r := t.records[id]
	if r == nil {
		return Leaf{}, false
	}
	return r.Leaf, true
}

// Counts returns the number of leaves in each state.
func (t *Table) Counts() map[State]int {
	out := map[State]int{}
	for _, r := range t.records {
		out[r.State]++
	}
	return out
}
