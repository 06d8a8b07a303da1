package state

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// maxClaims and maxClaimResultBytes limit the memory that claims take on a control VM: about 150 MB of records
	// and 64 MiB of results. Beyond them new orders are refused; removing a claim early could let its order run twice.
	maxClaims           = 500_000
	maxClaimResultBytes = 64 << 20
	// MaxResultBytes limits the recorded result of one order, which has to fit into one log entry.
	MaxResultBytes = 512 << 10
	// maxKeyAhead is how far the time of a key may be ahead of the log's time. The claim on a key from the far
	// future would be kept far longer than the retention.
	maxKeyAhead = 5 * time.Minute
	// claimDeadlineAllowance is how long after the deadline of an order a claim is still granted, to allow for clock
	// skew between the holder and the leader. The holder checks the deadline by its own clock.
	claimDeadlineAllowance = 30 * time.Second
	// maxReleases limits how often one order may be claimed again after a release.
	maxReleases = 16
	// defaultClaimRetention applies before the first configuration.
	defaultClaimRetention = 24 * time.Hour
)

// OrderKeyTime returns the creation time in an order's key, or an error when the key is not a UUIDv7 in its
// canonical form. Other spellings of the same UUID are refused because they would be different keys.
func OrderKeyTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.String() != key {
		return time.Time{}, errs.New(errs.KindInvalid, "create a new UUIDv7 for each order and write it in lower case with dashes",
			"order key %q is not a UUIDv7", key)
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), nil
}

// claimRecord is a claim with the attempts that released it. The claim is never granted to these attempts again:
// nobody waits for the answer to a claim that arrives after its release, so a claim granted then would stay held.
type claimRecord struct {
	model.Claim
	released []model.AttemptID
}

// claims holds the claims by order. floor is the time up to which claims may have been pruned: no claim on an order
// whose key has this time or an earlier one is ever granted, even when the retention is raised later.
type claims struct {
	byOrder     map[model.OrderID]*claimRecord
	byKeyTime   claimHeap
	floor       time.Time
	retention   time.Duration
	resultBytes int
}

func newClaims() claims {
	return claims{byOrder: map[model.OrderID]*claimRecord{}, retention: defaultClaimRetention}
}

// claim grants the claim on an order, unless the order may have run, may be running or is no longer valid, or no more
// claims can be kept. Every decision but ClaimGranted grants nothing.
func (c *claims) claim(at time.Time, r ClaimOrder) model.ClaimResult {
	c.pruneExpired(at)
	created, err := OrderKeyTime(r.Order.Key)
	if err != nil || r.Order.Service == "" || len(r.Order.Service) > maxTextBytes || created.After(at.Add(maxKeyAhead)) ||
		r.Attempt == "" || len(r.Attempt) > maxTextBytes || !validHolder(r.Holder) {
		return model.ClaimResult{Decision: ClaimInvalid, Claim: model.Claim{Order: r.Order}}
	}
	if !created.After(c.floor) {
		return model.ClaimResult{Decision: model.ClaimExpired, Claim: model.Claim{Order: r.Order}}
	}
	old, exists := c.byOrder[r.Order]
	if exists {
		if d, decided := decideExisting(old, r); decided {
			return model.ClaimResult{Decision: d, Claim: cloneClaim(old)}
		}
	}
	if at.After(r.Deadline.Add(claimDeadlineAllowance)) {
		return model.ClaimResult{Decision: ClaimLate, Claim: model.Claim{Order: r.Order}}
	}
	if !exists && c.full() || exists && len(old.released) >= maxReleases {
		return model.ClaimResult{Decision: ClaimFull, Claim: model.Claim{Order: r.Order}}
	}
	granted := model.Claim{
		Order: r.Order, State: model.ClaimHeld, Holder: r.Holder, Attempt: r.Attempt, Digest: r.Digest, ClaimedAt: at,
	}
	if exists {
		old.Claim = granted
	} else {
		c.add(&claimRecord{Claim: granted}, created)
	}
	return model.ClaimResult{Decision: model.ClaimGranted, Claim: granted}
}

// decideExisting decides on an order that has a claim. It returns false when the claim was released and the request
// is from another attempt, which may then run the order.
func decideExisting(old *claimRecord, r ClaimOrder) (model.ClaimDecision, bool) {
	if old.Digest != r.Digest && !releasedBeforeClaim(old) {
		return model.ClaimMismatch, true
	}
	switch {
	case old.State == model.ClaimHeld && old.Attempt == r.Attempt && old.Holder == r.Holder:
		// The holder resends its request after a lost answer. It has dispatched nothing, since it waits for this
		// answer.
		return model.ClaimGranted, true
	case old.State != model.ClaimReleased:
		return model.ClaimExists, true
	case slices.Contains(old.released, r.Attempt):
		return model.ClaimExists, true
	}
	return "", false
}

// releasedBeforeClaim reports whether the record was made by a release that arrived before its claim and did not carry
// the digest of the request, so that there is none to compare with.
func releasedBeforeClaim(c *claimRecord) bool { return c.State == model.ClaimReleased && c.Digest == 0 }

func (c *claims) full() bool {
	return len(c.byOrder) >= maxClaims || c.resultBytes >= maxClaimResultBytes
}

func (c *claims) add(r *claimRecord, created time.Time) {
	c.byOrder[r.Order] = r
	heap.Push(&c.byKeyTime, claimKey{created, r.Order})
}

// finish records the result of an order. Only the attempt that holds the claim may record it; it may record the same
// result again.
func (c *claims) finish(at time.Time, r FinishClaim) ClaimUpdate {
	c.pruneExpired(at)
	claim, ok := c.byOrder[r.Order]
	if !ok {
		return ClaimUpdate{}
	}
	if claim.State == model.ClaimHeld && claim.Attempt == r.Attempt && len(r.Result) <= MaxResultBytes {
		claim.State, claim.Result = model.ClaimDone, slices.Clone(r.Result)
		c.resultBytes += len(r.Result)
	}
	applied := claim.State == model.ClaimDone && claim.Attempt == r.Attempt && bytes.Equal(claim.Result, r.Result)
	return ClaimUpdate{Applied: applied, Found: true, Claim: cloneClaim(claim)}
}

// release releases a claim. Without a claim it records the release, so that the attempt is refused later: its claim
// may still be in transit through the log.
func (c *claims) release(at time.Time, r ReleaseClaim) ClaimUpdate {
	c.pruneExpired(at)
	claim, ok := c.byOrder[r.Order]
	if !ok {
		return c.releaseBeforeClaim(at, r)
	}
	if claim.State == model.ClaimHeld && claim.Attempt == r.Attempt {
		claim.State = model.ClaimReleased
		claim.released = append(claim.released, r.Attempt)
	}
	applied := slices.Contains(claim.released, r.Attempt)
	return ClaimUpdate{Applied: applied, Found: true, Claim: cloneClaim(claim)}
}

func (c *claims) releaseBeforeClaim(at time.Time, r ReleaseClaim) ClaimUpdate {
	created, err := OrderKeyTime(r.Order.Key)
	if err != nil || r.Order.Service == "" || len(r.Order.Service) > maxTextBytes || r.Attempt == "" || len(r.Attempt) > maxTextBytes ||
		created.After(at.Add(maxKeyAhead)) || c.full() {
		return ClaimUpdate{}
	}
	if !created.After(c.floor) {
		// No claim on this key is granted any more, so the release has nothing left to do.
		return ClaimUpdate{Applied: true}
	}
	claim := &claimRecord{
		Claim:    model.Claim{Order: r.Order, State: model.ClaimReleased, Attempt: r.Attempt, Digest: r.Digest, ClaimedAt: at},
		released: []model.AttemptID{r.Attempt},
	}
	c.add(claim, created)
	return ClaimUpdate{Applied: true, Found: true, Claim: cloneClaim(claim)}
}

func (c *claims) lookup(order model.OrderID) ClaimAnswer {
	if claim, ok := c.byOrder[order]; ok {
		return ClaimAnswer{Found: true, Claim: cloneClaim(claim)}
	}
	created, err := OrderKeyTime(order.Key)
	return ClaimAnswer{Expired: err == nil && !created.After(c.floor), Claim: model.Claim{Order: order}}
}

// pruneExpired raises the floor and removes the claims at or below it.
func (c *claims) pruneExpired(at time.Time) {
	if floor := at.Add(-c.retention); floor.After(c.floor) {
		c.floor = floor
	}
	for len(c.byKeyTime) > 0 && !c.byKeyTime[0].created.After(c.floor) {
		key := heap.Pop(&c.byKeyTime).(claimKey)
		c.resultBytes -= len(c.byOrder[key.order].Result)
		delete(c.byOrder, key.order)
	}
}

func cloneClaim(c *claimRecord) model.Claim {
	out := c.Claim
	out.Result = slices.Clone(c.Result)
	return out
}

// claimKey orders claims by the creation times in their keys.
type claimKey struct {
	created time.Time
	order   model.OrderID
}

func compareOrders(a, b model.OrderID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
}

// claimHeap implements heap.Interface, oldest key first.
type claimHeap []claimKey

func (h claimHeap) Len() int { return len(h) }
func (h claimHeap) Less(i, j int) bool {
	if !h[i].created.Equal(h[j].created) {
		return h[i].created.Before(h[j].created)
	}
	return compareOrders(h[i].order, h[j].order) < 0
}
func (h claimHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) { *h = append(*h, x.(claimKey)) }

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
