package state

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// maxChangeIDs is how many change IDs keep their results: about one day at 27,000 changes a day. A resend of an
	// older change is refused as a conflict, since its based-on revision is no longer in force; it is never applied
	// a second time.
	maxChangeIDs = 30_000
	// maxHistoryEntries is how many accepted changes the history keeps.
	maxHistoryEntries = 4_096
	// maxEntriesPerAnswer limits one answer, so that it fits into one message between VMs.
	maxEntriesPerAnswer = 500
	// maxFileRevisions and maxFileBytes limit the revisions whose files are kept.
	maxFileRevisions = 32
	maxFileBytes     = 8 << 20
	// maxChangeIDBytes, maxTextBytes and maxSummaryLines limit one entry of the history.
	maxChangeIDBytes = 64
	maxTextBytes     = 256
	maxSummaryLines  = 16
	// maxPeriod limits the seat lease and the retention of claims.
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
	// order lists the change IDs, oldest first.
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

// wellFormed checks the values that the state itself uses. Its limits are far above those of package config.
func wellFormed(c ApplyConfig) bool {
	return c.ChangeID != "" && len(c.ChangeID) <= maxChangeIDBytes &&
		c.Seats >= 1 && c.Seats <= maxSeatTable &&
		c.SeatLease > 0 && c.SeatLease <= maxPeriod &&
		c.ClaimRetention > 0 && c.ClaimRetention <= maxPeriod
}

func (h *history) accept(at time.Time, c ApplyConfig, revision model.Revision) {
	summary := slices.Clone(c.Summary[:min(len(c.Summary), maxSummaryLines)])
	for i := range summary {
		summary[i] = truncate(summary[i], maxTextBytes)
	}
	h.entries = append(h.entries, HistoryEntry{
		Revision: revision, BasedOn: c.BasedOn, ChangeID: c.ChangeID, At: at,
		Author: truncate(c.Author, maxTextBytes), Comment: truncate(c.Comment, maxTextBytes), Summary: summary,
	})
	if len(h.entries) > maxHistoryEntries {
		h.entries = slices.Delete(h.entries, 0, len(h.entries)-maxHistoryEntries)
	}
	h.files = append(h.files, storedFiles{revision, h.shareTexts(c.Files)})
	for len(h.files) > maxFileRevisions || (len(h.files) > 1 && h.fileBytes() > maxFileBytes) {
		h.files = slices.Delete(h.files, 0, 1)
	}
}

// shareTexts replaces texts that are equal to those of the previous revision by the same strings, so that unchanged
// files are held in memory once.
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
	if len(h.order) > maxChangeIDs {
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
	if limit <= 0 || limit > maxEntriesPerAnswer {
		limit = maxEntriesPerAnswer
	}
	for i := len(h.entries) - 1; i >= 0 && len(a.Entries) < limit; i-- {
		if q.Before == 0 || h.entries[i].Revision < q.Before {
			a.Entries = append(a.Entries, h.entries[i])
		}
	}
	return a
}

// digestChange returns a digest of the operator's choices: the files and the revision that the change is based on.
// Author, comment and summary may differ between two sends of the same change.
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
