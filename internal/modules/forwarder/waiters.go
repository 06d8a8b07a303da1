package forwarder

import (
	"slices"

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

// wake lets the first waiting request of a service try again. Requests that were woken for the service and have not run since are
// skipped.
func (w waiters) wake(service model.ServiceName) { wakeFirst(service, w[service]) }

// wakeBehind is wake for the requests behind r.
func (w waiters) wakeBehind(service model.ServiceName, r *runner) {
	list := w[service]
	wakeFirst(service, list[slices.Index(list, r)+1:])
}

func wakeFirst(service model.ServiceName, list []*runner) {
	for _, r := range list {
		if !slices.Contains(r.wokenFor, service) {
			r.wokenFor = append(r.wokenFor, service)
			r.wake()
			return
		}
	}
}

// wakeService lets all waiting requests of a service try again.
func (w waiters) wakeService(service model.ServiceName) {
	for _, r := range w[service] {
		r.wake()
	}
}

// wakeAll lets all waiting requests try again.
func (w waiters) wakeAll() {
	for service := range w {
		w.wakeService(service)
	}
}
