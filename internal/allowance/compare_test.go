package allowance

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

// design is a way to divide a limit among VMs.
type design int

const (
	equalShares design = iota
	oneOwner
	zoneSlices
)

func (d design) String() string { return [...]string{"equal shares", "one owner", "zone slices"}[d] }

const (
	// zoneDelay and localDelay are the latencies one way between and within zones of deployment B.
	zoneDelay  = 4400 * time.Microsecond
	localDelay = 200 * time.Microsecond
	// detectionTime is how long a connection to a VM that does not answer stays open.
	detectionTime = 3 * time.Second
	quotaWindow   = 5 * time.Second
	burstTime     = 2.0 // Seconds of its rate that are a customer's burst.
	usualRequests = 1.8 // Requests/s of each VM.
)

type load struct {
	design     design
	vms, zones int
	duration   time.Duration
	// countFrom is when the messages and refusals begin to count.
	countFrom time.Duration
	loss      float64
	// fault changes the system at the given times.
	fault map[time.Duration]func(*world)
}

type event struct {
	at time.Time
	fn func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type worldVM struct {
	name        model.VMName
	zone        model.AvailabilityZone
	owner       *Owner
	asker       *Asker
	replies     map[uint64]func(Answer)
	down        bool
	frozenUntil time.Time
	frozenAt    time.Time
	// reached holds the owners of its zone that it was connected to.
	reached []model.VMName
}

type customer struct {
	key   Key
	limit Limit
	usual float64
	// hot customers send 7.5 times their usual rate: always or, if bursts is set, in the second half of each 20 s.
	hot, bursts bool
	granted     []time.Time
	sent        int
	denied      int
}

// world simulates the VMs and the network between them.
type world struct {
	load
	now       time.Time
	events    events
	random    *rand.Rand
	vmList    []*worldVM
	byName    map[model.VMName]*worldVM
	owners    map[model.AvailabilityZone][]model.VMName
	customers []*customer
	cutZone   model.AvailabilityZone
	cutAt     time.Time
	// cutPair holds two VMs that cannot reach each other, since cutAt, while others reach both.
	cutPair  [2]*worldVM
	orders   map[orderKey][]model.VMName
	messages int
	between  int
	requests int
	nextID   uint64
	locals   int
}

func newWorld(l load, seed uint64) *world {
	w := &world{load: l, now: start, random: rand.New(rand.NewPCG(seed, 9)), byName: map[model.VMName]*worldVM{}, orders: map[orderKey][]model.VMName{}, owners: map[model.AvailabilityZone][]model.VMName{}}
	var all []model.VMName
	for i := range l.vms {
		vm := &worldVM{name: model.VMName(fmt.Sprintf("vm-%d", i)), zone: model.AvailabilityZone(fmt.Sprintf("az-%d", i%l.zones))}
		w.vmList, w.byName[vm.name] = append(w.vmList, vm), vm
		all = append(all, vm.name)
		w.owners[vm.zone] = append(w.owners[vm.zone], vm.name)
	}
	for zone, vms := range w.owners {
		w.owners[zone] = rendezvous.Top("owners", vms, min(max(len(vms)/16, 3), 64))
	}
	if l.design == oneOwner {
		w.owners = map[model.AvailabilityZone][]model.VMName{"all": rendezvous.Top("owners", all, min(max(len(all)/16, 3), 64))}
	}
	for _, vm := range w.vmList {
		w.boot(vm)
	}
	w.addCustomers()
	return w
}

// scope is the part of the system that a VM's owner keeps a slice for.
func (w *world) scope(vm *worldVM) model.AvailabilityZone {
	switch w.design {
	case equalShares:
		return model.AvailabilityZone(vm.name)
	case oneOwner:
		return "all"
	}
	return vm.zone
}

// boot starts a VM without state.
func (w *world) boot(vm *worldVM) {
	var scopes []model.AvailabilityZone
	seen := map[model.AvailabilityZone]bool{}
	for _, other := range w.vmList {
		if s := w.scope(other); !seen[s] {
			seen[s] = true
			scopes = append(scopes, s)
		}
	}
	vm.owner, vm.asker = NewOwner(w.now, w.scope(vm), scopes, w.random), NewAsker(w.zones, w.random)
	vm.replies, vm.reached = map[uint64]func(Answer){}, nil
}

// noteOwners tells an owner when the connections to the others of its zone have changed.
func (w *world) noteOwners(vm *worldVM) {
	var reached []model.VMName
	for _, name := range w.owners[w.scope(vm)] {
		if name == vm.name || w.connected(vm, w.byName[name]) {
			reached = append(reached, name)
		}
	}
	if !slices.Equal(reached, vm.reached) {
		vm.reached = reached
		vm.owner.OwnersChanged(w.now)
	}
}

// addCustomers adds 76 customers with sizes that follow a power law with the exponent 1.2. Each may use 1.6 times its usual rate, and
// the third largest sends 7.5 times its usual rate all the time, the fifth largest in bursts.
func (w *world) addCustomers() {
	sum := 0.0
	for i := range 76 {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range 76 {
		usual := usualRequests * float64(w.vms) * math.Pow(float64(i+1), -1.2) / sum
		c := &customer{key: Key{KindCustomer, fmt.Sprintf("c-%d", i)}, usual: usual, hot: i == 2 || i == 4, bursts: i == 4}
		c.limit = quota(1.6*usual, burstTime*1.6*usual, 1)
		w.customers = append(w.customers, c)
	}
}

func quota(rate, burst float64, version uint64) Limit {
	return Limit{Rate: rate, Burst: burst, Slack: 0.1*(rate*quotaWindow.Seconds()+burst) + 20, Version: version}
}

func (w *world) after(d time.Duration, fn func()) { heap.Push(&w.events, event{w.now.Add(d), fn}) }

func (w *world) cut(a, b *worldVM) bool {
	if w.cutPair == [2]*worldVM{a, b} || w.cutPair == [2]*worldVM{b, a} {
		return true
	}
	return a.zone != b.zone && (a.zone == w.cutZone || b.zone == w.cutZone)
}

func (w *world) connected(a, b *worldVM) bool {
	return !b.down && !(w.cut(a, b) && w.now.Sub(w.cutAt) > detectionTime) && !(w.now.Before(b.frozenUntil) && w.now.Sub(b.frozenAt) > detectionTime)
}

// send delivers a message after a random delay. One in 100 takes about 10 ms more, as on a VM whose processor share is used up.
func (w *world) send(a, b *worldVM, fn func()) {
	w.messages++
	delay := localDelay
	if a.zone != b.zone {
		w.between++
		delay = zoneDelay
	}
	delay += time.Duration(w.random.ExpFloat64() * 0.1 * float64(delay))
	if w.random.Float64() < 0.01 {
		delay += time.Duration(w.random.ExpFloat64() * float64(10*time.Millisecond))
	}
	if w.random.Float64() >= w.loss && !w.cut(a, b) {
		w.after(delay, func() { w.deliver(b, fn) })
	}
}

func (w *world) deliver(b *worldVM, fn func()) {
	switch {
	case b.down:
	case w.now.Before(b.frozenUntil):
		w.after(b.frozenUntil.Sub(w.now), func() { w.deliver(b, fn) })
	default:
		fn()
	}
}

type orderKey struct {
	key   Key
	scope model.AvailabilityZone
}

// order returns the owners of a key. The lists do not change during a run.
func (w *world) order(key Key, scope model.AvailabilityZone) []model.VMName {
	k := orderKey{key, scope}
	if w.orders[k] == nil {
		w.orders[k] = Order(key, w.owners[scope])
	}
	return w.orders[k]
}

func (w *world) standsIn(vm *worldVM, key Key) bool {
	if w.design == equalShares {
		return false
	}
	for _, name := range w.order(key, w.scope(vm)) {
		if name == vm.name {
			return false
		}
		if w.connected(vm, w.byName[name]) {
			return true
		}
	}
	return false
}

// apply carries out the effects at an owner.
func (w *world) apply(vm *worldVM, out *Effects) {
	for i := 0; i < len(out.Borrows); i++ {
		b := out.Borrows[i]
		var lender *worldVM
		for _, name := range w.order(b.Key, b.Zone) {
			if name == vm.name {
				break
			}
			if w.connected(vm, w.byName[name]) {
				lender = w.byName[name]
				break
			}
		}
		if lender == nil {
			vm.owner.Lent(w.now, b, 0, false, out)
			continue
		}
		w.borrow(vm, lender, b)
	}
	if vm.owner.Waiting() {
		w.after(BorrowWait, func() { w.tick(vm) })
	}
	for _, r := range out.Replies {
		if fn := vm.replies[r.ID]; fn != nil {
			delete(vm.replies, r.ID)
			fn(r.Answer)
		}
	}
}

func (w *world) tick(vm *worldVM) {
	w.deliver(vm, func() {
		var out Effects
		w.noteOwners(vm)
		vm.owner.Tick(w.now, &out)
		w.apply(vm, &out)
	})
}

func (w *world) borrow(vm, lender *worldVM, b Borrow) {
	done, owner := false, vm.owner
	finish := func(units float64, answered bool) {
		if !done && vm.owner == owner {
			done = true
			var out Effects
			owner.Lent(w.now, b, units, answered, &out)
			w.apply(vm, &out)
		}
	}
	w.after(BorrowWait, func() { w.deliver(vm, func() { finish(0, false) }) })
	w.send(vm, lender, func() {
		w.noteOwners(lender)
		units := lender.owner.Lend(w.now, b.Key, b.Limit, b.Units, w.standsIn(lender, b.Key))
		w.send(lender, vm, func() { finish(units, true) })
	})
}

// ask takes one unit at a VM and calls done with the answer.
func (w *world) ask(vm *worldVM, c *customer, attempt int, done func(Answer)) {
	owners := w.owners[w.scope(vm)]
	if w.design == equalShares {
		owners = []model.VMName{vm.name}
	}
	name, ok := vm.asker.OwnerOf(w.now, c.key, owners, func(o model.VMName) bool { return o == vm.name || w.connected(vm, w.byName[o]) })
	if !ok || attempt > 2 {
		w.locals++
		done(vm.asker.Local(w.now, c.key, c.limit, 1, w.vms))
		return
	}
	owner, limit, finished := w.byName[name], c.limit, false
	w.nextID++
	id := w.nextID
	reply := func(a Answer) {
		if !finished {
			finished = true
			vm.asker.Answered(w.now, c.key, limit, a)
			done(a)
		}
	}
	handle := func(back func(Answer)) {
		w.noteOwners(owner)
		owner.replies[id] = back
		var out Effects
		owner.owner.Ask(w.now, Ask{id, c.key, limit, 1}, w.standsIn(owner, c.key), &out)
		w.apply(owner, &out)
	}
	if owner == vm {
		handle(reply)
		return
	}
	w.after(AskTimeout, func() {
		if !finished {
			finished = true
			vm.asker.TimedOut(w.now, name)
			w.ask(vm, c, attempt+1, done)
		}
	})
	w.send(vm, owner, func() { handle(func(a Answer) { w.send(owner, vm, func() { reply(a) }) }) })
}

// request sends one request of a customer to a random VM.
func (w *world) request(c *customer) {
	vm := w.vmList[w.random.IntN(len(w.vmList))]
	if vm.down || w.now.Before(vm.frozenUntil) {
		return
	}
	w.requests++
	c.sent++
	done := func(a Answer) {
		if a.Granted {
			c.granted = append(c.granted, w.now)
		} else {
			c.denied++
		}
	}
	if a, decided := vm.asker.Take(w.now, c.key, c.limit, 1); decided {
		done(a)
		return
	}
	w.ask(vm, c, 1, done)
}

func (w *world) arrivals(c *customer) {
	rate := c.usual
	if c.hot && (!c.bursts || w.now.Sub(start)%(20*time.Second) >= 10*time.Second) {
		rate *= 7.5
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.request(c)
		w.arrivals(c)
	})
}

func (w *world) run() {
	for _, c := range w.customers {
		w.arrivals(c)
	}
	for _, vm := range w.vmList {
		w.ticks(vm)
	}
	// The order of the faults decides the order of other events at the same time, and has to be the same in each run.
	for _, at := range slices.Sorted(maps.Keys(w.fault)) {
		w.after(at, func() { w.fault[at](w) })
	}
	w.after(w.countFrom, func() {
		w.messages, w.between, w.requests = 0, 0, 0
		for _, c := range w.customers {
			c.sent, c.denied = 0, 0
		}
	})
	for end := start.Add(w.duration); w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
}

func (w *world) ticks(vm *worldVM) {
	w.after(MaxGap/2, func() {
		if !vm.down {
			w.tick(vm)
		}
		w.ticks(vm)
	})
}

// result is what a run shows: use is the greatest share of the bound that was used in a window, and excess the number of requests
// above the bound.
type result struct {
	use, excess, refused float64
	hotUse               float64
	messages, between    float64
}

func (w *world) result() result {
	var r result
	sent, denied := 0, 0
	for _, c := range w.customers {
		bound := (c.limit.Rate*quotaWindow.Seconds()+c.limit.Burst)*1.1 + 20
		first := 0
		for i, t := range c.granted {
			for t.Sub(c.granted[first]) >= quotaWindow {
				first++
			}
			n := float64(i - first + 1)
			r.use, r.excess = max(r.use, n/bound), max(r.excess, n-bound)
		}
		if c.bursts {
			continue
		}
		if c.hot {
			r.hotUse = float64(len(c.granted)) / (c.limit.Rate * w.duration.Seconds())
			continue
		}
		sent, denied = sent+c.sent, denied+c.denied
	}
	r.refused = float64(denied) / float64(sent)
	r.messages, r.between = float64(w.messages)/float64(w.requests), float64(w.between)/float64(w.requests)
	return r
}

// hotOwner returns the first owner of the customer that sends bursts, in the zone of the first VM.
func (w *world) hotOwner() *worldVM {
	if w.design == equalShares {
		return w.vmList[0]
	}
	return w.byName[w.order(w.customers[4].key, w.scope(w.vmList[0]))[0]]
}

// cutHotOwners separates the first two owners of the customer that sends all the time, in the zone of the first VM.
func cutHotOwners(w *world) {
	order := w.order(w.customers[2].key, w.scope(w.vmList[0]))
	w.cutPair, w.cutAt = [2]*worldVM{w.byName[order[0]], w.byName[order[1]]}, w.now
}

func freeze(d time.Duration) func(*world) {
	return func(w *world) { vm := w.hotOwner(); vm.frozenAt, vm.frozenUntil = w.now, w.now.Add(d) }
}

var faults = []struct {
	name string
	load load
}{
	{"none", load{}},
	{"2% of messages lost", load{loss: 0.02}},
	{"zone cut off for 20 s", load{fault: map[time.Duration]func(*world){
		30 * time.Second: func(w *world) { w.cutZone, w.cutAt = "az-1", w.now },
		50 * time.Second: func(w *world) { w.cutZone = "" },
	}}},
	{"owner frozen for 2 s, 4 s and 10 s", load{fault: map[time.Duration]func(*world){
		20 * time.Second: freeze(2 * time.Second), 30 * time.Second: freeze(4 * time.Second), 45 * time.Second: freeze(10 * time.Second),
	}}},
	{"owner killed, back after 5 s", load{fault: map[time.Duration]func(*world){
		30 * time.Second: func(w *world) { w.hotOwner().down = true },
		35 * time.Second: func(w *world) { vm := w.hotOwner(); vm.down = false; w.boot(vm) },
	}}},
	{"two owners cut off from each other, 20 s", load{fault: map[time.Duration]func(*world){
		30 * time.Second: func(w *world) {
			if w.design != equalShares {
				cutHotOwners(w)
			}
		},
		50 * time.Second: func(w *world) { w.cutPair = [2]*worldVM{} },
	}}},
	{"all VMs restarted", load{fault: map[time.Duration]func(*world){
		30 * time.Second: func(w *world) {
			for _, vm := range w.vmList {
				w.boot(vm)
			}
		},
	}}},
}

// Guards against quotas that are exceeded under a fault, or that refuse requests of customers that stay below them. The load is that of
// deployment A with the latencies of deployment B; one customer sends 4.7 times its quota all the time, and another one in bursts.
func TestDesignsUnderFaults(t *testing.T) {
	for _, f := range faults {
		for d := equalShares; d <= zoneSlices; d++ {
			l := f.load
			l.design, l.vms, l.zones, l.duration = d, 66, 3, 70*time.Second
			var worst result
			for seed := range uint64(2) {
				w := newWorld(l, seed)
				w.run()
				r := w.result()
				worst = result{max(worst.use, r.use), max(worst.excess, r.excess), max(worst.refused, r.refused), max(worst.hotUse, r.hotUse), max(worst.messages, r.messages), max(worst.between, r.between)}
			}
			t.Logf("%-42s %-13s bound used %4.2f, excess %3.0f, refused below the limit %.5f, used by the one above it %4.2f, messages %4.2f, between zones %4.2f", f.name, d, worst.use, worst.excess, worst.refused, worst.hotUse, worst.messages, worst.between)
			if d != zoneSlices {
				continue
			}
			require.LessOrEqual(t, worst.excess, 0.0, f.name)
			require.LessOrEqual(t, worst.hotUse, 1.1, "%s: two owners of a zone must not double its rate", f.name)
			if f.name == "none" {
				require.LessOrEqual(t, worst.refused, 1.0/500)
			}
		}
	}
}

// Guards against a lowered limit that does not bind one window after all VMs have it.
func TestLoweredLimitBindsAfterOneWindow(t *testing.T) {
	const at = 30 * time.Second
	var hot *customer
	l := load{design: zoneSlices, vms: 66, zones: 3, duration: 80 * time.Second, fault: map[time.Duration]func(*world){at: func(w *world) {
		hot = w.customers[2]
		hot.limit = quota(hot.limit.Rate/4, hot.limit.Burst/4, 2)
	}}}
	w := newWorld(l, 1)
	w.run()
	bound := (hot.limit.Rate*quotaWindow.Seconds()+hot.limit.Burst)*1.1 + 20
	var window []time.Time
	for _, g := range hot.granted {
		if g.Before(start.Add(at)) {
			continue
		}
		window = append(window, g)
		for g.Sub(window[0]) >= quotaWindow {
			window = window[1:]
		}
		require.LessOrEqual(t, float64(len(window)), bound)
	}
}

// Guards against messages for each request that grow with the number of VMs.
func TestMessagesPerRequest(t *testing.T) {
	for _, vms := range []int{66, 300} {
		for d := equalShares; d <= zoneSlices; d++ {
			w := newWorld(load{design: d, vms: vms, zones: 3, duration: 30 * time.Second, countFrom: 6 * time.Second}, 1)
			w.run()
			r := w.result()
			t.Logf("%4d VMs, %-13s messages %4.2f, between zones %4.2f, refused below the limit %.5f", vms, d, r.messages, r.between, r.refused)
			require.Less(t, r.messages, 2.5)
		}
	}
}

// BenchmarkMessagesAtTargetSize counts the messages for each request at the size of section 1.6 of the design page.
func BenchmarkMessagesAtTargetSize(b *testing.B) {
	for d := oneOwner; d <= zoneSlices; d++ {
		b.Run(d.String(), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(load{design: d, vms: 5200, zones: 7, duration: 8 * time.Second, countFrom: 6 * time.Second}, 1)
				w.run()
				r := w.result()
				b.ReportMetric(r.messages, "messages/request")
				b.ReportMetric(r.between, "between-zones/request")
			}
		})
	}
}
