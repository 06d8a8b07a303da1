package wal

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys/fsystest"
)

var smallSegments = Options{SegmentBytes: 4096}

// TestMain fixes the seed of the property tests, so that CI has the same result on every run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func entry(i int) Record {
	return Record{Type: TypeEntry, Index: uint64(i), Data: bytes.Repeat([]byte{byte(i)}, 1+i*37%900)}
}

func open(t require.TestingT, fs fsys.FS) (*Log, Recovery) {
	l, rec, err := Open(fs, "wal", smallSegments)
	require.NoError(t, err)
	return l, rec
}

func entries(rec Recovery) []Record {
	var out []Record
	for _, r := range rec.Records {
		if r.Type == TypeEntry {
			out = append(out, r)
		}
	}
	return out
}

// Guards against the loss of synced records, and against an incomplete end of the log that
// is read as records. It simulates several crashes in a row.
func TestCrashKeepsSyncedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		fs := fsystest.NewMemory()
		var written []Record
		for range rapid.IntRange(1, 5).Draw(t, "crashes") {
			l, rec := open(t, fs)
			found := entries(rec)
			require.LessOrEqual(t, len(found), len(written))
			for i := range found {
				require.Equal(t, written[i], found[i])
			}
			written = found
			synced := len(found)
			for range random.IntN(30) {
				r := entry(len(written) + 1)
				require.NoError(t, l.Append([]Record{r, {Type: TypeState, Data: []byte("state")}}))
				written = append(written, r)
				if random.IntN(3) == 0 {
					require.NoError(t, l.Sync())
					synced = len(written)
				}
			}
			fs = fs.Crash(random)
			_, rec = open(t, fs.Crash(random))
			require.GreaterOrEqual(t, len(entries(rec)), synced)
		}
	})
}

// fill writes synced records into several segments and returns the file system and the log.
func fill(t *testing.T) (*fsystest.Memory, *Log) {
	fs := fsystest.NewMemory()
	l, _ := open(t, fs)
	for i := 1; i <= 20; i++ {
		require.NoError(t, l.Append([]Record{entry(i), {Type: TypeState, Data: fmt.Appendf(nil, "state %d", i)}}))
		require.NoError(t, l.Sync())
	}
	require.Greater(t, l.Segments(), 2)
	return fs, l
}

// Guards against a start with damaged records, which would lose votes or acknowledged entries.
func TestDamageBeforeTheEnd(t *testing.T) {
	_, l := fill(t)
	lastRecord := l.offset - int64(frameBytes(len("state 20")))
	for _, number := range []uint64{1, 2, l.segments[len(l.segments)-1].number} {
		for offset := 0; offset < int(lastRecord); offset += 61 {
			fs, l := fill(t)
			data, err := fsys.ReadAll(fs, l.path(segmentName(number)))
			require.NoError(t, err)
			f, ok := frameAt(data, offset)
			last := number == l.segments[len(l.segments)-1].number
			if !ok || last && f.seq >= l.seq-2 {
				continue // Padding, or the last synced group, which cannot be distinguished from an incomplete one.
			}
			fs.Corrupt(l.path(segmentName(number)), offset)
			_, _, err = Open(fs, "wal", smallSegments)
			require.Equal(t, errs.KindCorrupt, errs.KindOf(err), "segment %d offset %d", number, offset)
			require.Contains(t, errs.RemedyOf(err), "joins the control group as a new replica")
		}
	}
}

// frameAt returns the record at an offset, or false for the padding between records.
func frameAt(data []byte, offset int) (frame, bool) {
	for at := 0; ; {
		f, ok := parseFrame(data[at:])
		if !ok {
			return frame{}, false
		}
		if offset < at+f.size {
			return f, offset < at+headerBytes+len(f.Data)
		}
		at += f.size
	}
}

// Guards against a missing segment that is ignored.
func TestMissingSegment(t *testing.T) {
	fs, l := fill(t)
	require.NoError(t, fs.Remove(l.path(segmentName(2))))
	_, _, err := Open(fs, "wal", smallSegments)
	require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
}

// Guards against a retried sync that reports success for data that the kernel has dropped.
func TestFailedSyncIsFinal(t *testing.T) {
	fs, l := fill(t)
	fs.FailSyncs(syscall.EIO)
	require.NoError(t, l.Append([]Record{entry(21)}))
	require.ErrorIs(t, l.Sync(), syscall.EIO)
	fs.FailSyncs(nil)
	before := fs.Syncs()
	require.ErrorIs(t, l.Sync(), syscall.EIO)
	require.ErrorIs(t, l.Append([]Record{entry(22)}), syscall.EIO)
	require.ErrorIs(t, l.Reserve(), syscall.EIO)
	require.Equal(t, before, fs.Syncs())
}

// Guards against a full disk that is detected only in the middle of an accepted entry, and against a log
// that still refuses entries after space was freed.
func TestDiskFull(t *testing.T) {
	fs := fsystest.NewMemory()
	l, _ := open(t, fs)
	fs.SetCapacity(fs.Used() + 100)
	err := l.Reserve()
	require.Equal(t, errs.KindDiskFull, errs.KindOf(err))
	for i := 1; i <= 3; i++ {
		require.NoError(t, l.Append([]Record{entry(i)}), "the space of the current segment is already allocated")
		require.NoError(t, l.Sync())
	}
	fs.SetCapacity(0)
	require.NoError(t, l.Reserve())
	for i := 4; i <= 20; i++ {
		require.NoError(t, l.Append([]Record{entry(i)}))
	}
	require.NoError(t, l.Sync())
	_, rec := open(t, fs)
	require.Len(t, entries(rec), 20)
}

// Guards against a vote that is lost when the segment that holds it is removed.
func TestPruneKeepsTheState(t *testing.T) {
	fs, l := fill(t)
	segments := l.Segments()
	require.NoError(t, l.Prune(15))
	require.Less(t, l.Segments(), segments)
	_, rec := open(t, fs)
	require.Greater(t, rec.Records[1].Index, uint64(1))
	require.LessOrEqual(t, rec.Records[1].Index, uint64(16))
	require.Equal(t, TypeState, rec.Records[0].Type)
	require.Equal(t, "state 20", string(rec.Records[len(rec.Records)-1].Data))
}

// Guards against a crash or an out-of-bounds read on damaged records.
func FuzzParseFrame(f *testing.F) {
	f.Add(appendFrame(nil, entry(3), 7, 5))
	f.Add(appendFrame(nil, Record{Type: TypeState}, 1, 1))
	f.Add(make([]byte, headerBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, ok := parseFrame(data)
		if !ok {
			return
		}
		again := appendFrame(nil, r.Record, r.seq, r.group)
		// The padding is not covered by the checksum.
		require.Equal(t, data[:headerBytes+len(r.Data)], again[:headerBytes+len(r.Data)])
		require.Equal(t, len(r.Data), int(binary.LittleEndian.Uint32(data)))
	})
}

// Guards against a crash, or an error without a remedy, on a segment with arbitrary contents. A log that opens
// has to open again with the same records.
func FuzzOpen(f *testing.F) {
	fs := fsystest.NewMemory()
	l, _ := open(f, fs)
	require.NoError(f, l.Append([]Record{entry(1), entry(2)}))
	valid, err := fsys.ReadAll(fs, l.path(segmentName(1)))
	require.NoError(f, err)
	f.Add(valid[:l.offset])
	f.Add(valid[:l.offset-9])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := fsystest.NewMemory()
		file, err := fs.Create("wal/" + segmentName(1))
		require.NoError(t, err)
		_, err = file.WriteAt(data, 0)
		require.NoError(t, err)
		_, rec, err := Open(fs, "wal", smallSegments)
		if err != nil {
			require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
			require.NotEmpty(t, errs.RemedyOf(err))
			return
		}
		_, again := open(t, fs)
		require.Equal(t, rec.Records, again.Records)
		require.Zero(t, again.TruncatedBytes)
	})
}

// BenchmarkAppendSync measures the proposals per second of the log on a real disk, by the number of proposals that
// share one sync.
func BenchmarkAppendSync(b *testing.B) {
	for _, group := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			l, _, err := Open(fsys.OS{}, b.TempDir(), Options{SegmentBytes: 16 << 20})
			require.NoError(b, err)
			data := make([]byte, 200)
			index := uint64(0)
			for b.Loop() {
				records := make([]Record, 0, group)
				for range group {
					index++
					records = append(records, Record{Type: TypeEntry, Index: index, Data: data})
				}
				require.NoError(b, l.Append(records))
				require.NoError(b, l.Sync())
				if index%4096 < uint64(group) {
					require.NoError(b, l.Prune(index))
				}
			}
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "proposals/s")
			require.NoError(b, l.Close())
		})
	}
}

// Guards against the loss of synced records after a process ended between renaming a segment and syncing the folder: the next
// process appended to the segment, whose name was not durable.
func TestSegmentOfAnEndedProcessIsDurable(t *testing.T) {
	fs := fsystest.NewMemory()
	l, _ := open(t, fs)
	fs.Refuse(fsystest.OpSyncFolder, syscall.EIO)
	var want []Record
	for i := 0; ; i++ {
		want = append(want, entry(i))
		if l.Append(want[i:]) != nil {
			want = want[:i]
			break
		}
		require.NoError(t, l.Sync())
	}
	fs.Refuse(fsystest.OpSyncFolder, nil)
	l, rec := open(t, fs)
	require.Equal(t, 2, l.Segments())
	require.Equal(t, want, entries(rec))
	want = append(want, entry(len(want)))
	require.NoError(t, l.Append(want[len(want)-1:]))
	require.NoError(t, l.Sync())
	_, rec = open(t, fs.Crash(rand.New(rand.NewPCG(1, 1))))
	require.Equal(t, want, entries(rec))
}

// droppingFS is a file system that drops the changes of a folder whose sync is refused: a later sync without another change
// succeeds and makes nothing durable.
type droppingFS struct {
	*fsystest.Memory
	changed bool
}

func (d *droppingFS) Rename(from, to string) error {
	d.changed = true
	return d.Memory.Rename(from, to)
}

func (d *droppingFS) SyncFolder(path string) error {
	if !d.changed {
		return nil
	}
	d.changed = false
	return d.Memory.SyncFolder(path)
}

// Guards against records that are reported as durable in a segment whose name is lost in a crash, because only the sync of the
// folder was repeated after a full disk had refused it.
func TestRefusedFolderSyncIsNotRepeatedAlone(t *testing.T) {
	for _, alsoRename := range []bool{false, true} {
		fs := &droppingFS{Memory: fsystest.NewMemory()}
		l, _ := open(t, fs)
		afterCrash := func() []Record {
			_, rec := open(t, fs.Crash(rand.New(rand.NewPCG(1, 1))))
			return entries(rec)
		}
		var want []Record
		waits := 0
		l.SetWaitForSpace(func(error) bool {
			require.Equal(t, want[:len(want)-1], afterCrash(), "records that are synced are lost while the disk is full")
			waits++
			if alsoRename {
				fs.Refuse(fsystest.OpRename, map[bool]error{true: syscall.ENOSPC}[waits%4 < 2])
			}
			if waits%4 == 3 {
				fs.Refuse(fsystest.OpSyncFolder, nil)
			}
			return true
		})
		for i := range 40 {
			if i%10 == 0 {
				fs.Refuse(fsystest.OpSyncFolder, syscall.ENOSPC)
			}
			want = append(want, entry(i))
			require.NoError(t, l.Append(want[i:]))
			require.NoError(t, l.Sync())
			require.Equal(t, want, afterCrash())
		}
		require.Greater(t, waits, 4)
	}
}

// Guards against a process that ends because a full disk refuses to create, rename or sync the name of the next segment, and against a log that
// loses records once it has space again.
func TestFullDiskRefusesOneOperation(t *testing.T) {
	for _, op := range []fsystest.Operation{fsystest.OpCreate, fsystest.OpWrite, fsystest.OpRename, fsystest.OpSyncFolder} {
		for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT} {
			fs := fsystest.NewMemory()
			l, _ := open(t, fs)
			waits := 0
			l.SetWaitForSpace(func(err error) bool {
				require.ErrorIs(t, err, full)
				if waits++; waits%3 == 0 {
					fs.Refuse(op, nil)
				}
				return true
			})
			var want []Record
			for i := range 40 {
				if i%10 == 0 {
					fs.Refuse(op, full)
				}
				want = append(want, entry(i))
				require.NoError(t, l.Append(want[i:]), "%s: %v", op, full)
				require.NoError(t, l.Sync())
			}
			require.Positive(t, waits, "%s was not refused", op)
			_, rec := open(t, fs.Crash(rand.New(rand.NewPCG(1, 1))))
			require.Equal(t, want, entries(rec))
		}
	}
}
