// Package wal is the write-ahead log of a control VM, stored in segment files. Records are checksummed, segments are
// preallocated, and no record counts as durable before Sync returns.
//
// A Log is not safe for concurrent use; the disk goroutine owns it.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"syscall"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
)

const (
	suffix    = ".wal"
	spareName = "spare" + fsys.TemporarySuffix
	// zeroBlockBytes is the size of each write of zeros into a new segment.
	zeroBlockBytes = 1 << 20
)

// magic is the start of the data of a segment header. The segment number follows it.
var magic = []byte("CTWAL001")

// Options configures a log.
type Options struct {
	// SegmentBytes is the size of each segment. It has to be several times the size of the largest record.
	SegmentBytes int64
}

// segment is one file of the log. Every segment except the last one is complete and synced.
type segment struct {
	number   uint64
	maxIndex uint64
}

// Log is an open write-ahead log.
type Log struct {
	fs       fsys.FS
	folder   string
	options  Options
	segments []segment
	file     fsys.File
	offset   int64
	seq      uint64
	group    uint64
	state    *Record
	hasSpare bool
	failure  error
	buffer   []byte
	// waitForSpace is called when the disk is full. The write is retried when it returns true.
	waitForSpace func(error) bool
}

// SetWaitForSpace makes writes wait while the disk is full, instead of failing permanently. Some disks refuse even
// writes over allocated space. Retrying is safe, since it writes the same bytes to the same offset.
func (l *Log) SetWaitForSpace(wait func(error) bool) { l.waitForSpace = wait }

// retryWhileFull runs fn until the disk has space for it, or until waitForSpace ends the wait.
func (l *Log) retryWhileFull(fn func() error) error {
	for {
		err := fn()
		if KindOf(err) != errs.KindDiskFull || l.waitForSpace == nil || !l.waitForSpace(err) {
			return err
		}
	}
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, suffix) }

// MaxDataBytes returns the largest size of a record's data, which leaves space for a header and a state.
func (o Options) MaxDataBytes() int { return int(o.SegmentBytes / 4) }

// Append writes records without syncing them. An error is final: the process has to end, since the contents of the
// disk are unknown.
func (l *Log) Append(records []Record) error {
	if l.failure != nil {
		return l.failure
	}
	for _, r := range records {
		if len(r.Data) > l.options.MaxDataBytes() {
			return errs.New(errs.KindTooLarge, "raise [control] segment_bytes", "a log record of %d bytes is above the limit of %d", len(r.Data), l.options.MaxDataBytes())
		}
		if l.offset+int64(len(l.buffer)+frameBytes(len(r.Data))) > l.options.SegmentBytes {
			if err := l.roll(); err != nil {
				return l.fail(err)
			}
		}
		l.bufferRecord(r)
	}
	return l.fail(l.write())
}

func (l *Log) bufferRecord(r Record) {
	if r.Type == TypeState {
		l.state = &r
	}
	last := &l.segments[len(l.segments)-1]
	last.maxIndex = max(last.maxIndex, r.Index)
	l.buffer = appendFrame(l.buffer, r, l.seq, l.group)
	l.seq++
}

func (l *Log) write() error {
	if len(l.buffer) == 0 {
		return nil
	}
	err := l.retryWhileFull(func() error {
		_, err := l.file.WriteAt(l.buffer, l.offset)
		return err
	})
	l.offset += int64(len(l.buffer))
	l.buffer = l.buffer[:0]
	return err
}

// Sync makes all appended records durable. A failed sync is final and never retried: the kernel may have
// dropped the dirty pages, so a second sync would report success for lost data.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.file.SyncData(); err != nil {
		return l.fail(err)
	}
	l.group = l.seq
	return nil
}

// fail keeps the first error, which fails all later calls.
func (l *Log) fail(err error) error {
	if err != nil && l.failure == nil {
		l.failure = errs.Wrap(err, KindOf(err), "replace the disk or free space, then start the process again", "the control log in %s cannot be read or written", l.folder)
	}
	return l.failure
}

// KindOf returns the kind of an error of the file system.
func KindOf(err error) errs.Kind {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errs.KindDiskFull
	}
	return errs.KindInternal
}

// roll completes the current segment and continues in the spare one.
func (l *Log) roll() error {
	if err := l.write(); err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.SyncData(); err != nil {
			return err
		}
		l.group = l.seq
	}
	if err := l.retryWhileFull(l.createSpare); err != nil {
		return err
	}
	return l.useSpare()
}

// useSpare turns the spare file into the next segment. The header is synced before the file is renamed, so a file
// with a segment name always has a header.
func (l *Log) useSpare() error {
	number := uint64(1)
	if k := len(l.segments); k > 0 {
		number = l.segments[k-1].number + 1
	}
	f, err := l.fs.Open(l.path(spareName))
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close() // The file is synced, so a failed close loses no data.
	}
	l.file, l.offset = f, 0
	l.segments = append(l.segments, segment{number: number})
	l.bufferRecord(Record{Type: typeHeader, Data: binary.LittleEndian.AppendUint64(magic[:len(magic):len(magic)], number)})
	if l.state != nil {
		l.bufferRecord(*l.state)
	}
	if err := l.write(); err != nil {
		return err
	}
	if err := f.SyncData(); err != nil {
		return err
	}
	l.group = l.seq
	if err := l.nameSegment(number); err != nil {
		return err
	}
	l.hasSpare = false
	return nil
}

// nameSegment renames the spare file and makes the new name durable. When a full disk refuses the sync of the folder, the file is
// renamed back and forth before the next sync: a sync alone could succeed although the kernel has dropped the refused change.
func (l *Log) nameSegment(number uint64) error {
	spare, segment := l.path(spareName), l.path(segmentName(number))
	renamed := false
	return l.retryWhileFull(func() error {
		if renamed {
			if err := l.fs.Rename(segment, spare); err != nil {
				return err
			}
			renamed = false
		}
		if err := l.fs.Rename(spare, segment); err != nil {
			return err
		}
		renamed = true
		return l.fs.SyncFolder(l.folder)
	})
}

// Reserve creates the spare segment unless it exists. After an error of kind disk_full the caller should accept no new
// entries; Reserve may be called again later.
func (l *Log) Reserve() error {
	if l.failure != nil {
		return l.failure
	}
	err := l.createSpare()
	if err == nil {
		return nil
	}
	if KindOf(err) == errs.KindDiskFull {
		return errs.Wrap(err, errs.KindDiskFull, "free space in the data folder", "the next segment of the control log cannot be created in %s", l.folder)
	}
	return l.fail(err)
}

// createSpare writes a file of zeros. Later writes into it need no new disk space and do not change the file size.
func (l *Log) createSpare() error {
	if l.hasSpare {
		return nil
	}
	f, err := l.fs.Create(l.path(spareName))
	if err != nil {
		return err
	}
	err = fillZeros(f, 0, l.options.SegmentBytes)
	if err == nil {
		err = f.Sync()
	}
	_ = f.Close() // The result of the sync shows whether the contents are durable.
	if err != nil {
		_ = l.fs.Remove(l.path(spareName)) // This frees the space; the next attempt replaces a file that is left over.
		return err
	}
	l.hasSpare = true
	return nil
}

func fillZeros(f fsys.File, from, to int64) error {
	block := make([]byte, min(zeroBlockBytes, max(to-from, 0)))
	for at := from; at < to; {
		n := min(int64(len(block)), to-at)
		if _, err := f.WriteAt(block[:n], at); err != nil {
			return err
		}
		at += n
	}
	return nil
}

// Prune removes the leading segments that hold only entries up to an index. After an error of kind disk_full it may be
// called again; any other error is final.
func (l *Log) Prune(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	removed := false
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.fs.Remove(l.path(segmentName(l.segments[0].number))); err != nil {
			return l.failUnlessFull(err)
		}
		l.segments = l.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return l.failUnlessFull(l.fs.SyncFolder(l.folder))
}

// failUnlessFull keeps an error like fail, unless the disk is full.
func (l *Log) failUnlessFull(err error) error {
	if err == nil || KindOf(err) != errs.KindDiskFull {
		return l.fail(err)
	}
	return errs.Wrap(err, errs.KindDiskFull, "free space in the data folder", "segments of the control log in %s cannot be removed", l.folder)
}

// Segments returns the number of segments.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the files. Records that were not synced may be lost.
func (l *Log) Close() error { return l.file.Close() }
