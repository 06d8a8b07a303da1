package allowance

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

const (
	// AskTimeout is how long a VM waits for an owner. It is longer than BorrowWait, which the owner may wait for other zones.
	AskTimeout = 20 * time.Millisecond
	// ownerPause is how long an owner that did not answer in time is not asked.
	ownerPause = time.Second
	// maxDenialMemory limits how long a VM denies without asking, because the owner may have borrowed units meanwhile.
	maxDenialMemory = time.Second
	// localSlackPart is the part of the slack that VMs use while no owner answers.
	localSlackPart = 0.25
	// returnExpiry is how long returned units are kept for the next request before they go back to the owner.
	returnExpiry = 250 * time.Millisecond
	// localWindow is how long a VM's own slice is not renewed after its last use. It is longer than the windows of quotas and of
	// cold leaves, in which the slice is thus used once.
	localWindow = 10 * time.Second
	// minLocalRetry is the least time after which a caller is to retry that a VM has denied by itself; up to a second is added.
	minLocalRetry = 200 * time.Millisecond
	// maxAskerKeys limits the keys of which a VM keeps state.
	maxAskerKeys = 16384
)

type askerEntry struct {
	limit       Limit
	deniedUntil time.Time
	nextRetry   time.Time
	// deniedBy is the owner that has denied units last.
	deniedBy model.VMName
	// returned units were taken and not used; they go back to the owner at returnBy.
	returned int
	returnBy time.Time
	// local is what is left of this VM's own slice, for use while no owner answers. It is renewed localWindow after its last use.
	local     int
	localFrom time.Time
	used      time.Time
}

// Refund is a number of units that go back to the owner.
type Refund struct {
	Key Key
	N   int
}

// Asker is the state of one VM that asks owners. It is not safe for concurrent use.
type Asker struct {
	zones   int
	entries map[Key]*askerEntry
	paused  map[model.VMName]time.Time
	random  *rand.Rand
}

// NewAsker returns the state of a VM that has just started, in a system with the given number of zones.
func NewAsker(zones int, random *rand.Rand) *Asker {
	return &Asker{zones: max(zones, 1), entries: map[Key]*askerEntry{}, paused: map[model.VMName]time.Time{}, random: random}
}

func (a *Asker) entry(now time.Time, key Key, l Limit) *askerEntry {
	e := a.entries[key]
	if e == nil {
		e = &askerEntry{limit: l}
		if len(a.entries) < maxAskerKeys {
			a.entries[key] = e
		}
	}
	if l.Version > e.limit.Version {
		e.limit, e.deniedUntil = l, time.Time{}
	}
	e.used = now
	return e
}

// Take decides without an owner where that is possible: with returned units, or because the owner has denied units for some time.
func (a *Asker) Take(now time.Time, key Key, l Limit, n int) (answer Answer, decided bool) {
	e := a.entry(now, key, l)
	switch {
	case e.returned >= n && now.Before(e.returnBy):
		e.returned -= n
		return Answer{Granted: true}, true
	case now.Before(e.deniedUntil):
		return Answer{RetryAfter: a.laterRetry(now, e), Owner: e.deniedBy, Remembered: true}, true
	}
	return Answer{}, false
}

// Known returns what this VM knows of an allowance without asking the owner. It changes nothing.
func (a *Asker) Known(now time.Time, key Key, l Limit) Known {
	e := a.entries[key]
	switch {
	case e == nil:
	case e.returned > 0 && now.Before(e.returnBy):
		return Known{Credit: CreditAvailable, Units: float64(e.returned)}
	case now.Before(e.deniedUntil) && l.Version <= e.limit.Version:
		return Known{Credit: CreditDenied, RetryAfter: e.deniedUntil.Sub(now)}
	}
	return Known{Credit: CreditUnknown}
}

// laterRetry returns a later time to each caller that this VM denies by itself.
func (a *Asker) laterRetry(now time.Time, e *askerEntry) time.Duration {
	e.nextRetry = e.nextRetry.Add(time.Duration(float64(time.Second) * float64(a.zones) / max(e.limit.Rate, 0.01)))
	if after := e.nextRetry.Sub(now); after > 0 && after <= maxRetryAfter {
		return after
	}
	e.nextRetry = now.Add(maxRetryAfter / 2)
	return maxRetryAfter/2 + time.Duration(a.random.Int64N(int64(maxRetryAfter/2)))
}

// OwnerOf returns the owner to ask: the first by rendezvous hash that is reachable and not paused. If all that are reachable are paused, it
// is the one whose pause ends first: a VM that was itself held up for a moment has paused all of them, and must not refuse requests for the
// time of the pause.
func (a *Asker) OwnerOf(now time.Time, key Key, owners []model.VMName, reachable func(model.VMName) bool) (owner model.VMName, ok bool) {
	for _, vm := range Order(key, owners) {
		switch {
		case !reachable(vm):
		case !now.Before(a.paused[vm]):
			return vm, true
		case !ok || a.paused[vm].Before(a.paused[owner]):
			owner, ok = vm, true
		}
	}
	return owner, ok
}

// Order returns the owners of a key, best first.
func Order(key Key, owners []model.VMName) []model.VMName {
	return rendezvous.Top(string(rune('0'+key.Kind))+key.Name, owners, len(owners))
}

// Answered records the answer of an owner.
func (a *Asker) Answered(now time.Time, key Key, l Limit, answer Answer) {
	if answer.Granted {
		return
	}
	e := a.entry(now, key, l)
	e.deniedBy = answer.Owner
	e.deniedUntil, e.nextRetry = now.Add(min(answer.RetryAfter, maxDenialMemory)), now.Add(answer.RetryAfter)
}

// TimedOut records that an owner did not answer in time.
func (a *Asker) TimedOut(now time.Time, owner model.VMName) {
	a.paused[owner] = now.Add(ownerPause)
	for vm, until := range a.paused {
		if now.After(until) {
			delete(a.paused, vm)
		}
	}
}

// Local decides with this VM's own slice, while no owner answers. entryVMs is the number of VMs of all zones that the slack is divided
// among. The slice begins with a random fraction, so that many VMs with less than one unit each use about their sum together.
func (a *Asker) Local(now time.Time, key Key, l Limit, n, entryVMs int) Answer {
	e := a.entry(now, key, l)
	if e.localFrom.IsZero() || now.Sub(e.localFrom) >= localWindow {
		e.local = a.slice(localSlackPart * e.limit.Slack / float64(max(entryVMs, 1)))
		e.localFrom = now
	}
	if e.local >= n && a.entries[key] == e {
		e.local -= n
		e.localFrom = now
		return Answer{Granted: true, Local: true}
	}
	// An owner may answer again at any time, long before the slice is renewed.
	return Answer{RetryAfter: minLocalRetry + time.Duration(a.random.Int64N(int64(time.Second))), Local: true}
}

// slice returns a whole number with the given mean.
func (a *Asker) slice(mean float64) int {
	whole := int(mean)
	if a.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// Return keeps units that were not used for the next request.
func (a *Asker) Return(now time.Time, key Key, n int) {
	if e := a.entries[key]; e != nil && n > 0 {
		e.returned += n
		e.returnBy = now.Add(returnExpiry)
	}
}

// Expired returns the units that go back to the owners, and removes unused state.
func (a *Asker) Expired(now time.Time) []Refund {
	var out []Refund
	for key, e := range a.entries {
		if e.returned > 0 && !now.Before(e.returnBy) {
			out = append(out, Refund{key, e.returned})
			e.returned = 0
		}
	}
	a.prune(now)
	return out
}

// prune removes entries that say nothing any more: the slice of an unused one is renewed anyway.
func (a *Asker) prune(now time.Time) {
	for key, e := range a.entries {
		if e.returned == 0 && now.Sub(e.used) > localWindow {
			delete(a.entries, key)
		}
	}
}
