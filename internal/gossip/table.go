package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Stamp identifies the contents of an origin's table. The version counts the changes within one incarnation of the
// origin, and the digest covers all records.
type Stamp struct {
	Incarnation uint64
	Version     uint64
	Digest      uint64
}

// Older reports whether s is older than o.
func (s Stamp) Older(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation < o.Incarnation
	}
	return s.Version < o.Version
}

// Delta is the difference between two versions of an origin's table.
type Delta struct {
	Origin      model.VMName
	Incarnation uint64
	From, To    uint64
	// Digest is the digest of the table after the change.
	Digest  uint64
	Put     []*model.Announcement
	Removed []model.TargetKey
}

// Table holds the targets that announce themselves to one origin. Stored records are not modified.
type Table struct {
	stamp   Stamp
	records map[model.TargetKey]*model.Announcement
}

func newTable(incarnation uint64) *Table {
	return &Table{stamp: Stamp{Incarnation: incarnation}, records: map[model.TargetKey]*model.Announcement{}}
}

// Records returns the records whose keys follow a given key, in the order of their keys.
func (t *Table) Records(after model.TargetKey) []*model.Announcement {
	var out []*model.Announcement
	for k, r := range t.records {
		if compareKeys(k, after) > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *model.Announcement) int { return compareKeys(a.Key(), b.Key()) })
	return out
}

func compareKeys(a, b model.TargetKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

// set stores a record without changing the version.
func (t *Table) set(r *model.Announcement) {
	k := r.Key()
	if old := t.records[k]; old != nil {
		t.stamp.Digest ^= recordHash(old)
	}
	t.records[k] = r
	t.stamp.Digest ^= recordHash(r)
}

// unset removes a record without changing the version, and reports whether there was one.
func (t *Table) unset(k model.TargetKey) bool {
	old := t.records[k]
	if old == nil {
		return false
	}
	t.stamp.Digest ^= recordHash(old)
	delete(t.records, k)
	return true
}

// recordOf returns the part of an announcement that other VMs need. It omits the load, which is stale by the time it
// arrives, and the shards of the layout, which are replicated once the layout is committed.
func recordOf(a *model.Announcement) *model.Announcement {
	r := *a
	r.LayoutShards, r.Load = nil, model.Load{}
	return &r
}

// sameRecord reports whether two announcements are equal except for their sequence numbers, load and layout shards.
func sameRecord(a, b *model.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Addr == b.Addr && a.AvailabilityZone == b.AvailabilityZone &&
		a.Layout == b.Layout && a.Slots == b.Slots && a.ConnectionLimit == b.ConnectionLimit && a.Lease == b.Lease &&
		slices.Equal(a.Shards, b.Shards) && slices.Equal(a.IndexVersions, b.IndexVersions)
}

// recordHash covers all fields of a record, so that tables with the same digest have the same records.
func recordHash(r *model.Announcement) uint64 {
	b := make([]byte, 0, 256)
	for _, s := range []string{string(r.Service), string(r.ID), string(r.AvailabilityZone), r.Addr, string(r.State)} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, n := range []uint64{
		r.Incarnation, r.Sequence, uint64(r.Layout.Number), r.Layout.Digest, uint64(r.Slots), uint64(r.ConnectionLimit),
		uint64(r.Lease), uint64(len(r.Shards)), uint64(len(r.IndexVersions)),
	} {
		b = binary.AppendUvarint(b, n)
	}
	for _, s := range r.Shards {
		b = binary.AppendUvarint(b, uint64(s))
	}
	for _, v := range r.IndexVersions {
		b = binary.AppendUvarint(b, uint64(v))
	}
	return xxhash.Sum64(b)
}

// Vector holds the stamps of origins. Its hash is updated with each change, so that two VMs can compare whole vectors.
type Vector struct {
	entries map[model.VMName]Stamp
	hash    uint64
}

func newVector() *Vector { return &Vector{entries: map[model.VMName]Stamp{}} }

func (v *Vector) set(vm model.VMName, s Stamp) {
	v.unset(vm)
	v.entries[vm] = s
	v.hash ^= stampHash(vm, s)
}

func (v *Vector) unset(vm model.VMName) {
	if old, ok := v.entries[vm]; ok {
		v.hash ^= stampHash(vm, old)
		delete(v.entries, vm)
	}
}

func stampHash(vm model.VMName, s Stamp) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], s.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], s.Version)
	binary.LittleEndian.PutUint64(b[16:], s.Digest)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])             // A hash never fails.
	_, _ = d.WriteString(string(vm)) // A hash never fails.
	return d.Sum64()
}

// Entry is one origin of a vector.
type Entry struct {
	Origin model.VMName
	Stamp  Stamp
}
