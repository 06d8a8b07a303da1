package forwarder

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// waiters holds the requests that wait for an available connection to a leaf of a service, in the order of their ranks and then of
// their arrival. It is guarded by the module's lock.
type waiters map[model.ServiceName][]*runner

func (w waiters) add(services []model.ServiceName, r *runner) {
	for _, s := range services {
		list := w[s]
		i := len(list)
		for i > 0 && list[i-1].rank() > r.rank() {
			i--
		}
		w[s] = slices.Insert(list, i, r)
	}
}

func (w waiters) remove(services []model.ServiceName, r *runner) {
	for _, s := range services {
		if i := slices.Index(w[s], r); i >= 0 {
			w[s] = slices.Delete(w[s], i, i+1)
		}
		if len(w[s]) == 0 {
			delete(w, s)
		}
	}
}

// wake lets the first waiting request of a service try again: of those of the best rank, the one whose customer had the least work
// of late for its quota, and then the one that came first. Requests that were woken and have not run since are skipped.
func (w waiters) wake(now time.Time, service model.ServiceName) {
	w.wakeFirst(now, service, func(*runner) bool { return true })
}

// wakeFor does the same for a leaf with an available connection. Requests that may not be sent to it are skipped.
func (w waiters) wakeFor(now time.Time, l *leaves.Member) {
	w.wakeFirst(now, l.Service, func(r *runner) bool { return r.mayUse(l) })
}

func (w waiters) wakeFirst(now time.Time, service model.ServiceName, eligible func(*runner) bool) {
	var first *runner
	var least float64
	for _, r := range w[service] {
		if first != nil && r.rank() != first.rank() {
			break
		}
		if len(r.wakes) > 0 || !eligible(r) {
			continue
		}
		if share := r.use.Share(now); first == nil || share < least {
			first, least = r, share
		}
		if least <= 0 {
			break
		}
	}
	if first == nil {
		return
	}
	select {
	case first.wakes <- struct{}{}:
	default: // Values are added under the module's lock, so there is room for this one.
	}
}

// ahead returns how many waiting requests of a service come before a request that does not wait yet.
func (w waiters) ahead(now time.Time, service model.ServiceName, r *runner) (n int) {
	for _, x := range w[service] {
		if x.rank() < r.rank() || x.rank() == r.rank() && x.use.Share(now) <= r.use.Share(now) {
			n++
		}
	}
	return n
}

// wakeAll lets all waiting requests try again.
func (w waiters) wakeAll() {
	for _, list := range w {
		for _, r := range list {
			select {
			case r.wakes <- struct{}{}:
			default: // It is woken already.
			}
		}
	}
}
