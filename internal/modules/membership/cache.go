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
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

const (
	// cacheName is the file in the data folder that holds the leaves and the number of entry VMs.
	cacheName = "leaves"
	// cacheInterval bounds how often it is written. Leaves that are missing in it announce themselves within a few
	// seconds.
	cacheInterval = time.Second
	// checksumBytes is the size of the checksum before the leaves.
	checksumBytes = 8
)

// cache keeps the leaves of a control VM and the number of entry VMs on its disk, so that entry VMs learn of them at once
// when all VMs have been restarted. It is a hint: leaves that are gone lapse, and a damaged file is left aside.
type cache struct {
	files  fsys.FS
	path   string
	logger log.Logger
	// next holds what is to be written next.
	next chan memory
}

// memory is what a control VM remembers over a restart.
type memory struct {
	leaves []leaves.Leaf
	// entryVMs is the number of entry VMs, or 0 while it is unknown.
	entryVMs int
}

func newCache(files fsys.FS, folder string, logger log.Logger) *cache {
	return &cache{files: files, path: filepath.Join(folder, cacheName), logger: logger, next: make(chan memory, 1)}
}

// offer hands over what is to be written, and reports false while the writing goroutine is busy.
func (c *cache) offer(x memory) bool {
	select {
	case c.next <- x:
		return true
	default:
		return false
	}
}

// run writes what is offered until the context ends.
func (c *cache) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-c.next:
			if err := c.save(x); err != nil {
				_ = level.Warn(c.logger).Log("msg", "leaves not kept on disk; after a restart they are known once they announce themselves", "err", err)
			}
		}
		if kernel.Wait(ctx, cacheInterval) != nil {
			return
		}
	}
}

func (c *cache) save(kept memory) error {
	x := &membershippb.WatchReply{EntryVms: uint32(kept.entryVMs)}
	for i := range kept.leaves {
		x.Leaves = append(x.Leaves, encodeLeaf(&kept.leaves[i]))
	}
	body, err := proto.Marshal(x)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(body)), xxhash.Sum64(body))
	return fsys.WriteDurably(c.files, c.path, append(data, body...))
}

// load returns what is on the disk. Nothing is no error.
func (c *cache) load() (memory, error) {
	data, err := fsys.ReadAll(c.files, c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return memory{}, nil
	}
	if err != nil {
		return memory{}, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return memory{}, errs.New(errs.KindCorrupt, "none is needed; the file is written again", "%s is damaged", c.path)
	}
	n, err := decodeNews(data[checksumBytes:])
	return memory{n.leaves, n.entryVMs}, err
}

// recall takes over the leaves that were known before a restart. They count as heard from here, and lapse unless they are
// heard from again somewhere.
func (m *Module) recall(now time.Time, known memory) {
	for _, l := range known.leaves {
		l.Origin = m.self
		m.table.Merge(now, m.self, l)
	}
	m.recalledVMs = known.entryVMs
	if len(known.leaves) > 0 {
		_ = level.Info(m.logger).Log("msg", "leaves recalled from disk", "leaves", len(known.leaves), "entry_vms", known.entryVMs)
	}
}

// knownEntryVMs returns the number of entry VMs on a control VM, or 0 while it is unknown. For some time after a restart it is
// the one from before: entry VMs that are restarted as well would otherwise take larger parts of what they share.
func (m *Module) knownEntryVMs(now time.Time) int {
	if now.Sub(m.started) > countAfter {
		return len(m.entrySeen)
	}
	return m.recalledVMs
}
