package state

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// changesKept is how many change IDs keep their results: about one day at 27,000 changes a day. A resend
	// of an older one is refused as a conflict, since its based-on revision no longer holds; it is never
	// applied a second time.
	changesKept = 30_000
	// entriesKept is how many accepted changes the history lists.
	entriesKept = 4_096
	// maxEntriesAnswered bounds one answer, so that it fits into one message between VMs.
	maxEntriesAnswered = 500
	// filesKept and fileBytesKept bound the revisions whose files are kept.
	filesKept     = 32
	fileBytesKept = 8 << 20
	// maxChangeIDBytes, maxTextBytes and maxSummaryLines bound what one entry of the history holds.
	maxChangeIDBytes = 64
	maxTextBytes     = 256
	maxSummaryLines  = 16
	// maxPeriod bounds the seat lease and the retention of claims.
	maxPeriod = 366 * 24 * time.Hour
)

// changeDigest identifies the content of a change.
type changeDigest [16]byte

type changeRecord struct {
	id       string
	digest   changeDigest
	outcome  ChangeOutcome
	revision model.Revision
}

type storedFiles struct {
	revision model.Revision
	files    model.ConfigFiles
}

// history holds accepted changes and the results of change IDs.
type history struct {
	entries []HistoryEntry
	files   []storedFiles
	changes map[string]changeRecord
	// order lists the change IDs from the oldest on.
	order []string
}

func newHistory() history { return history{changes: map[string]changeRecord{}} }

func (h *history) inForce() model.Revision {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].Revision
}

func (h *history) apply(at time.Time, c ApplyConfig) ChangeResult {
	if !wellFormed(c) {
		return ChangeResult{Outcome: ChangeInvalid, Revision: h.inForce()}
	}
	digest := digestChange(c)
	if r, ok := h.changes[c.ChangeID]; ok {
		if r.digest != digest {
			return ChangeResult{Outcome: ChangeIDReused, Revision: r.revision}
		}
		return ChangeResult{Outcome: r.outcome, Revision: r.revision, Repeated: true}
	}
	r := changeRecord{id: c.ChangeID, digest: digest, outcome: ChangeConflict, revision: h.inForce()}
	if c.BasedOn == r.revision {
		r.outcome, r.revision = ChangeAccepted, r.revision+1
		h.accept(at, c, r.revision)
	}
	h.record(r)
	return ChangeResult{Outcome: r.outcome, Revision: r.revision}
}

// wellFormed bounds what the state itself uses, far above what package config allows.
func wellFormed(c ApplyConfig) bool {
	return c.ChangeID != "" && len(c.ChangeID) <= maxChangeIDBytes &&
		c.Seats >= 1 && c.Seats <= maxSeatTable &&
		c.SeatLease > 0 && c.SeatLease <= maxPeriod &&
		c.ClaimRetention > 0 && c.ClaimRetention <= maxPeriod
}

func (h *history) accept(at time.Time, c ApplyConfig, revision model.Revision) {
	summary := slices.Clone(c.Summary[:min(len(c.Summary), maxSummaryLines)])
	for i := range summary {
		summary[i] = cut(summary[i], maxTextBytes)
	}
	h.entries = append(h.entries, HistoryEntry{
		Revision: revision, BasedOn: c.BasedOn, ChangeID: c.ChangeID, At: at,
		Author: cut(c.Author, maxTextBytes), Comment: cut(c.Comment, maxTextBytes), Summary: summary,
	})
	if len(h.entries) > entriesKept {
		h.entries = slices.Delete(h.entries, 0, len(h.entries)-entriesKept)
	}
	h.files = append(h.files, storedFiles{revision, h.shareTexts(c.Files)})
	for len(h.files) > filesKept || (len(h.files) > 1 && h.fileBytes() > fileBytesKept) {
		h.files = slices.Delete(h.files, 0, 1)
	}
}

// shareTexts replaces texts that equal those of the revision before by the same strings, so that unchanged
// files take memory once.
func (h *history) shareTexts(files model.ConfigFiles) model.ConfigFiles {
	out := model.ConfigFiles{Base: files.Base, Overlays: make(map[model.SiteName]string, len(files.Overlays))}
	var before model.ConfigFiles
	if len(h.files) > 0 {
		before = h.files[len(h.files)-1].files
	}
	if before.Base == files.Base {
		out.Base = before.Base
	}
	for site, text := range files.Overlays {
		if old, ok := before.Overlays[site]; ok && old == text {
			text = old
		}
		out.Overlays[site] = text
	}
	return out
}

func (h *history) fileBytes() int {
	n := 0
	for _, f := range h.files {
		n += len(f.files.Base)
		for _, text := range f.files.Overlays {
			n += len(text)
		}
	}
	return n
}

func (h *history) record(r changeRecord) {
	h.changes[r.id] = r
	h.order = append(h.order, r.id)
	if len(h.order) > changesKept {
		delete(h.changes, h.order[0])
		h.order = slices.Delete(h.order, 0, 1)
	}
}

func (h *history) change(id string) ChangeResult {
	r, ok := h.changes[id]
	if !ok {
		return ChangeResult{Outcome: ChangeUnknown, Revision: h.inForce()}
	}
	return ChangeResult{Outcome: r.outcome, Revision: r.revision, Repeated: true}
}

func (h *history) get(revision model.Revision) ConfigAnswer {
	a := ConfigAnswer{InForce: h.inForce()}
	if revision == 0 {
		revision = a.InForce
	}
	for _, f := range h.files {
		if f.revision == revision {
			a.Found, a.Files = true, f.files
		}
	}
	for _, e := range h.entries {
		if e.Revision == revision {
			a.Entry = e
		}
	}
	return a
}

func (h *history) list(q GetHistory) HistoryAnswer {
	a := HistoryAnswer{InForce: h.inForce()}
	limit := q.Limit
	if limit <= 0 || limit > maxEntriesAnswered {
		limit = maxEntriesAnswered
	}
	for i := len(h.entries) - 1; i >= 0 && len(a.Entries) < limit; i-- {
		if q.Before == 0 || h.entries[i].Revision < q.Before {
			a.Entries = append(a.Entries, h.entries[i])
		}
	}
	return a
}

// digestChange covers what the operator decided: the revision it is based on and the files. Author, comment and
// summary may differ between two sends of the same change.
func digestChange(c ApplyConfig) changeDigest {
	d := sha256.New()
	var n [8]byte
	write := func(text string) {
		binary.LittleEndian.PutUint64(n[:], uint64(len(text)))
		_, _ = d.Write(n[:])         // A hash never fails.
		_, _ = d.Write([]byte(text)) // A hash never fails.
	}
	binary.LittleEndian.PutUint64(n[:], uint64(c.BasedOn))
	_, _ = d.Write(n[:]) // A hash never fails.
	write(c.Files.Base)
	for _, site := range sortedKeys(c.Files.Overlays) {
		write(string(site))
		write(c.Files.Overlays[site])
	}
	return changeDigest(d.Sum(nil)[:16])
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
