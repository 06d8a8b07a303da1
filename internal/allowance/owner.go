package allowance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// ownerSlackPart is the part of the slack that adds to the depth of the buckets of owners. The rest pays for local slices and
	// for two owners during a handover.
	ownerSlackPart = 0.5
	// BorrowWait is how long an ask waits for units of other zones. A round trip between zones takes 9 ms.
	BorrowWait = 15 * time.Millisecond
	// unreachablePause is how long a zone is not asked for units after it did not answer.
	unreachablePause = time.Second
	// minDryPause and maxDryPause limit how long a zone is not asked again for units of a key after it had less than requested. The
	// pause doubles with each such answer, so that a customer above its limit does not cause borrowing for each of its requests.
	minDryPause = 20 * time.Millisecond
	maxDryPause = 500 * time.Millisecond
	// maxRetryAfter limits the time after which a denied caller is told to retry.
	maxRetryAfter = 10 * time.Second
	// lowPart is the part of a bucket's depth below which units are borrowed ahead.
	lowPart = 0.5
	// lendPart is the largest part of its units that an owner lends at a time.
	lendPart = 0.5
	// MaxKeys limits the buckets of an owner; a bucket takes about 300 bytes.
	MaxKeys = 16384
	// maxWaiting limits the asks that wait for borrowed units of one key.
	maxWaiting = 256
	// idleTime is how long a bucket is unused before it is removed.
	idleTime = 10 * time.Minute
	// fullPause is the shortest time between two searches for buckets to remove while there is no room, each of which reads all of them.
	fullPause = time.Second
	// MaxGap is the time without a call of Tick after which an owner regards itself as having been frozen. Other owners have taken
	// its place meanwhile, so its buckets are not refilled for that time.
	MaxGap = 500 * time.Millisecond
	// epsilon allows for the rounding of sums of fractions.
	epsilon = 1e-9
)

// Ask is a request for units of an allowance.
type Ask struct {
	ID    uint64
	Key   Key
	Limit Limit
	N     int
}

// Reply answers the ask with the same ID.
type Reply struct {
	ID     uint64
	Answer Answer
}

// Borrow is a request for units to the owner of the same key in another zone, or to an earlier owner in the same zone.
type Borrow struct {
	Zone  model.AvailabilityZone
	Key   Key
	Limit Limit
	Units float64
}

// Effects are what follows from a call: replies to asks and requests to other zones.
type Effects struct {
	Replies []Reply
	Borrows []Borrow
}

// OwnerCounts counts what an owner has done.
type OwnerCounts struct {
	Granted, Denied, Borrows, Full uint64
	Borrowed, Lent                 float64
}

type lenderState struct {
	asked      bool
	notBefore  time.Time
	dryAnswers int
}

type waitingAsk struct {
	id       uint64
	n        int
	deadline time.Time
}

type bucket struct {
	limit   Limit
	tokens  float64
	settled time.Time
	used    time.Time
	// standIn reports whether an earlier owner of the zone is connected: the bucket is not refilled then, and units are borrowed from
	// that owner as well. Otherwise an owner that is slow for some VMs would double the rate of the zone.
	standIn bool
	// known reports whether standIn holds since settled. It does not after the owners of the zone or the connections to them have
	// changed, until the key is used again.
	known bool
	// nextRetry is when the last caller that was denied is to retry.
	nextRetry time.Time
	lenders   []lenderState
	waiting   []waitingAsk
}

// Owner holds the buckets of one entry VM for its zone's slice of all limits. It is not safe for concurrent use.
type Owner struct {
	// zones lists the lenders: the own zone first, which is an earlier owner of it, then the other zones.
	zones       []model.AvailabilityZone
	buckets     map[Key]*bucket
	unreachable []time.Time
	waiting     map[Key]struct{}
	// unchangedSince is since when the connected owners of the zone are the same and this VM has not been frozen. No earlier owner of a
	// key has granted units of the zone since then if this VM is the first one.
	unchangedSince time.Time
	lastTick       time.Time
	nextPrune      time.Time
	// prunedFull is when buckets were last removed because there was no room for another one.
	prunedFull time.Time
	random     *rand.Rand
	counts     OwnerCounts
	// denials holds what was denied since the last call of TakeDenials.
	denials map[Key]*Denial
}

// NewOwner returns the owner of a zone. zones lists all zones; the limits are divided equally among them.
func NewOwner(now time.Time, self model.AvailabilityZone, zones []model.AvailabilityZone, random *rand.Rand) *Owner {
	o := &Owner{
		zones: []model.AvailabilityZone{self}, buckets: map[Key]*bucket{}, waiting: map[Key]struct{}{}, denials: map[Key]*Denial{},
		unchangedSince: now, lastTick: now, nextPrune: now.Add(idleTime), random: random,
	}
	for _, z := range zones {
		if z != self {
			o.zones = append(o.zones, z)
		}
	}
	o.unreachable = make([]time.Time, len(o.zones))
	return o
}

// Counts returns what the owner has done.
func (o *Owner) Counts() OwnerCounts { return o.counts }

// Keys returns the number of buckets.
func (o *Owner) Keys() int { return len(o.buckets) }

func (o *Owner) part(v float64) float64 { return v / float64(len(o.zones)) }

// depth is at least one unit, since a bucket could never grant one otherwise.
func (o *Owner) depth(l Limit) float64 { return max(1, o.part(l.Burst+ownerSlackPart*l.Slack)) }

// initial is at least one unit over all zones. It excludes the burst, which an earlier owner may have granted already.
func (o *Owner) initial(l Limit) float64 { return o.part(max(1, ownerSlackPart*l.Slack)) }

func (o *Owner) settle(now time.Time, b *bucket) {
	if elapsed := now.Sub(b.settled).Seconds(); elapsed > 0 && b.known {
		if !b.standIn {
			b.tokens = min(o.depth(b.limit), b.tokens+elapsed*o.part(b.limit.Rate))
		}
		b.settled = now
	}
}

// OwnersChanged records that the owners of the zone, or the connections to them, have changed, so that this VM may be an earlier or a later
// owner of each key than before.
func (o *Owner) OwnersChanged(now time.Time) {
	o.checkGap(now)
	for _, b := range o.buckets {
		o.settle(now, b)
		b.settled, b.known = now, false
	}
	o.unchangedSince = now
}

// LendersChanged records that connections to owners have changed. Zones that did not answer are asked again at once: while the VMs start, a
// zone is asked before a connection to one of its owners is open.
func (o *Owner) LendersChanged() { clear(o.unreachable) }

// setStandIn records the place of this VM among the owners of a key. A stand-in keeps no more than a new owner begins with, because the
// earlier owner's bucket holds the zone's burst.
func (o *Owner) setStandIn(now time.Time, b *bucket, standIn bool) {
	if b.known && b.standIn != standIn {
		o.settle(now, b)
	}
	if standIn && !b.standIn {
		b.tokens = min(b.tokens, o.initial(b.limit))
	}
	b.standIn, b.known = standIn, true
}

// bucketFor returns the settled bucket of a key with the newest limit, or nil if the owner has no room for it.
func (o *Owner) bucketFor(now time.Time, key Key, l Limit, standIn bool) *bucket {
	b := o.buckets[key]
	if b == nil {
		if len(o.buckets) >= MaxKeys && now.Sub(o.prunedFull) >= fullPause {
			o.prunedFull = now
			o.prune(now, 0)
		}
		if len(o.buckets) >= MaxKeys {
			o.counts.Full++
			return nil
		}
		b = &bucket{limit: l, tokens: o.initial(l), settled: now, lenders: make([]lenderState, len(o.zones))}
		if key.Kind != KindColdLeaf { // The limit of a cold leaf has no burst, and binds from the first request.
			b.settled = o.unchangedSince
		}
		o.buckets[key] = b
	}
	o.setStandIn(now, b, standIn)
	o.settle(now, b)
	if l.Version > b.limit.Version {
		b.limit = l
		b.tokens = min(b.tokens, o.depth(l))
		b.nextRetry = time.Time{} // It and the pauses of lenders were computed from the previous rate.
		for i := range b.lenders {
			b.lenders[i].notBefore, b.lenders[i].dryAnswers = time.Time{}, 0
		}
	}
	b.used = now
	return b
}

// Tokens returns how many units the bucket of a key holds, and false if there is no bucket. It changes nothing.
func (o *Owner) Tokens(now time.Time, key Key) (float64, bool) {
	known := o.buckets[key]
	if known == nil {
		return 0, false
	}
	b := *known
	o.settle(now, &b)
	return b.tokens, true
}

// checkGap keeps the buckets from being refilled for the time in which the process was frozen.
func (o *Owner) checkGap(now time.Time) {
	if now.Sub(o.lastTick) > MaxGap {
		for _, b := range o.buckets {
			b.settled = now
		}
		o.lastTick, o.unchangedSince = now, now
	}
}

// Ask handles one ask. standIn reports whether an earlier owner of the key in this zone is connected.
func (o *Owner) Ask(now time.Time, a Ask, standIn bool, out *Effects) {
	o.checkGap(now)
	b := o.bucketFor(now, a.Key, a.Limit, standIn)
	if b == nil {
		o.counts.Denied++
		out.Replies = append(out.Replies, Reply{a.ID, Answer{RetryAfter: unreachablePause}})
		return
	}
	if len(b.waiting) == 0 && b.tokens+epsilon >= float64(a.N) {
		o.grant(b, a.ID, a.N, out)
		o.borrowAhead(now, a.Key, b, out)
		return
	}
	b.waiting = append(b.waiting, waitingAsk{a.ID, a.N, now.Add(BorrowWait)})
	o.waiting[a.Key] = struct{}{}
	o.borrow(now, a.Key, b, out)
	o.serveWaiting(now, a.Key, b, out)
}

func (o *Owner) grant(b *bucket, id uint64, n int, out *Effects) {
	b.tokens = max(0, b.tokens-float64(n))
	if b.tokens+epsilon >= 1 { // There is credit again for callers that were denied.
		b.nextRetry = time.Time{}
	}
	o.counts.Granted++
	out.Replies = append(out.Replies, Reply{id, Answer{Granted: true}})
}

// need returns how many units the bucket lacks for the asks that wait.
func (b *bucket) need() float64 {
	sum := 0.0
	for _, w := range b.waiting {
		sum += float64(w.n)
	}
	return sum - b.tokens
}

// borrowAhead requests units before the bucket is empty, so that few asks wait for them.
func (o *Owner) borrowAhead(now time.Time, key Key, b *bucket, out *Effects) {
	if b.tokens < lowPart*o.depth(b.limit) {
		o.borrow(now, key, b, out)
	}
}

// borrow requests units from all zones that may have some. Each is asked for its part of what the bucket has room for, so that
// nothing is lost if all of them give it, but for no less than the asks that wait need.
func (o *Owner) borrow(now time.Time, key Key, b *bucket, out *Effects) {
	var from []int
	for i := range o.zones {
		s := &b.lenders[i]
		if (i > 0 || b.standIn) && !s.asked && !now.Before(s.notBefore) && !now.Before(o.unreachable[i]) {
			from = append(from, i)
		}
	}
	if len(from) == 0 {
		return
	}
	room := max(0, lowPart*o.depth(b.limit)+b.need())
	units := max(room/float64(len(from)), b.need())
	if units <= epsilon {
		return
	}
	for _, i := range from {
		b.lenders[i].asked = true
		o.counts.Borrows++
		out.Borrows = append(out.Borrows, Borrow{o.zones[i], key, b.limit, units})
	}
}

// Lend takes up to half of the units of a key out of its bucket for another zone and returns how many. Once the answer is sent they
// are lost if it does not arrive.
func (o *Owner) Lend(now time.Time, key Key, l Limit, units float64, standIn bool) float64 {
	o.checkGap(now)
	b := o.bucketFor(now, key, l, standIn)
	if b == nil || !(units > 0) { // The comparison also refuses what is not a number.
		return 0
	}
	given := max(0, min(units, lendPart*b.tokens))
	b.tokens -= given
	o.counts.Lent += given
	return given
}

// Lent handles the answer to a request for units. answered is false if the zone did not answer.
func (o *Owner) Lent(now time.Time, borrow Borrow, units float64, answered bool, out *Effects) {
	i := 0
	for i < len(o.zones) && o.zones[i] != borrow.Zone {
		i++
	}
	o.checkGap(now)
	b := o.buckets[borrow.Key]
	if b == nil || i == len(o.zones) {
		return
	}
	o.settle(now, b)
	s := &b.lenders[i]
	s.asked = false
	switch {
	case !answered:
		o.unreachable[i] = now.Add(unreachablePause)
	case !(units >= 0 && units <= borrow.Units+epsilon): // The answer is malformed, and the units in it do not count.
	default:
		b.tokens += units
		o.counts.Borrowed += units
		if units+epsilon < borrow.Units {
			pause := time.Duration(float64(time.Second) / max(o.part(b.limit.Rate), 0.01))
			s.notBefore = now.Add(min(max(pause, minDryPause)<<min(s.dryAnswers, 6), maxDryPause))
			s.dryAnswers++
		} else {
			s.dryAnswers = 0
		}
	}
	o.serveWaiting(now, borrow.Key, b, out)
	b.tokens = min(b.tokens, o.depth(b.limit))
}

// serveWaiting grants waiting asks in their order, and denies those that have waited long enough or that no zone can still help.
func (o *Owner) serveWaiting(now time.Time, key Key, b *bucket, out *Effects) {
	borrowing := false
	for i := range b.lenders {
		borrowing = borrowing || b.lenders[i].asked
	}
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		switch {
		case b.tokens+epsilon >= float64(w.n):
			o.grant(b, w.id, w.n, out)
		case !borrowing || !now.Before(w.deadline) || len(b.waiting) > maxWaiting:
			o.counts.Denied++
			o.recordDenial(now, key, b)
			out.Replies = append(out.Replies, Reply{w.id, Answer{RetryAfter: o.retryAfter(now, b, w.n)}})
		default:
			return
		}
		b.waiting = b.waiting[1:]
	}
	b.waiting = nil
	delete(o.waiting, key)
}

// retryAfter returns a later time to each caller that is denied, at the rate of the bucket, so that they do not all retry at once. The first
// one is to retry when the bucket has the units.
func (o *Owner) retryAfter(now time.Time, b *bucket, n int) time.Duration {
	lacking := float64(n)
	if b.nextRetry.Before(now) {
		b.nextRetry = now
		lacking = max(0, lacking-b.tokens)
	}
	b.nextRetry = b.nextRetry.Add(time.Duration(lacking / max(o.part(b.limit.Rate), 0.01) * float64(time.Second)))
	if after := b.nextRetry.Sub(now); after <= maxRetryAfter {
		return after
	}
	b.nextRetry = now.Add(maxRetryAfter)
	return maxRetryAfter/2 + time.Duration(o.random.Int64N(int64(maxRetryAfter/2)))
}

// Withdraw removes an ask that waits, because its VM no longer does.
func (o *Owner) Withdraw(key Key, id uint64) {
	b := o.buckets[key]
	if b == nil {
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w waitingAsk) bool { return w.id == id })
	if len(b.waiting) == 0 {
		delete(o.waiting, key)
	}
}

// Return adds units that a VM has not used. Units of a key without a bucket are lost.
func (o *Owner) Return(now time.Time, key Key, n int) {
	o.checkGap(now)
	if b := o.buckets[key]; b != nil && n > 0 {
		o.settle(now, b)
		b.tokens = min(b.tokens+float64(n), o.depth(b.limit))
	}
}

// Tick denies asks that have waited too long, detects that the process was frozen, and removes unused buckets. It is called at least
// every MaxGap/2.
func (o *Owner) Tick(now time.Time, out *Effects) {
	o.checkGap(now)
	o.lastTick = now
	// A fixed order makes runs with the same seed agree.
	for _, key := range slices.SortedFunc(maps.Keys(o.waiting), compareKeys) {
		o.serveWaiting(now, key, o.buckets[key], out)
	}
	if !now.Before(o.nextPrune) {
		o.prune(now, idleTime)
		o.nextPrune = now.Add(idleTime / 10)
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Waiting reports whether asks wait for borrowed units, so that Tick has to be called after BorrowWait.
func (o *Owner) Waiting() bool { return len(o.waiting) > 0 }

// prune removes buckets that are full again and unused. A new bucket never holds more than a full one, so that nothing is granted
// twice. The bucket of a stand-in is not refilled, and is removed after idleTime: otherwise the keys of cold leaves would fill its room.
func (o *Owner) prune(now time.Time, unused time.Duration) {
	for key, b := range o.buckets {
		if len(b.waiting) > 0 || now.Sub(b.used) < unused {
			continue
		}
		o.settle(now, b)
		isFull, refilled := b.tokens+epsilon >= o.depth(b.limit), b.known && !b.standIn
		if isFull || !refilled && now.Sub(b.used) >= idleTime {
			delete(o.buckets, key)
		}
	}
}
