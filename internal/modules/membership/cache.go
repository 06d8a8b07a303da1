package membership

import (
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

const (
	// cacheName is the file in the data folder that holds the leaves and the number of entry VMs.
	cacheName = "leaves"
	// cacheInterval is the shortest time between two writes of the file. Leaves that are missing in it send a heartbeat
	// within a few seconds.
	cacheInterval = time.Second
	// storeTimeout limits the wait for the disk before the departure of a leaf is acknowledged. A leaf waits for a second.
	storeTimeout = 300 * time.Millisecond
	// checksumBytes is the size of the checksum at the start of the file.
	checksumBytes = 8
)

// cache stores the leaves of a control VM, the number of entry VMs and the owners of allowances on its disk, so that entry VMs receive them
// immediately after a restart of all VMs. The file is only a hint: leaves that no longer exist expire, and a damaged
// file is ignored.
type cache struct {
	files  fsys.FS
	path   string
	logger log.Logger
	// next passes the state to be written to the writing goroutine. It holds at most one state.
	next chan cachedState
	// urgent requests that the state at this time is written at once. The result is sent on the channel that it carries.
	urgent chan chan error
	// current returns the state at this time.
	current func(context.Context) (cachedState, error)
}

// cachedState is the state that a control VM keeps across a restart.
type cachedState struct {
	leaves []leaves.Leaf
	// entryVMs is the number of entry VMs, or 0 while it is unknown.
	entryVMs int
	// owners holds the owners of allowances. It is empty while there are none.
	owners ownerLists
}

func newCache(files fsys.FS, folder string, logger log.Logger) *cache {
	return &cache{files: files, path: filepath.Join(folder, cacheName), logger: logger, next: make(chan cachedState, 1), urgent: make(chan chan error)}
}

// enqueue passes a state to the writing goroutine. It returns false if that goroutine is busy.
func (c *cache) enqueue(next cachedState) bool {
	select {
	case c.next <- next:
		return true
	default:
		return false
	}
}

// writeNow returns once the state at this time, or a later one, is on the disk.
func (c *cache) writeNow(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case c.urgent <- done:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes the queued states until the context ends.
func (c *cache) run(ctx context.Context) {
	next := c.next
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause:
			next = c.next
		case state := <-next:
			if err := c.save(state); err != nil {
				_ = level.Warn(c.logger).Log("msg", "leaves not stored on disk; after a restart leaves are missing until they send a heartbeat", "err", err)
			}
			next, pause = nil, time.After(cacheInterval)
		case done := <-c.urgent:
			c.saveUrgent(ctx, done)
		}
	}
}

// saveUrgent writes the state at this time for all that have requested it.
func (c *cache) saveUrgent(ctx context.Context, done chan error) {
	waiting := []chan error{done}
	for more := true; more; {
		select {
		case done := <-c.urgent:
			waiting = append(waiting, done)
		default:
			more = false
		}
	}
	state, err := c.current(ctx)
	if err == nil {
		err = c.save(state)
	}
	for _, done := range waiting {
		done <- err
	}
}

func (c *cache) save(stored cachedState) error {
	reply := &membershippb.WatchReply{EntryVms: uint32(stored.entryVMs)}
	if len(stored.owners) > 0 {
		reply.Owners = stored.owners.toProto(stored.owners.digest())
	}
	for i := range stored.leaves {
		reply.Leaves = append(reply.Leaves, leafToProto(&stored.leaves[i]))
	}
	body, err := proto.Marshal(reply)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(body)), xxhash.Sum64(body))
	return fsys.WriteDurably(c.files, c.path, append(data, body...))
}

// load returns the stored state. A missing file is not an error.
func (c *cache) load() (cachedState, error) {
	data, err := fsys.ReadAll(c.files, c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return cachedState{}, nil
	}
	if err != nil {
		return cachedState{}, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return cachedState{}, errs.New(errs.KindCorrupt, "no action is needed; the file is written again", "%s is damaged", c.path)
	}
	u, err := decodeUpdate(data[checksumBytes:])
	if len(u.invalid) > 0 {
		_ = level.Warn(c.logger).Log("msg", "leaves stored on disk ignored because they are invalid", "records", len(u.invalid), "err", u.invalid[0])
	}
	return cachedState{u.leaves, u.entryVMs, u.owners}, err
}

// currentState returns the state that is kept across a restart.
func (m *Module) currentState(ctx context.Context) (state cachedState, err error) {
	err = m.control.Do(ctx, func(now time.Time) {
		list, _ := m.table.ChangesSince(0)
		state = cachedState{list, m.entryVMCount(now), m.owners.lists}
	})
	return state, err
}

// storeDeparture waits until the disk holds that a leaf has left, so that the leaf is not used again after a restart. A disk that
// fails or is slow delays the acknowledgement to the leaf by storeTimeout at most, since other control VMs store it too.
func (m *Module) storeDeparture(ctx context.Context, id string) {
	if m.cache == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.cache.writeNow(ctx); err != nil {
		_ = level.Warn(m.logger).Log("msg", "departure of a leaf acknowledged before it is on the disk; after a restart of all control VMs the leaf may be listed until it expires", "leaf", id, "err", err)
	}
}

// restore adds the leaves that were stored before a restart. They count as if this VM had just received their
// heartbeats, and expire unless a control VM receives another one.
func (m *Module) restore(now time.Time, stored cachedState) {
	for _, l := range stored.leaves {
		l.Origin = m.self
		m.table.Merge(now, m.self, l)
	}
	m.restoredEntryVMs = stored.entryVMs
	m.restoreOwners(stored.owners)
	if len(stored.leaves) > 0 {
		_ = level.Info(m.logger).Log("msg", "leaves restored from disk", "leaves", len(stored.leaves), "entry_vms", stored.entryVMs)
	}
}

// entryVMCount returns the number of entry VMs on a control VM, or 0 while it is unknown. For some time after a restart
// it is the number from before: entry VMs that are restarted as well would otherwise use larger shares of connections
// and budgets.
func (m *Module) entryVMCount(now time.Time) int {
	if now.Sub(m.started) > entryCountDelay {
		return len(m.entryLastWatch)
	}
	return m.restoredEntryVMs
}
