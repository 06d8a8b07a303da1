package state

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxTombstones limits the tombstones of dropped layouts and removed overlays. A subscriber whose revision is older
// than the oldest tombstone gets the full state.
const maxTombstones = 256

// File is one file of the configuration in force. The base file has no site.
type File struct {
	Site model.SiteName
	Text string
	// Changed is the state revision at which the file last changed.
	Changed uint64
	// Removed marks the tombstone of an overlay that no longer exists.
	Removed bool
	// Digest is the digest of the text. A VM that applies an update computes it again.
	Digest uint64
}

// CommittedLayout is a committed layout, or the tombstone of one that was dropped.
type CommittedLayout struct {
	// Layout has no shards in a tombstone. It is immutable.
	Layout  *model.Layout
	Digest  uint64
	Changed uint64
	Dropped bool
}

// DisseminatedState is the part of the replicated state that every VM holds: the configuration in force, the committed
// layouts and the seats. A published value is immutable. Every part has the state revision of its last change, so that
// any VM that holds the state can send another VM the changes since a revision.
type DisseminatedState struct {
	// Revision grows by one with each change.
	Revision       uint64
	ConfigRevision model.Revision
	ConfigChanged  uint64
	Files          map[model.SiteName]File
	Layouts        map[LayoutKey]CommittedLayout
	Seats          SeatTable
	// Floor is the lowest revision from which UpdateFrom can return a delta.
	Floor uint64

	changed bool
	// digest is computed once, by seal.
	digest uint64
}

// Update brings a copy of the disseminated state from one revision to another.
type Update struct {
	// Full reports whether the update replaces the whole state; From is 0 then.
	Full bool
	From uint64
	To   uint64
	// ConfigRevision and ConfigChanged have the values of the state at To, in a delta as well.
	ConfigRevision model.Revision
	ConfigChanged  uint64
	Files          []File
	Layouts        []CommittedLayout
	// Seats lists only the holders that changed; the other fields of the table are always set.
	Seats SeatTable
	Floor uint64
	// Digest is the digest of the whole state at To.
	Digest uint64
}

func newDisseminatedState() *DisseminatedState {
	s := &DisseminatedState{Files: map[model.SiteName]File{}, Layouts: map[LayoutKey]CommittedLayout{}}
	s.seal()
	return s
}

// NewDisseminatedState returns the state of a VM that has received nothing yet.
func NewDisseminatedState() *DisseminatedState { return newDisseminatedState() }

func (s *DisseminatedState) clone() *DisseminatedState {
	out := *s
	out.Files, out.Layouts, out.Seats = maps.Clone(s.Files), maps.Clone(s.Layouts), s.Seats.clone()
	return &out
}

// ConfigFiles returns the files of the configuration in force as operators wrote them.
func (s *DisseminatedState) ConfigFiles() model.ConfigFiles {
	out := model.ConfigFiles{Overlays: map[model.SiteName]string{}}
	for site, f := range s.Files {
		switch {
		case f.Removed:
		case site == "":
			out.Base = f.Text
		default:
			out.Overlays[site] = f.Text
		}
	}
	return out
}

// LayoutTable returns the committed layouts in the form of kernel.View. The layouts themselves are not copied.
func (s *DisseminatedState) LayoutTable() map[model.ServiceName]map[model.LayoutNumber]*model.Layout {
	out := map[model.ServiceName]map[model.LayoutNumber]*model.Layout{}
	for key, l := range s.Layouts {
		if l.Dropped {
			continue
		}
		if out[key.Service] == nil {
			out[key.Service] = map[model.LayoutNumber]*model.Layout{}
		}
		out[key.Service][key.Number] = l.Layout
	}
	return out
}

// SeatOf returns the seat of one run of a VM, or model.NoSeat if this run holds none.
func (s *DisseminatedState) SeatOf(h model.Holder) model.Seat { return s.Seats.seat(h) }

// EarlierRun returns the earlier run of the same VM that holds a seat in this state, if there is one.
func (s *DisseminatedState) EarlierRun(h model.Holder) (model.Holder, bool) {
	for _, seat := range s.Seats.Holders {
		if seat.Holder.VM == h.VM && seat.Holder.Incarnation < h.Incarnation {
			return seat.Holder, true
		}
	}
	return model.Holder{}, false
}

func (s *DisseminatedState) markChanged() uint64 {
	s.changed = true
	return s.Revision + 1
}

func (s *DisseminatedState) markSeatsChanged() { s.Seats.Changed = s.markChanged() }

func (s *DisseminatedState) setSeatHolder(index int, h model.Holder) {
	s.Seats.Holders[index] = SeatHolder{Index: index, Holder: h, Changed: s.markChanged()}
}

func (s *DisseminatedState) addLayout(l *model.Layout) {
	copied := *l
	copied.Shards = slices.Clone(l.Shards)
	s.Layouts[LayoutKey{l.Service, l.Number}] = CommittedLayout{Layout: &copied, Digest: l.Digest(), Changed: s.markChanged()}
}

func (s *DisseminatedState) dropLayout(key LayoutKey) {
	s.Layouts[key] = CommittedLayout{Layout: &model.Layout{Service: key.Service, Number: key.Number}, Changed: s.markChanged(), Dropped: true}
}

func (s *DisseminatedState) setConfig(revision model.Revision, files model.ConfigFiles) {
	s.ConfigRevision, s.ConfigChanged = revision, s.markChanged()
	s.setFile("", files.Base)
	for site, text := range files.Overlays {
		s.setFile(site, text)
	}
	for site, f := range s.Files {
		if _, ok := files.Overlays[site]; !ok && site != "" && !f.Removed {
			s.Files[site] = File{Site: site, Changed: s.markChanged(), Removed: true}
		}
	}
}

func (s *DisseminatedState) setFile(site model.SiteName, text string) {
	if old, ok := s.Files[site]; ok && !old.Removed && old.Text == text {
		return
	}
	s.Files[site] = File{Site: site, Text: text, Changed: s.markChanged(), Digest: xxhash.Sum64String(text)}
}

// pruneTombstones removes the oldest tombstones beyond the limit, up to one revision, which becomes the floor for
// deltas. Tombstones of one revision are removed together.
func (s *DisseminatedState) pruneTombstones() {
	var revisions []uint64
	for _, l := range s.Layouts {
		if l.Dropped {
			revisions = append(revisions, l.Changed)
		}
	}
	for _, f := range s.Files {
		if f.Removed {
			revisions = append(revisions, f.Changed)
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	s.Floor = revisions[len(revisions)-maxTombstones-1]
	maps.DeleteFunc(s.Layouts, func(_ LayoutKey, l CommittedLayout) bool { return l.Dropped && l.Changed <= s.Floor })
	maps.DeleteFunc(s.Files, func(_ model.SiteName, f File) bool { return f.Removed && f.Changed <= s.Floor })
}

// Full returns the whole state as an update.
func (s *DisseminatedState) Full() Update {
	u := s.updateSince(0)
	u.Full = true
	return u
}

// UpdateFrom returns the changes since a revision: a delta where that is possible, otherwise the full state. The
// update is empty when the revision is not older than the state.
func (s *DisseminatedState) UpdateFrom(from uint64) Update {
	if from == 0 || from < s.Floor {
		return s.Full()
	}
	return s.updateSince(from)
}

// Empty reports whether the update changes nothing.
func (u *Update) Empty() bool { return !u.Full && u.To <= u.From }

func (s *DisseminatedState) updateSince(from uint64) Update {
	u := Update{
		From: from, To: s.Revision, ConfigRevision: s.ConfigRevision, ConfigChanged: s.ConfigChanged,
		Floor: s.Floor, Digest: s.Digest(), Seats: s.Seats,
	}
	u.Seats.Holders = nil
	for _, site := range sortedKeys(s.Files) {
		if f := s.Files[site]; f.Changed > from {
			u.Files = append(u.Files, f)
		}
	}
	for _, key := range s.layoutKeys() {
		if l := s.Layouts[key]; l.Changed > from {
			u.Layouts = append(u.Layouts, l)
		}
	}
	for _, h := range s.Seats.Holders {
		if h.Changed > from {
			u.Seats.Holders = append(u.Seats.Holders, h)
		}
	}
	return u
}

func (s *DisseminatedState) layoutKeys() []LayoutKey {
	keys := slices.Collect(maps.Keys(s.Layouts))
	slices.SortFunc(keys, compareLayoutKeys)
	return keys
}

// Apply returns the state after an update and leaves s unchanged. It refuses an update to a lower revision (kind
// conflict), and a delta from another revision or an update whose digest does not match (kind corrupt). After an error
// of kind corrupt the VM requests the full state.
func (s *DisseminatedState) Apply(u Update) (*DisseminatedState, error) {
	if u.To < s.Revision {
		return nil, errs.New(errs.KindConflict, "keep the state with the higher revision",
			"the update leads to state revision %d, and this VM has %d", u.To, s.Revision)
	}
	next := s.clone()
	if u.Full {
		next = newDisseminatedState()
	} else if u.From != s.Revision {
		return nil, errs.New(errs.KindCorrupt, "request the full state",
			"the update starts at state revision %d, and this VM has %d", u.From, s.Revision)
	}
	if err := next.applyParts(u); err != nil {
		return nil, err
	}
	next.seal()
	if next.digest != u.Digest {
		return nil, errs.New(errs.KindCorrupt, "request the full state",
			"the digest of state revision %d is %016x, not %016x", u.To, next.digest, u.Digest)
	}
	return next, nil
}

func (s *DisseminatedState) applyParts(u Update) error {
	s.Revision, s.ConfigRevision, s.ConfigChanged, s.Floor = u.To, u.ConfigRevision, u.ConfigChanged, u.Floor
	for _, f := range u.Files {
		if !f.Removed {
			f.Digest = xxhash.Sum64String(f.Text)
		}
		s.Files[f.Site] = f
	}
	for _, l := range u.Layouts {
		if !l.Dropped {
			l.Digest = l.Layout.Digest()
		}
		s.Layouts[LayoutKey{l.Layout.Service, l.Layout.Number}] = l
	}
	maps.DeleteFunc(s.Layouts, func(_ LayoutKey, l CommittedLayout) bool { return l.Dropped && l.Changed <= s.Floor })
	maps.DeleteFunc(s.Files, func(_ model.SiteName, f File) bool { return f.Removed && f.Changed <= s.Floor })
	return s.applySeats(u.Seats)
}

func (s *DisseminatedState) applySeats(t SeatTable) error {
	holders := s.Seats.Holders
	n := max(t.Count, t.Previous)
	if min(t.Count, t.Previous) < 0 || n > maxSeatTable {
		return errs.New(errs.KindCorrupt, "request the full state", "the update has %d seats", n)
	}
	for len(holders) < n {
		holders = append(holders, SeatHolder{Index: len(holders)})
	}
	holders = holders[:n]
	for _, h := range t.Holders {
		if h.Index < 0 || h.Index >= n {
			return errs.New(errs.KindCorrupt, "request the full state", "the update has a holder for seat %d of %d", h.Index, n)
		}
		holders[h.Index] = h
	}
	s.Seats = t
	s.Seats.Holders = holders
	return nil
}

// maxSeatTable limits the seats of an update or a change, far above what the configuration allows.
const maxSeatTable = 1 << 16

// Digest returns a digest of the whole disseminated state. Two VMs with the same revision have the same digest.
func (s *DisseminatedState) Digest() uint64 { return s.digest }

// seal computes the digest of a complete value, which does not change afterwards.
func (s *DisseminatedState) seal() {
	d := digester{xxhash.New()}
	d.number(s.Revision)
	d.number(uint64(s.ConfigRevision))
	for _, site := range sortedKeys(s.Files) {
		if f := s.Files[site]; !f.Removed {
			d.text(string(site))
			d.number(f.Digest)
		}
	}
	for _, key := range s.layoutKeys() {
		if l := s.Layouts[key]; !l.Dropped {
			d.text(string(key.Service))
			d.number(uint64(key.Number))
			d.number(l.Digest)
		}
	}
	d.number(uint64(s.Seats.Count))
	d.number(uint64(s.Seats.Previous))
	d.number(s.Seats.Change)
	d.number(uint64(s.Seats.Lease / time.Nanosecond))
	for _, h := range s.Seats.Holders {
		d.text(string(h.Holder.VM))
		d.number(h.Holder.Incarnation)
	}
	s.digest = d.Sum64()
}

type digester struct{ *xxhash.Digest }

func (d digester) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:]) // A hash never fails.
}

func (d digester) text(t string) {
	d.number(uint64(len(t)))
	_, _ = d.WriteString(t) // A hash never fails.
}
