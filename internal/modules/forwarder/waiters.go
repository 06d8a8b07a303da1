package forwarder

import (
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// waiters holds the requests that wait for an available connection to a leaf of a service, in the order of their
// routes' ranks and then of their arrival. It is guarded by the module's lock.
type waiters map[model.ServiceName][]*runner

func (w waiters) add(services []model.ServiceName, r *runner) {
	for _, s := range services {
		list := w[s]
		i := len(list)
		for i > 0 && list[i-1].route.Rank > r.route.Rank {
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

// wake lets the first waiting request of a service try again. Requests that were woken and have not run since are skipped.
func (w waiters) wake(service model.ServiceName) {
	w.wakeFirst(service, func(*runner) bool { return true })
}

// wakeFor does the same for a leaf with an available connection. Requests that may not be sent to it are skipped.
func (w waiters) wakeFor(l *leaves.Member) {
	w.wakeFirst(l.Service, func(r *runner) bool { return r.mayUse(l) })
}

func (w waiters) wakeFirst(service model.ServiceName, eligible func(*runner) bool) {
	for _, r := range w[service] {
		if !eligible(r) {
			continue
		}
		select {
		case r.wakes <- struct{}{}:
			return
		default:
		}
	}
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
