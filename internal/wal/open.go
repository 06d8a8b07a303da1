package wal

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
)

// rejoinRemedy is the remedy for damage: votes and acknowledgements of the VM may be lost, so it has to rejoin as a new
// replica.
const rejoinRemedy = "move the control folder away and start the process again, so that the VM joins the control group as a new replica"

// Recovery is the result of reading the log. The data of the records shares memory with whole segments.
type Recovery struct {
	Records []Record
	// TruncatedBytes is the size of the unsynced end that was removed.
	TruncatedBytes int64
}

// Open opens the log in a folder, which is created when it is missing. An incomplete end that was never synced is
// removed; damage before it is an error of kind corrupt.
func Open(fs fsys.FS, folder string, options Options) (*Log, Recovery, error) {
	l := &Log{fs: fs, folder: folder, options: options, seq: 1, group: 1}
	if err := fs.MakeFolder(folder); err != nil {
		return nil, Recovery{}, l.fail(err)
	}
	numbers, err := l.findSegments()
	if err != nil {
		return nil, Recovery{}, err
	}
	if len(numbers) == 0 {
		return l, Recovery{}, l.fail(l.roll())
	}
	// An earlier process may have ended between renaming a segment and syncing the folder.
	if err := fs.SyncFolder(folder); err != nil {
		return nil, Recovery{}, l.fail(err)
	}
	rec, err := l.load(numbers)
	return l, rec, err
}

// findSegments returns the numbers of the segments and removes incomplete files, unless a full disk keeps them.
func (l *Log) findSegments() ([]uint64, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return nil, l.fail(err)
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, fsys.TemporarySuffix) {
			// The next segment replaces a spare file that a full disk keeps.
			if err := l.fs.Remove(l.path(name)); err != nil && KindOf(err) != errs.KindDiskFull {
				return nil, l.fail(err)
			}
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
		if err != nil || name != segmentName(n) {
			return nil, errs.New(errs.KindCorrupt, "move the file away", "%s is not a segment of the control log", l.path(name))
		}
		if k := len(numbers); k > 0 && n != numbers[k-1]+1 {
			return nil, errs.New(errs.KindCorrupt, rejoinRemedy, "segment %s of the control log is missing", l.path(segmentName(numbers[k-1]+1)))
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

// load reads all segments and opens the last one for writing after its last record.
func (l *Log) load(numbers []uint64) (Recovery, error) {
	var rec Recovery
	for i, number := range numbers {
		data, err := fsys.ReadAll(l.fs, l.path(segmentName(number)))
		if err != nil {
			return rec, l.fail(err)
		}
		end, err := l.loadSegment(number, data, i == 0, &rec)
		if err != nil {
			return rec, err
		}
		if i < len(numbers)-1 {
			continue
		}
		if l.hasLaterGroup(data[end:]) {
			return rec, errs.New(errs.KindCorrupt, rejoinRemedy, "%s is damaged at offset %d, before its end", l.path(segmentName(number)), end)
		}
		if err := l.openLast(number, data, end, &rec); err != nil {
			return rec, l.fail(err)
		}
	}
	return rec, nil
}

// loadSegment reads the records of a segment and returns the offset after the last one.
func (l *Log) loadSegment(number uint64, data []byte, first bool, rec *Recovery) (int, error) {
	l.segments = append(l.segments, segment{number: number})
	head, ok := parseFrame(data)
	want := binary.LittleEndian.AppendUint64(bytes.Clone(magic), number)
	if !ok || head.Type != typeHeader || !bytes.Equal(head.Data, want) {
		return 0, errs.New(errs.KindCorrupt, rejoinRemedy, "the header of %s is damaged", l.path(segmentName(number)))
	}
	if !first && head.seq != l.seq {
		return 0, errs.New(errs.KindCorrupt, rejoinRemedy, "records %d to %d before %s are damaged", l.seq, head.seq-1, l.path(segmentName(number)))
	}
	l.seq = head.seq + 1
	at := head.size
	for {
		f, ok := parseFrame(data[at:])
		if !ok || f.seq != l.seq {
			return at, nil
		}
		l.seq++
		at += f.size
		l.trackRecord(f.Record)
		rec.Records = append(rec.Records, f.Record)
	}
}

// trackRecord updates the newest state and the highest index of the last segment.
func (l *Log) trackRecord(r Record) {
	if r.Type == TypeState {
		l.state = &Record{Type: r.Type, Data: bytes.Clone(r.Data)}
	}
	last := &l.segments[len(l.segments)-1]
	last.maxIndex = max(last.maxIndex, r.Index)
}

// hasLaterGroup reports whether the bytes after the last undamaged record hold a record that was written after the
// missing records were synced. Sectors of one unsynced group may reach the disk in any order, so a later record of the
// same group does not show that a synced record is missing.
func (l *Log) hasLaterGroup(rest []byte) bool {
	for at := 0; at+headerBytes <= len(rest); at += alignBytes {
		seq := binary.LittleEndian.Uint64(rest[at+8:])
		group := binary.LittleEndian.Uint64(rest[at+16:])
		if seq <= l.seq || group <= l.seq || group > seq {
			continue
		}
		if _, ok := parseFrame(rest[at:]); ok {
			return true
		}
	}
	return false
}

// openLast opens the last segment and overwrites the bytes after the last record, so that they cannot be mistaken for
// new records later.
func (l *Log) openLast(number uint64, data []byte, end int, rec *Recovery) error {
	f, err := l.fs.Open(l.path(segmentName(number)))
	if err != nil {
		return err
	}
	l.file, l.offset, l.group = f, int64(end), l.seq
	rest := bytes.TrimRight(data[end:], "\x00")
	rec.TruncatedBytes = int64(len(rest))
	if int64(len(data)) < l.options.SegmentBytes || len(rest) > 0 {
		if err := fillZeros(f, int64(end), max(l.options.SegmentBytes, int64(len(data)))); err != nil {
			return err
		}
	}
	// The records that were read may have reached only the page cache before the crash.
	return f.Sync()
}
