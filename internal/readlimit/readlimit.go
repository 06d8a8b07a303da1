// Package readlimit bounds the memory that a process uses for messages while it reads them. The senders decide how long
// a message is, so without a common bound a few of them could use up the memory of a VM.
package readlimit

import (
	"io"

	"golang.org/x/sync/semaphore"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Budget is the number of bytes that all readers of one kind of message hold together. It is safe for concurrent use.
type Budget struct {
	bytes *semaphore.Weighted
	// free is the number of bytes of each message that are not counted.
	free int64
}

// NewBudget returns a budget of the given number of bytes. The first free bytes of each message are not counted, so that
// short messages are read even while long ones have used up the budget. They have to be bounded in another way, such as
// by the number of connections.
func NewBudget(bytes, free int64) *Budget {
	return &Budget{bytes: semaphore.NewWeighted(bytes), free: free}
}

const (
	// memoryShare is the part of the memory limit of a VM that one kind of message may use while it is read. Buffers that grow
	// hold up to twice as many bytes as were read.
	memoryShare = 0.125
	// defaultBytes is the budget of a VM without a memory limit.
	defaultBytes = 64 << 20
)

// ForVM returns the budget of a VM with a memory limit in MiB, where 0 is no limit.
func ForVM(memoryLimitMB int, free int64) *Budget {
	if memoryLimitMB == 0 {
		return NewBudget(defaultBytes, free)
	}
	return NewBudget(int64(memoryShare*float64(memoryLimitMB)*(1<<20)), free)
}

// Reader reads one message after the other from a source and charges their bytes to a budget. It is used by one
// goroutine at a time.
type Reader struct {
	source        io.Reader
	budget        *Budget
	read, charged int64
}

// NewReader returns a reader of the source.
func (b *Budget) NewReader(source io.Reader) *Reader { return &Reader{source: source, budget: b} }

// Read implements io.Reader. Once the budget is used up it returns an error of kind overload, and the bytes that were
// just read are lost.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += int64(n)
	if due := r.read - r.budget.free - r.charged; due > 0 {
		if !r.budget.bytes.TryAcquire(due) {
			return 0, errs.New(errs.KindOverload, "let the senders send shorter messages, or raise the memory limit of this VM", "the messages that are being read use all memory for them; this one has more than %d bytes", r.read)
		}
		r.charged += due
	}
	return n, err
}

// Release returns the bytes of the current message to the budget. The next byte that is read begins another message.
func (r *Reader) Release() {
	if r.charged > 0 {
		r.budget.bytes.Release(r.charged)
	}
	r.read, r.charged = 0, 0
}
