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
	// cutBytes and damaged tell what was repaired.
	cutBytes int64
	damaged  []string
	created  bool
}

// openStorage reads the data folder. On an empty one it draws a new replica ID; the replica then has to join.
func openStorage(files fsys.FS, s *settings.Settings, segmentBytes int64) (*storage, error) {
	st := &storage{fs: files, folder: controlFolder(s)}
	id, found, err := loadIdentity(files, st.folder)
	if err != nil {
		return nil, err
	}
	if !found {
		st.created = true
		id = identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID()}
		if o := readOptions(s); o.formGroup {
			id.Initial = o.initial
		}
		if err := st.checkUnused(); err != nil {
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
	return st, st.load(wal.Options{SegmentBytes: segmentBytes})
}

// asideSuffix marks a control folder that was set aside.
const asideSuffix = ".damaged"

// setAside renames a damaged control folder. One that was set aside earlier is removed, so that the disk does not
// fill up.
func setAside(folder string) error {
	aside := folder + asideSuffix
	err := os.RemoveAll(aside)
	if err == nil {
		err = os.Rename(folder, aside)
	}
	if err == nil {
		err = fsys.OS{}.SyncFolder(filepath.Dir(folder))
	}
	return errs.Wrap(err, errs.KindInternal, rejoinRemedy, "%s is damaged and cannot be set aside", folder)
}

// checkUnused refuses a folder whose identity is missing beside a log.
func (st *storage) checkUnused() error {
	names, err := st.fs.List(filepath.Join(st.folder, "wal"))
	if err == nil && len(names) > 0 {
		return errs.New(errs.KindCorrupt, rejoinRemedy, "%s holds a log but no identity", st.folder)
	}
	return nil // A folder that cannot be listed does not exist yet; creating it reports any other fault.
}

func (st *storage) load(options wal.Options) error {
	var err error
	if st.snaps, err = snap.Open(st.fs, filepath.Join(st.folder, "snap")); err != nil {
		return err
	}
	_, data, damaged, err := st.snaps.Load()
	if err != nil {
		return err
	}
	st.damaged = damaged
	var snapshot *consensus.Snapshot
	if data != nil {
		if snapshot, err = logcodec.DecodeSnapshot(data); err != nil {
			return errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "a snapshot in %s cannot be decoded", st.folder)
		}
	}
	log, recovery, err := wal.Open(st.fs, filepath.Join(st.folder, "wal"), options)
	if err != nil {
		return err
	}
	st.log, st.cutBytes = log, recovery.TruncatedBytes
	if st.identity.LogCreated && len(recovery.Records) == 0 {
		return errs.New(errs.KindCorrupt, rejoinRemedy, "the log in %s is empty although the replica has taken part in a group", st.folder)
	}
	var connected bool
	if st.stored, connected, err = replay(recovery.Records, snapshot); err != nil {
		return err
	}
	if !connected {
		if err := st.noteSnapshot(); err != nil {
			return err
		}
	}
	return st.removeDamaged()
}

// noteSnapshot lets the log restart after the snapshot. It is missing when the process ended between storing a
// received snapshot and noting it in the log. Later entries would then follow older ones with a gap, or would be
// dropped together with the older ones that conflict with the snapshot.
func (st *storage) noteSnapshot() error {
	if err := st.log.Append([]wal.Record{{Type: wal.TypeReset, Index: st.stored.Snapshot.Index}}); err != nil {
		return err
	}
	return st.log.Sync()
}

// removeDamaged removes damaged snapshots once an older one and the log were found to replace them.
func (st *storage) removeDamaged() error {
	for _, path := range st.damaged {
		if err := st.snaps.RemoveDamaged(path); err != nil {
			return err
		}
	}
	return nil
}

// replay joins the records of the log with the newest snapshot. It reports whether the log reaches the snapshot.
func replay(records []wal.Record, snapshot *consensus.Snapshot) (stored consensus.Stored, connected bool, err error) {
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
			if stored.Entries, err = place(stored.Entries, e); err != nil {
				return stored, false, err
			}
		}
	}
	if snapshot == nil {
		snapshot = &consensus.Snapshot{}
	}
	if reset > snapshot.Index {
		return stored, false, errs.New(errs.KindCorrupt, rejoinRemedy, "the snapshot at entry %d, after which the log continues, is missing or damaged", reset)
	}
	connected = reset == snapshot.Index || slices.ContainsFunc(stored.Entries, func(e consensus.Entry) bool {
		return e.Index == snapshot.Index && e.Term == snapshot.Term
	})
	stored.Entries = afterSnapshot(stored.Entries, snapshot)
	connected = connected || len(stored.Entries) > 0
	if len(stored.Entries) > 0 && stored.Entries[0].Index != snapshot.Index+1 {
		return stored, false, errs.New(errs.KindCorrupt, rejoinRemedy, "the log starts with entry %d, but the newest undamaged snapshot is at entry %d", stored.Entries[0].Index, snapshot.Index)
	}
	return stored, connected, nil
}

func undecodable(err error) error {
	return errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "a record of the control log cannot be decoded")
}

// place adds an entry and drops those that it replaces.
func place(entries []consensus.Entry, e consensus.Entry) ([]consensus.Entry, error) {
	if len(entries) == 0 || e.Index <= entries[0].Index {
		return []consensus.Entry{e}, nil
	}
	next := entries[0].Index + uint64(len(entries))
	if e.Index > next {
		return nil, errs.New(errs.KindCorrupt, rejoinRemedy, "the control log lacks entries %d to %d", next, e.Index-1)
	}
	return append(entries[:e.Index-entries[0].Index], e), nil
}

// afterSnapshot returns the entries that follow a snapshot. If the entry at its position differs from it, the
// process ended between storing a received snapshot and noting it in the log; what follows conflicts then.
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

// beginLog makes the membership of a group durable: first the identity, so that a crash cannot leave a log that
// belongs to no group, then the first records.
func (st *storage) beginLog(id identity, stored consensus.Stored) error {
	id.LogCreated = false
	if err := saveIdentity(st.fs, st.folder, id); err != nil {
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
	return saveIdentity(st.fs, st.folder, id)
}

func entryRecords(entries []consensus.Entry) []wal.Record {
	records := make([]wal.Record, 0, len(entries)+1)
	for i := range entries {
		records = append(records, wal.Record{Type: wal.TypeEntry, Index: entries[i].Index, Data: logcodec.EncodeEntry(entries[i])})
	}
	return records
}
