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
	// persistedEvent reports a write and all before it.
	persistedEvent struct{ id consensus.WriteID }
	// snapshotEvent reports an own snapshot; saved is false when the disk was full.
	snapshotEvent struct {
		snapshot *consensus.Snapshot
		saved    bool
	}
	// diskFullEvent reports that space for the next segment is missing, or is there again.
	diskFullEvent struct{ err error }
	// diskFailedEvent reports that nothing will be durable any more.
	diskFailedEvent struct{}
	// begunEvent reports that the membership of a group is durable.
	begunEvent struct {
		identity identity
		stored   consensus.Stored
	}
)

// The tasks of the disk goroutine, besides *consensus.Write.
type (
	snapshotTask struct{ snapshot *consensus.Snapshot }
	reserveTask  struct{}
	beginTask    struct {
		identity identity
		stored   consensus.Stored
	}
)

// disk does all writes of the log on one goroutine. What is queued while a sync runs shares the next one.
type disk struct {
	storage *storage
	post    func(kernel.Event)
	fatal   func(error)
	synced  func(time.Duration)

	mu     sync.Mutex
	queue  []any
	closed bool
	// quit is closed with the queue, and ends a wait for space.
	quit   chan struct{}
	signal chan struct{}
	done   chan struct{}

	// The following fields belong to the disk goroutine.
	unsynced consensus.WriteID
	begun    time.Time
	full     bool
	failed   bool
}

func startDisk(st *storage, post func(kernel.Event), fatal func(error), synced func(time.Duration)) *disk {
	d := &disk{storage: st, post: post, fatal: fatal, synced: synced, signal: make(chan struct{}, 1), done: make(chan struct{}), quit: make(chan struct{})}
	st.log.SetWaitForSpace(d.waitForSpace)
	go d.run()
	return d
}

// enqueue adds a task without waiting. The queue is bounded by what the consensus code has in flight.
func (d *disk) enqueue(task any) {
	d.mu.Lock()
	d.queue = append(d.queue, task)
	d.mu.Unlock()
	d.wake()
}

func (d *disk) wake() {
	select {
	case d.signal <- struct{}{}:
	default: // The goroutine is woken already and takes the whole queue.
	}
}

// close finishes the queue and closes the files.
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
			_ = d.storage.log.Close() // Everything that matters is synced.
			return
		}
	}
}

// fail ends the process after an error. Later tasks are dropped, so nothing is acknowledged any more.
func (d *disk) fail(err error) {
	if err != nil {
		d.failed = true
		d.post(diskFailedEvent{})
		d.fatal(err)
	}
}

func (d *disk) process(batch []any) error {
	for _, task := range batch {
		if err := d.do(task); err != nil {
			return err
		}
	}
	if err := d.flush(); err != nil {
		return err
	}
	return d.reserve()
}

func (d *disk) do(task any) error {
	if w, ok := task.(*consensus.Write); ok {
		return d.write(w)
	}
	// Writes before the task must not wait for it.
	if err := d.flush(); err != nil {
		return err
	}
	switch x := task.(type) {
	case snapshotTask:
		return d.saveOwn(x.snapshot)
	case beginTask:
		if err := d.storage.beginLog(x.identity, x.stored); err != nil {
			return err
		}
		x.identity.LogCreated = true
		d.post(begunEvent(x))
	}
	return nil
}

// write appends a write; flush syncs it.
func (d *disk) write(w *consensus.Write) error {
	if w.Snapshot != nil {
		// The snapshot file is durable at once; what was written before it has to be so earlier.
		if err := d.flush(); err != nil {
			return err
		}
	}
	if d.unsynced == 0 {
		d.begun = time.Now()
	}
	var records []wal.Record
	if s := w.Snapshot; s != nil {
		if err := d.saveWaiting(s); err != nil {
			return err
		}
		records = append(records, wal.Record{Type: wal.TypeReset, Index: s.Index})
	}
	records = append(records, entryRecords(w.Entries)...)
	if w.State != nil {
		records = append(records, wal.Record{Type: wal.TypeState, Data: logcodec.EncodeState(*w.State)})
	}
	d.unsynced = w.ID
	return d.storage.log.Append(records)
}

func (d *disk) flush() error {
	if d.unsynced == 0 {
		return nil
	}
	if err := d.storage.log.Sync(); err != nil {
		return err
	}
	d.synced(time.Since(d.begun))
	d.post(persistedEvent{d.unsynced})
	d.unsynced = 0
	return nil
}

// saveOwn stores a snapshot and removes log segments that no kept snapshot needs.
func (d *disk) saveOwn(s *consensus.Snapshot) error {
	err := d.storage.snaps.Save(s.Index, logcodec.EncodeSnapshot(s))
	if errs.KindOf(err) == errs.KindDiskFull {
		d.post(snapshotEvent{snapshot: s})
		return nil
	}
	if err != nil {
		return err
	}
	d.post(snapshotEvent{snapshot: s, saved: true})
	return d.storage.log.Prune(d.storage.snaps.Oldest())
}

// spaceRetry is the pause before a write is tried again that a full disk refused.
const spaceRetry = 200 * time.Millisecond

// waitForSpace reports a full disk, and whether the write is to be tried again after a pause.
func (d *disk) waitForSpace(err error) bool {
	if !d.full {
		d.full = true
		d.post(diskFullEvent{errs.Wrap(err, errs.KindDiskFull, "free space in the data folder", "the disk of the control log refuses writes")})
	}
	t := time.NewTimer(spaceRetry)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.quit:
		return false
	}
}

// saveWaiting stores a received snapshot, without which the log cannot go on, and waits while the disk is full.
func (d *disk) saveWaiting(s *consensus.Snapshot) error {
	for {
		err := d.storage.snaps.Save(s.Index, logcodec.EncodeSnapshot(s))
		if errs.KindOf(err) != errs.KindDiskFull || !d.waitForSpace(err) {
			return err
		}
	}
}

// reserve allocates the next segment ahead of its use and reports a change of the result.
func (d *disk) reserve() error {
	err := d.storage.log.Reserve()
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
