package controllog

import (
	"sync"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/wal"
)

// The events that the disk goroutine posts.
type (
	// persistedEvent reports that a write and all writes before it are durable.
	persistedEvent struct{ id consensus.WriteID }
	// snapshotEvent reports the result of storing a local snapshot; saved is false when the disk was full.
	snapshotEvent struct {
		snapshot *consensus.Snapshot
		saved    bool
	}
	// diskFullEvent reports that the disk is full, or with a nil error that it has space again.
	diskFullEvent struct{ err error }
	// diskFailedEvent reports that no further write will be durable.
	diskFailedEvent struct{}
	// groupStoredEvent reports that the membership of a group is durable.
	groupStoredEvent struct {
		identity identity
		stored   consensus.Stored
	}
)

// The tasks of the disk goroutine, in addition to *consensus.Write.
type (
	snapshotTask   struct{ snapshot *consensus.Snapshot }
	reserveTask    struct{}
	storeGroupTask struct {
		identity identity
		stored   consensus.Stored
	}
)

// disk makes all writes of the log on one goroutine. Writes that are queued during a sync share the next sync.
type disk struct {
	storage *storage
	post    func(kernel.Event)
	fatal   func(error)
	// observeSync is called after each sync with the time since the first write that the sync makes durable.
	observeSync func(time.Duration)

	mu     sync.Mutex
	queue  []any
	closed bool
	// quit is closed when the queue is closed, and ends a wait for space.
	quit   chan struct{}
	signal chan struct{}
	done   chan struct{}

	// The following fields are used on the disk goroutine only.
	unsynced      consensus.WriteID
	unsyncedSince time.Time
	full          bool
	failed        bool
}

func startDisk(st *storage, post func(kernel.Event), fatal func(error), observeSync func(time.Duration)) *disk {
	d := &disk{storage: st, post: post, fatal: fatal, observeSync: observeSync, signal: make(chan struct{}, 1), done: make(chan struct{}), quit: make(chan struct{})}
	st.log.SetWaitForSpace(d.waitForSpace)
	go d.run()
	return d
}

// enqueue adds a task without waiting. The queue stays short because package consensus limits the entries in flight.
func (d *disk) enqueue(task any) {
	d.mu.Lock()
	d.queue = append(d.queue, task)
	d.mu.Unlock()
	d.wake()
}

func (d *disk) wake() {
	select {
	case d.signal <- struct{}{}:
	default: // A signal is pending already, and the goroutine processes the whole queue.
	}
}

// close processes the remaining queue and closes the files.
func (d *disk) close() {
	d.mu.Lock()
	if !d.closed {
		d.closed = true
		close(d.quit)
	}
	d.mu.Unlock()
	d.wake()
	<-d.done
}

func (d *disk) run() {
	defer close(d.done)
	for range d.signal {
		d.mu.Lock()
		batch, closed := d.queue, d.closed
		d.queue = nil
		d.mu.Unlock()
		if !d.failed {
			d.fail(d.process(batch))
		}
		if closed {
			_ = d.storage.log.Close() // All acknowledged writes are synced.
			return
		}
	}
}

// fail ends the process after an error. Later tasks are dropped, so no further write is acknowledged.
func (d *disk) fail(err error) {
	if err != nil {
		d.failed = true
		d.post(diskFailedEvent{})
		d.fatal(err)
	}
}

func (d *disk) process(batch []any) error {
	for _, task := range batch {
		if err := d.runTask(task); err != nil {
			return err
		}
	}
	if err := d.flush(); err != nil {
		return err
	}
	return d.reserve()
}

func (d *disk) runTask(task any) error {
	if w, ok := task.(*consensus.Write); ok {
		return d.write(w)
	}
	// Sync the writes before the task first, so that they do not wait for it.
	if err := d.flush(); err != nil {
		return err
	}
	switch x := task.(type) {
	case snapshotTask:
		return d.saveLocalSnapshot(x.snapshot)
	case storeGroupTask:
		if err := d.storage.createLog(x.identity, x.stored, d.waitForSpace); err != nil {
			return err
		}
		x.identity.LogCreated = true
		d.post(groupStoredEvent(x))
	}
	return nil
}

// write appends a write to the log without syncing it; flush does.
func (d *disk) write(w *consensus.Write) error {
	if w.Snapshot != nil {
		// The snapshot file is durable immediately, so the writes before it have to be durable first.
		if err := d.flush(); err != nil {
			return err
		}
	}
	if d.unsynced == 0 {
		d.unsyncedSince = time.Now()
	}
	var records []wal.Record
	if s := w.Snapshot; s != nil {
		if err := d.saveReceivedSnapshot(s); err != nil {
			return err
		}
		records = append(records, wal.Record{Type: wal.TypeReset, Index: s.Index})
	}
	records = append(records, entryRecords(w.Entries)...)
	if w.State != nil {
		records = append(records, wal.Record{Type: wal.TypeState, Data: logcodec.EncodeState(*w.State)})
	}
	d.unsynced = w.ID
	if err := d.storage.log.Append(records); err != nil || w.Snapshot == nil {
		return err
	}
	// A replica that gets snapshots from its leader may take none itself, so the log is pruned here as well.
	return d.prune(d.storage.snaps.Oldest())
}

// prune removes log segments up to an index. Those that a full disk keeps are removed the next time.
func (d *disk) prune(index uint64) error {
	if err := d.storage.log.Prune(index); errs.KindOf(err) != errs.KindDiskFull {
		return err
	}
	return nil
}

func (d *disk) flush() error {
	if d.unsynced == 0 {
		return nil
	}
	if err := d.storage.log.Sync(); err != nil {
		return err
	}
	d.observeSync(time.Since(d.unsyncedSince))
	d.post(persistedEvent{d.unsynced})
	d.unsynced = 0
	return nil
}

// saveLocalSnapshot stores a snapshot of the local state machine and removes the log segments that no kept snapshot
// needs.
func (d *disk) saveLocalSnapshot(s *consensus.Snapshot) error {
	err := d.saveSnapshot(s.Index, logcodec.EncodeSnapshot(s))
	if errs.KindOf(err) == errs.KindDiskFull {
		d.post(snapshotEvent{snapshot: s})
		return nil
	}
	if err != nil {
		return err
	}
	d.post(snapshotEvent{snapshot: s, saved: true})
	return d.prune(d.storage.snaps.Oldest())
}

// saveSnapshot stores a snapshot. On a full disk it first frees what an earlier snapshot replaces.
func (d *disk) saveSnapshot(index uint64, data []byte) error {
	err := d.storage.snaps.Save(index, data)
	if errs.KindOf(err) == errs.KindDiskFull && d.freeSpace() {
		err = d.storage.snaps.Save(index, data)
	}
	return err
}

// diskFullRetryInterval is the pause before a write that a full disk refused is retried.
const diskFullRetryInterval = 200 * time.Millisecond

// waitForSpace reports a full disk to the control goroutine and waits. It returns whether the write is to be retried.
func (d *disk) waitForSpace(err error) bool {
	if !d.full {
		d.full = true
		d.post(diskFullEvent{errs.Wrap(err, errs.KindDiskFull, "free space in the data folder", "the disk of the control log refuses writes")})
	}
	t := time.NewTimer(diskFullRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.quit:
		return false
	}
}

// saveReceivedSnapshot stores a received snapshot and waits while the disk is full, since the log cannot continue
// without the snapshot.
func (d *disk) saveReceivedSnapshot(s *consensus.Snapshot) error {
	data := logcodec.EncodeSnapshot(s)
	for {
		err := d.saveSnapshot(s.Index, data)
		if errs.KindOf(err) != errs.KindDiskFull || !d.waitForSpace(err) {
			return err
		}
	}
}

// freeSpace removes the older snapshot and the part of the log that the newest one replaces. It reports whether a segment was
// removed. The newest snapshot has no substitute then until the next one is stored; a damaged one makes the VM join again.
func (d *disk) freeSpace() bool {
	before := d.storage.log.Segments()
	index, err := d.storage.snaps.KeepNewest()
	if err == nil {
		err = d.storage.log.Prune(index)
	}
	// A disk that refuses removals while it is full is reported by the write that needs the space.
	return err == nil && d.storage.log.Segments() < before
}

// reserve allocates the next segment before it is needed and reports when the disk becomes full or has space again.
func (d *disk) reserve() error {
	err := d.storage.log.Reserve()
	if errs.KindOf(err) == errs.KindDiskFull && d.freeSpace() {
		err = d.storage.log.Reserve()
	}
	full := errs.KindOf(err) == errs.KindDiskFull
	if err != nil && !full {
		return err
	}
	if full != d.full {
		d.full = full
		d.post(diskFullEvent{err})
	}
	return nil
}
