package forwarder

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// fairCustomer is a customer of a trial: its requests/s, its quota, the work of a request in ms and the requests that have arrived and
// were served.
type fairCustomer struct {
	rate, quota     float64
	work            int
	arrived, served int
}

func (c *fairCustomer) share() float64 { return float64(c.served) / float64(c.arrived) }

// runFairTrial sends the requests of customers for a minute to a service that runs 8 at once, and returns the served share of all. A
// request waits for a free slot for 200 ms at most.
func runFairTrial(customers []*fairCustomer) float64 {
	const slots, wait = 8, 200
	type waiting struct {
		*runner
		customer *fairCustomer
		since    int
	}
	var queue []*waiting
	var busyUntil [slots]int
	w, services, use := waiters{}, []model.ServiceName{"s"}, forward.NewServiceUse()
	random, route := rand.New(rand.NewPCG(1, 2)), &routes.Route{}
	for ms := range 60_000 {
		now := time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
		for i, c := range customers {
			if random.Float64() < c.rate/1000 {
				c.arrived++
				r := &runner{req: &forward.Request{}, route: route, wakes: make(chan struct{}, 1), use: use.Account(now, strconv.Itoa(i), c.quota)}
				w.add(services, r)
				queue = append(queue, &waiting{r, c, ms})
			}
		}
		kept := queue[:0]
		for _, x := range queue {
			if ms-x.since < wait {
				kept = append(kept, x)
			} else {
				w.remove(services, x.runner)
			}
		}
		queue = kept
		for slot := range busyUntil {
			if busyUntil[slot] > ms {
				continue
			}
			w.wake(now, "s")
			for i, x := range queue {
				if len(x.wakes) > 0 {
					busyUntil[slot] = ms + x.customer.work
					x.customer.served++
					x.use.Add(now, time.Duration(x.customer.work)*time.Millisecond)
					w.remove(services, x.runner)
					queue = append(queue[:i], queue[i+1:]...)
					break
				}
			}
		}
	}
	arrived, served := 0, 0
	for _, c := range customers {
		arrived, served = arrived+c.arrived, served+c.served
	}
	return float64(served) / float64(arrived)
}

// Guards against a customer that sends ten times what each of nine others does into a service that can run 12 of the 19 parts, and takes
// the places of the others; and against requests that count the same whatever their work.
func TestOneCustomerDoesNotTakeTheOthersPlaces(t *testing.T) {
	for _, heavyWork := range []int{10, 40} {
		// Eight slots of 10 ms each serve 800/s, of which the others need 600/s.
		heavy := &fairCustomer{rate: 670, quota: 80, work: heavyWork}
		customers := []*fairCustomer{heavy}
		for range 9 {
			customers = append(customers, &fairCustomer{rate: 67, quota: 80, work: 10})
		}
		all := runFairTrial(customers)
		t.Logf("work of the heavy customer %d ms: all %.2f, heavy %.2f, another %.2f", heavyWork, all, heavy.share(), customers[1].share())
		for _, c := range customers[1:] {
			require.Greater(t, c.share(), 0.95, "it stays within its part")
			require.Greater(t, c.share(), all/4)
		}
		served := float64(heavy.served*heavyWork) / 60_000
		require.InDelta(t, 2, served, 0.4, "what the others leave is for the heavy one: slots in use")
	}
}

// Guards against large customers that get hardly anything in a burst of 2.5 times the usual load of all, with quotas of 1.6 times the
// usual rate, while small ones are served whole.
func TestLargeCustomersAreServedInABurstOfAll(t *testing.T) {
	var customers []*fairCustomer
	sum := 0.0
	for i := range 76 {
		c := &fairCustomer{rate: math.Pow(float64(i+1), -1.2), work: 10}
		customers, sum = append(customers, c), sum+c.rate
	}
	for _, c := range customers {
		usual := c.rate / sum * 700
		c.rate, c.quota = 2.5*usual, 1.6*usual
	}
	all := runFairTrial(customers)
	least := 1.0
	for _, c := range customers {
		least = min(least, c.share())
	}
	t.Logf("all %.2f, least %.2f", all, least)
	require.Greater(t, least, all/4)
}

// Guards against a request whose customer has a rank of its own and that waits by the rank of its route.
func TestRankOfTheCustomerComesBeforeThatOfTheRoute(t *testing.T) {
	w, services, rank := waiters{}, []model.ServiceName{"s"}, 0
	usual := &runner{req: &forward.Request{}, route: &routes.Route{Rank: 1}, wakes: make(chan struct{}, 1)}
	urgent := &runner{req: &forward.Request{Customer: &routes.Customer{Rank: &rank}}, route: &routes.Route{Rank: 2}, wakes: make(chan struct{}, 1)}
	w.add(services, usual)
	w.add(services, urgent)
	w.wake(time.Unix(1000, 0), "s")
	require.Len(t, urgent.wakes, 1)
	require.Empty(t, usual.wakes)
}
