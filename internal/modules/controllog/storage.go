package controllog

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/snap"
	"github.com/chestnuttiller/chestnuttiller/internal/wal"
)

// storage is the opened data folder.
type storage struct {
	fs       fsys.FS
	folder   string
	identity identity
	log      *wal.Log
	snaps    *snap.Store
	stored   consensus.Stored
	// truncatedBytes and damagedSnapshots are the parts that were repaired.
	truncatedBytes   int64
	damagedSnapshots []string
	isNew            bool
}

// openStorage reads the data folder. In an empty folder it creates a new replica ID; the replica then has to join a
// group.
func openStorage(files fsys.FS, s *settings.Settings, segmentBytes int64) (*storage, error) {
	st := &storage{fs: files, folder: controlFolder(s)}
	id, found, err := loadIdentity(files, st.folder)
	if err != nil {
		return nil, err
	}
	if !found {
		st.isNew = true
		id = identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID()}
		if o := loadOptions(s); o.formGroup {
			id.Initial = o.initial
		}
		if err := st.checkNoLog(); err != nil {
			return nil, err
		}
		if err := saveIdentity(files, st.folder, id); err != nil {
			return nil, err
		}
	}
	st.identity = id
	if err := id.check(s); err != nil {
		return nil, err
	}
	if found {
		if err := syncIdentity(files, st.folder); err != nil {
			return nil, err
		}
	}
	return st, st.load(wal.Options{SegmentBytes: segmentBytes})
}

// damagedSuffix is the suffix of a damaged control folder that was renamed.
const damagedSuffix = ".damaged"

// renameDamaged renames a damaged control folder. A folder that was renamed earlier is removed, so that the disk does
// not fill up.
func renameDamaged(folder string) error {
	target := folder + damagedSuffix
	err := os.RemoveAll(target)
	if err == nil {
		err = os.Rename(folder, target)
	}
	if err == nil {
		err = fsys.OS{}.SyncFolder(filepath.Dir(folder))
	}
	return errs.Wrap(err, errs.KindInternal, rejoinRemedy, "%s is damaged and cannot be renamed", folder)
}

// checkNoLog returns an error for a folder that holds a log but no identity.
func (st *storage) checkNoLog() error {
	names, err := st.fs.List(filepath.Join(st.folder, "wal"))
	if err == nil && len(names) > 0 {
		return errs.New(errs.KindCorrupt, rejoinRemedy, "%s holds a control log but no identity", st.folder)
	}
	return nil // A folder that cannot be listed does not exist yet; its creation reports any other error.
}

func (st *storage) load(options wal.Options) error {
	var err error
	if st.snaps, err = snap.Open(st.fs, filepath.Join(st.folder, "snap")); err != nil {
		return err
	}
	_, data, damagedSnapshots, err := st.snaps.Load()
	if err != nil {
		return err
	}
	st.damagedSnapshots = damagedSnapshots
	var snapshot *consensus.Snapshot
	if data != nil {
		if snapshot, err = logcodec.DecodeSnapshot(data); err != nil {
			return errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "a state snapshot in %s cannot be decoded", st.folder)
		}
	}
	log, recovery, err := wal.Open(st.fs, filepath.Join(st.folder, "wal"), options)
	if err != nil {
		return err
	}
	st.log, st.truncatedBytes = log, recovery.TruncatedBytes
	if st.identity.LogCreated && len(recovery.Records) == 0 {
		return errs.New(errs.KindCorrupt, rejoinRemedy, "the control log in %s is empty although the replica belongs to a group", st.folder)
	}
	var contiguous bool
	if st.stored, contiguous, err = replay(recovery.Records, snapshot); err != nil {
		return err
	}
	if !contiguous {
		if err := st.appendReset(); err != nil {
			return err
		}
	}
	return st.removeDamaged()
}

// appendReset appends the reset record of the snapshot, with which the log restarts after it. The record is missing
// when the process ended between storing a received snapshot and appending the record. Without it, later entries would
// follow older ones with a gap, or would be dropped together with the older ones that conflict with the snapshot.
func (st *storage) appendReset() error {
	if err := st.log.Append([]wal.Record{{Type: wal.TypeReset, Index: st.stored.Snapshot.Index}}); err != nil {
		return err
	}
	return st.log.Sync()
}

// removeDamaged removes damaged snapshots after load has checked that an older one and the log replace them.
func (st *storage) removeDamaged() error {
	for _, path := range st.damagedSnapshots {
		if err := st.snaps.RemoveDamaged(path); err != nil {
			return err
		}
	}
	return nil
}

// replay combines the records of the log with the newest snapshot. contiguous reports whether the log continues at the
// snapshot without a gap.
func replay(records []wal.Record, snapshot *consensus.Snapshot) (stored consensus.Stored, contiguous bool, err error) {
	stored.Snapshot = snapshot
	var reset uint64
	for _, r := range records {
		switch r.Type {
		case wal.TypeState:
			state, err := logcodec.DecodeState(r.Data)
			if err != nil {
				return stored, false, undecodable(err)
			}
			stored.State = state
		case wal.TypeReset:
			reset, stored.Entries = r.Index, nil
		case wal.TypeEntry:
			e, err := logcodec.DecodeEntry(r.Data)
			if err != nil {
				return stored, false, undecodable(err)
			}
			if stored.Entries, err = insertEntry(stored.Entries, e); err != nil {
				return stored, false, err
			}
		}
	}
	if snapshot == nil {
		snapshot = &consensus.Snapshot{}
	}
	if reset > snapshot.Index {
		return stored, false, errs.New(errs.KindCorrupt, rejoinRemedy, "the state snapshot at entry %d, after which the control log continues, is missing or damaged", reset)
	}
	contiguous = reset == snapshot.Index || slices.ContainsFunc(stored.Entries, func(e consensus.Entry) bool {
		return e.Index == snapshot.Index && e.Term == snapshot.Term
	})
	stored.Entries = afterSnapshot(stored.Entries, snapshot)
	contiguous = contiguous || len(stored.Entries) > 0
	if len(stored.Entries) > 0 && stored.Entries[0].Index != snapshot.Index+1 {
		return stored, false, errs.New(errs.KindCorrupt, rejoinRemedy, "the control log starts with entry %d, but the newest undamaged state snapshot is at entry %d", stored.Entries[0].Index, snapshot.Index)
	}
	return stored, contiguous, nil
}

func undecodable(err error) error {
	return errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "a record of the control log cannot be decoded")
}

// insertEntry adds an entry and removes the entries that it replaces.
func insertEntry(entries []consensus.Entry, e consensus.Entry) ([]consensus.Entry, error) {
	if len(entries) == 0 || e.Index <= entries[0].Index {
		return []consensus.Entry{e}, nil
	}
	next := entries[0].Index + uint64(len(entries))
	if e.Index > next {
		return nil, errs.New(errs.KindCorrupt, rejoinRemedy, "the control log lacks entries %d to %d", next, e.Index-1)
	}
	return append(entries[:e.Index-entries[0].Index], e), nil
}

// afterSnapshot returns the entries that follow a snapshot. If the entry at the index of the snapshot has another term,
// the process ended between storing a received snapshot and appending its reset record; the entries after it conflict
// with the snapshot then.
func afterSnapshot(entries []consensus.Entry, s *consensus.Snapshot) []consensus.Entry {
	for i := range entries {
		if entries[i].Index == s.Index && entries[i].Term != s.Term {
			return nil
		}
		if entries[i].Index > s.Index {
			return entries[i:]
		}
	}
	return nil
}

// createLog makes the membership of a group durable: first the identity, so that a crash cannot leave a log without a
// group, then the first records. While the disk is full, waitForSpace waits and returns whether a write is to be retried.
func (st *storage) createLog(id identity, stored consensus.Stored, waitForSpace func(error) bool) error {
	save := func() error {
		for {
			err := saveIdentity(st.fs, st.folder, id)
			if errs.KindOf(err) != errs.KindDiskFull || !waitForSpace(err) {
				return err
			}
		}
	}
	id.LogCreated = false
	if err := save(); err != nil {
		return err
	}
	records := entryRecords(stored.Entries)
	records = append(records, wal.Record{Type: wal.TypeState, Data: logcodec.EncodeState(stored.State)})
	if err := st.log.Append(records); err != nil {
		return err
	}
	if err := st.log.Sync(); err != nil {
		return err
	}
	id.LogCreated = true
	return save()
}

func entryRecords(entries []consensus.Entry) []wal.Record {
	records := make([]wal.Record, 0, len(entries)+1)
	for i := range entries {
		records = append(records, wal.Record{Type: wal.TypeEntry, Index: entries[i].Index, Data: logcodec.EncodeEntry(entries[i])})
	}
	return records
}
