package model

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// IndexVersion is the number of an index version of a service. Higher is newer.
type IndexVersion uint64

// LayoutNumber is the number of a partition layout of a service. Higher is newer.
type LayoutNumber uint64

// Shard is one shard of a layout with the share of the service's data that it holds.
type Shard struct {
	ID    ShardID
	Share float64
}

// LayoutRef identifies a layout by its number and the digest of its shards and shares.
type LayoutRef struct {
	Number LayoutNumber
	Digest uint64
}

// Layout is a partition layout of one service. Once committed, its shards and shares never change, and they are
// the denominator of every coverage.
type Layout struct {
	Service ServiceName
	Number  LayoutNumber
	Shards  []Shard
}

// shareTolerance is how far the sum of the shares of a layout may be from 1, to allow for decimal rounding.
const shareTolerance = 1e-6

// Digest returns a digest of the shards and shares in order.
func (l *Layout) Digest() uint64 {
	d := xxhash.New()
	var b [12]byte
	for _, s := range l.Shards {
		binary.LittleEndian.PutUint32(b[:4], uint32(s.ID))
		binary.LittleEndian.PutUint64(b[4:], math.Float64bits(s.Share))
		_, _ = d.Write(b[:]) // Writing to a hash never fails.
	}
	return d.Sum64()
}

// Ref returns the reference that identifies this layout.
func (l *Layout) Ref() LayoutRef { return LayoutRef{Number: l.Number, Digest: l.Digest()} }

// Validate returns an error when the layout cannot be the denominator of a coverage: it has no shards, its shards
// are not in ascending order, or its shares do not sum to 1.
func (l *Layout) Validate() error {
	if len(l.Shards) == 0 {
		return fmt.Errorf("layout %d has no shards", l.Number)
	}
	sum := 0.0
	for i, s := range l.Shards {
		if i > 0 && s.ID <= l.Shards[i-1].ID {
			return fmt.Errorf("layout %d lists shard %d out of ascending order", l.Number, s.ID)
		}
		if !(s.Share > 0 && s.Share <= 1) {
			return fmt.Errorf("layout %d gives shard %d the share %v; a share is above 0 and at most 1", l.Number, s.ID, s.Share)
		}
		sum += s.Share
	}
	if math.Abs(sum-1) > shareTolerance {
		return fmt.Errorf("layout %d has shares that sum to %v, not to 1", l.Number, sum)
	}
	return nil
}

// Snapshot is the data that one answer is drawn from: a partition layout and an index version.
type Snapshot struct {
	Layout LayoutNumber
	Index  IndexVersion
}

// String returns "layout.index".
func (s Snapshot) String() string { return fmt.Sprintf("%d.%d", s.Layout, s.Index) }

// ParseSnapshot parses the form that String returns.
func ParseSnapshot(text string) (Snapshot, error) {
	var s Snapshot
	n, err := fmt.Sscanf(text, "%d.%d", &s.Layout, &s.Index)
	if err != nil || n != 2 || s.String() != text {
		return Snapshot{}, fmt.Errorf("snapshot %q is not of the form layout.index", text)
	}
	return s, nil
}

// Newer reports whether s is newer than other. Index versions are compared first, since callers notice stale data
// before they notice a repartition.
func (s Snapshot) Newer(other Snapshot) bool {
	if s.Index != other.Index {
		return s.Index > other.Index
	}
	return s.Layout > other.Layout
}
