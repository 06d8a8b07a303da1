// Package leaves keeps the set of leaves and their states, from the heartbeats that leaves send to any control VM and from
// the tables that control VMs exchange. It does no I/O: the clock is an argument, and nothing is encoded here.
package leaves

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// State is the state of a leaf.
type State uint8

// The states of a leaf. Ready leaves get new requests. Draining leaves finish those that they have. Deregistered leaves have
// ended gracefully or were replaced by another leaf at their address. Expired leaves sent no heartbeat in time; they are used
// only where a service has no other leaf.
const (
	Ready State = iota + 1
	Draining
	Deregistered
	Expired
)

// String returns the name of the state in log lines.
func (s State) String() string {
	if s < Ready || s > Expired {
		return "unknown"
	}
	return [...]string{"ready", "draining", "gone", "lapsed"}[s-1]
}

// ended reports whether a leaf in the state cannot expire any more. It is removed after the retention instead.
func (s State) ended() bool { return s == Deregistered || s == Expired }

// departing reports whether a leaf in the state has announced that it gets no new requests.
func (s State) departing() bool { return s == Draining || s == Deregistered }

// Leaf is the content of the last heartbeat of a leaf.
type Leaf struct {
	ID               string
	Service          model.ServiceName
	Address          string
	AvailabilityZone model.AvailabilityZone
	Slots            int
	State            State
	// BornMS is the start of the incarnation in Unix milliseconds, by the leaf's own clock. Sequence increases with
	// each heartbeat of one incarnation. A leaf that has deregistered itself has maxSequence.
	BornMS   int64
	Sequence uint64
	// WarmUpLeft is how much longer the leaf is slow after its start, counted from the heartbeat.
	WarmUpLeft time.Duration
	// Origin is the control VM that received the last heartbeat of the leaf.
	Origin model.VMName
}

const (
	// maxIDBytes limits the length of the ID of a leaf and of the name of its service.
	maxIDBytes = 256
	// maxSlots limits the requests that a leaf runs concurrently.
	maxSlots = 1 << 16
	// maxSequence is the greatest integer that every JSON encoder sends unchanged.
	maxSequence = 1 << 53
	// maxWarmUp limits the warm-up of a leaf. A longer one counts as this.
	maxWarmUp = time.Hour
	// maxClockLead is how far the start of a leaf may lie ahead of the clock of a control VM. A record that is later would
	// outrank all heartbeats of the leaf with that ID.
	maxClockLead = 24 * time.Hour
	// maxHeartbeatsPerMS is the highest rate at which a leaf counts its heartbeats. A record with a higher sequence number than
	// the age of its incarnation allows would outrank the next heartbeats of the leaf.
	maxHeartbeatsPerMS = 1
)

// Check returns an error of kind invalid for a record that no leaf sends, so that it cannot take the place of the record of one. It
// limits the warm-up time.
func (l *Leaf) Check() error {
	address, err := netip.ParseAddrPort(l.Address)
	switch {
	case !isToken(l.ID):
		return l.invalid("the ID has to be 1 to 256 printable ASCII characters without a space")
	case l.State < Ready || l.State > Expired:
		return l.invalid("the state %d is unknown", l.State)
	case l.BornMS < 0 || l.BornMS > maxSequence:
		return l.invalid("the start time %d is out of range", l.BornMS)
	case l.Sequence > maxSequence:
		return l.invalid("the sequence number %d is out of range", l.Sequence)
	case l.State.ended() && l.Address == "":
		return nil // The tombstone of a leaf that was not known.
	case !isToken(string(l.Service)):
		return l.invalid("the service name has to be 1 to 256 printable ASCII characters without a space")
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return l.invalid("the address %q is not the IP address and port of a VM", l.Address)
	case l.Slots < 0 || l.Slots > maxSlots:
		return l.invalid("the number of slots %d is out of range", l.Slots)
	}
	l.WarmUpLeft = min(max(l.WarmUpLeft, 0), maxWarmUp)
	return nil
}

func (l *Leaf) invalid(format string, args ...any) error {
	return errs.New(errs.KindInvalid, "look for another program that writes heartbeats", "record of leaf %.64q: %s", l.ID, fmt.Sprintf(format, args...))
}

// isToken reports whether a name can be part of a header and of a log line as it is.
func isToken(s string) bool {
	return s != "" && len(s) <= maxIDBytes && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// checkAge returns an error of kind invalid for a record that claims to be later than any heartbeat of a leaf can be at this time.
func (l *Leaf) checkAge(now time.Time) error {
	lead := time.UnixMilli(l.BornMS).Sub(now)
	if lead > maxClockLead {
		return l.invalid("the start time %d lies %s ahead", l.BornMS, lead)
	}
	if l.BornMS > 0 && l.Sequence > maxHeartbeatsPerMS*uint64((maxClockLead-lead).Milliseconds()) {
		return l.invalid("the sequence number %d is too high for a leaf that started at %d", l.Sequence, l.BornMS)
	}
	return nil
}

// compareAge orders two records of one leaf, the older first.
func compareAge(a, b *Leaf) int {
	return cmp.Or(cmp.Compare(a.BornMS, b.BornMS), cmp.Compare(a.Sequence, b.Sequence))
}

// equivalent reports whether other VMs would act in the same way on a record and on a later one. The sequence number is ignored, since it
// changes with each heartbeat, and so is a warm-up time that does not rise. The sequence number of a deregistered leaf decides which
// heartbeats it outranks.
func equivalent(a, b *Leaf) bool {
	if restartsWarmUp(a, b) {
		return false
	}
	x, y := *a, *b
	if x.State != Deregistered {
		x.Sequence, y.Sequence = 0, 0
	}
	x.WarmUpLeft, y.WarmUpLeft = 0, 0
	return x == y
}

// restartsWarmUp reports whether a later record of a running leaf states a longer warm-up than the earlier one: the leaf is cold again.
func restartsWarmUp(a, b *Leaf) bool {
	return b.State == Ready && b.BornMS == a.BornMS && b.Sequence > a.Sequence && b.WarmUpLeft > a.WarmUpLeft
}

// SameUse reports whether an entry VM would use the leaf of both records in the same way.
func SameUse(a, b *Leaf) bool {
	x, y := *a, *b
	x.Origin, y.Origin = "", ""
	return equivalent(&x, &y)
}

// Config holds the time limits of a table.
type Config struct {
	// ExpireAfter is the time without a heartbeat after which a leaf expires at the VM that received the last one.
	ExpireAfter time.Duration
	// OrphanExpireAfter is how long a leaf is kept after contact was lost with the VM that received its last heartbeat.
	OrphanExpireAfter time.Duration
	// Retention is how long a deregistered or expired leaf is kept, so that a late heartbeat does not restore it.
	Retention time.Duration
}

type record struct {
	Leaf
	// lastContact is the time of the last heartbeat here, or of the last update from another VM.
	lastContact time.Time
	// changedAt is the table version of the last change.
	changedAt uint64
	// replaced reports whether the leaf was deregistered because another one has claimed its address.
	replaced bool
}

// Table holds the leaves of one control VM. Every change increments the version, so that other VMs can request what
// changed since a version.
type Table struct {
	self      model.VMName
	config    Config
	records   map[string]*record
	byAddress map[string]string
	version   uint64
	// lastRemoval is the version of the last removal. A VM with an older version needs the whole table.
	lastRemoval uint64
	lastScan    time.Time
}

// NewTable returns an empty table of a control VM.
func NewTable(self model.VMName, config Config) *Table {
	return &Table{self: self, config: config, records: map[string]*record{}, byAddress: map[string]string{}}
}

// Version returns the version after the last change.
func (t *Table) Version() uint64 { return t.version }

// ApplyHeartbeat applies a heartbeat that this VM received. An error of kind conflict means that the heartbeat is older than
// the record in the table, and one of kind invalid that no leaf sends such a heartbeat. Neither changes anything.
func (t *Table) ApplyHeartbeat(now time.Time, l Leaf) error {
	l.Origin = t.self
	if err := l.checkAge(now); err != nil {
		return err
	}
	if r := t.records[l.ID]; r != nil {
		if c := compareAge(&l, &r.Leaf); c < 0 || r.State == Deregistered && l.BornMS == r.BornMS && !t.lostAddressToExpired(r) {
			return errs.New(errs.KindConflict, "send a heartbeat of the running incarnation", "a later heartbeat of leaf %s has the state %s", l.ID, r.State)
		}
	}
	if err := t.resolveAddress(now, &l); err != nil {
		return err
	}
	t.store(now, l)
	return nil
}

// Deregister ends a leaf at its own request. Without a start time it applies to the incarnation in the table, or to all that
// have started by now if the leaf is not in the table. The record outranks all heartbeats of the incarnation, since another
// control VM may have received later ones than this. An error of kind invalid means that no leaf sends such a request, and that
// nothing was changed.
func (t *Table) Deregister(now time.Time, id string, bornMS int64) error {
	tombstone := Leaf{ID: id, State: Deregistered, BornMS: bornMS, Origin: t.self}
	if err := tombstone.Check(); err != nil {
		return err
	}
	if err := tombstone.checkAge(now); err != nil {
		return err
	}
	r := t.records[id]
	if r == nil {
		// The tombstone keeps a late heartbeat from restoring the leaf. A leaf serves for seconds after it has deregistered, so
		// its next incarnation starts later than this, also by a clock that differs somewhat.
		if bornMS == 0 {
			tombstone.BornMS = now.UnixMilli()
		}
		tombstone.Sequence = maxSequence
		t.store(now, tombstone)
		return nil
	}
	if bornMS != 0 && bornMS < r.BornMS {
		return nil // A later incarnation has already replaced the one that deregisters.
	}
	l := r.Leaf
	l.State, l.Origin, l.Sequence = Deregistered, t.self, maxSequence
	l.BornMS = max(l.BornMS, bornMS)
	t.store(now, l)
	return nil
}

// resolveAddress leaves an address to the incarnation that started last, and deregisters the other one. A delayed heartbeat of
// a leaf that has ended may arrive after another leaf started at its address.
func (t *Table) resolveAddress(now time.Time, l *Leaf) error {
	other := t.records[t.byAddress[l.Address]]
	if other == nil || other.ID == l.ID || other.State.ended() {
		return nil
	}
	if other.BornMS > l.BornMS {
		return errs.New(errs.KindConflict, "send a heartbeat of the running incarnation", "leaf %s started later at address %s of leaf %s", other.ID, l.Address, l.ID)
	}
	if l.BornMS > other.BornMS {
		replaced := other.Leaf
		replaced.State, replaced.Origin = Deregistered, t.self
		t.store(now, replaced)
		other.replaced = true
	}
	return nil
}

// lostAddressToExpired reports whether a leaf was deregistered because another one had claimed its address, and that one has
// expired since. A leaf that still sends heartbeats is the owner of the address then.
func (t *Table) lostAddressToExpired(r *record) bool {
	other := t.records[t.byAddress[r.Address]]
	return r.replaced && other != nil && other.ID != r.ID && other.State == Expired
}

func (t *Table) store(now time.Time, l Leaf) {
	r := t.records[l.ID]
	if r == nil {
		r = &record{}
		t.records[l.ID] = r
	} else if equivalent(&r.Leaf, &l) {
		r.Leaf, r.lastContact = l, now
		return
	}
	r.Leaf, r.lastContact, r.replaced = l, now, false
	t.markChanged(r)
	if l.State != Deregistered {
		t.byAddress[l.Address] = l.ID
	}
}

func (t *Table) markChanged(r *record) {
	t.version++
	r.changedAt = t.version
}

// Merge applies the record that another control VM has of a leaf.
func (t *Table) Merge(now time.Time, from model.VMName, l Leaf) {
	r := t.records[l.ID]
	if r == nil {
		if t.resolveAddress(now, &l) == nil || l.State.ended() {
			t.store(now, l)
		}
		return
	}
	switch c := compareAge(&l, &r.Leaf); {
	case c > 0:
		if l.State.ended() || t.resolveAddress(now, &l) == nil {
			t.store(now, l)
		}
	case c < 0:
		if r.Origin == t.self && l.Origin != t.self {
			t.markChanged(r) // The other VM has an older record, so the one here is sent to it again.
		}
	case l.State == Deregistered && r.State != Deregistered:
		t.store(now, l)
	case from == l.Origin && l.Origin == r.Origin && r.State != Deregistered:
		// The VM that received the last heartbeat reports that the leaf has expired, or that it still sends heartbeats.
		t.store(now, l)
	}
}

// Scan expires leaves without recent heartbeats, and removes leaves that ended longer ago than the retention. contactOf returns
// the time of the last contact with a control VM. A pause of this process, which shows as a gap of several intervals between
// scans, does not count as time without heartbeats.
func (t *Table) Scan(now time.Time, interval time.Duration, contactOf func(model.VMName) time.Time) {
	if gap := now.Sub(t.lastScan); !t.lastScan.IsZero() && gap > 3*interval {
		for _, r := range t.records {
			r.lastContact = r.lastContact.Add(gap)
		}
	}
	t.lastScan = now
	for id, r := range t.records {
		limit, last := t.config.ExpireAfter, r.lastContact
		if r.Origin != t.self {
			limit = t.config.OrphanExpireAfter
			if c := contactOf(r.Origin); c.After(last) {
				last = c
			}
		}
		switch {
		case !r.State.ended() && now.Sub(last) > limit:
			r.State, r.lastContact = Expired, now
			t.markChanged(r)
		case r.State.ended() && now.Sub(r.lastContact) > t.config.Retention:
			delete(t.records, id)
			if t.byAddress[r.Address] == id {
				delete(t.byAddress, r.Address)
			}
			t.version++
			t.lastRemoval = t.version
		}
	}
}

// ChangesSince returns the leaves that changed after a version, in the order of their IDs, and whether the list is complete.
func (t *Table) ChangesSince(version uint64) (list []Leaf, complete bool) {
	complete = version < t.lastRemoval || version == 0 || version > t.version
	for _, r := range t.records {
		if complete || r.changedAt > version {
			list = append(list, r.Leaf)
		}
	}
	slices.SortFunc(list, func(a, b Leaf) int { return cmp.Compare(a.ID, b.ID) })
	return list, complete
}

// Get returns the record of a leaf, and whether there is one.
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
