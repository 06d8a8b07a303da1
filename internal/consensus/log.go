package consensus

import (
	"slices"
	"sort"
)

// entryLog holds the entries after a compacted prefix. Slices that it returns are never overwritten: an append
// after a truncation copies the entries to a new array.
type entryLog struct {
	// offset, offsetTerm and offsetAt are the index, term and time of the last compacted entry.
	offset     uint64
	offsetTerm uint64
	offsetAt   int64
	entries    []Entry
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) lastAt() int64 {
	if len(l.entries) == 0 {
		return l.offsetAt
	}
	return l.entries[len(l.entries)-1].At
}

// term returns the term at an index, or false when the index is compacted or beyond the end.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, inclusive, or nil if lo is above hi. The result shares the log's memory.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return slices.Clip(l.entries[lo-l.offset-1 : hi-l.offset])
}

// sliceWithin returns the entries from lo on that fit into maxBytes, but at least one.
func (l *entryLog) sliceWithin(lo uint64, maxBytes int) []Entry {
	total := 0
	hi := lo
	for ; hi <= l.last(); hi++ {
		total += l.entries[hi-l.offset-1].Size()
		if total > maxBytes && hi > lo {
			break
		}
	}
	return l.slice(lo, hi-1)
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

func (l *entryLog) truncateFrom(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.offset-1])
}

// compact removes the entries up to an index, which has to be in the log.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	e := l.entries[index-l.offset-1]
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm, l.offsetAt = index, e.Term, e.At
}

func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{offset: s.Index, offsetTerm: s.Term, offsetAt: s.At}
}

// firstOfTerm returns the lowest index in the log that has the same term as the given index. Terms never decrease
// along the log.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	t, _ := l.term(index)
	i := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Term >= t })
	return l.offset + uint64(i) + 1
}
