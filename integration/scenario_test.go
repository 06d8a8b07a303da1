package integration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chestnuttiller/chestnuttiller/internal/bench"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// conditionLimit bounds every wait for a condition. It is far beyond any bound of the design page, because a verdict
// must not hang on the speed of the machine.
const conditionLimit = 60 * time.Second

// conditionInterval is how often a condition is looked at.
const conditionInterval = 50 * time.Millisecond

// scenario is the state of one script.
type scenario struct {
	dir    string
	ipBase string
	mesh   *mesh
	vms    []*vm
	extra  bench.Sections
	// local lists the services of a system without control VMs, services those of the configuration that up applies.
	local    string
	services string
	// revision is the revision of the last change that was accepted.
	revision uint64
	targets  map[string]*standin.Target
	// targetZones holds the availability zone of each target.
	targetZones map[string]string
	// layouts is what the checker knows of layouts, from the targets' own options. Loads read it while the script
	// adds layouts, so that layoutsLock guards it.
	layoutsLock sync.RWMutex
	layouts     map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	caller      *bench.Caller
	loads       map[string]*runningLoad
	reports     map[string]*bench.Report
	// answer is the result of the last query or order.
	answer bench.Result
	orders map[string]*orderState
	allow  map[string]bool
	ts     *testscript.TestScript
	number int
}

type runningLoad struct {
	running  *bench.RunningLoad
	balancer *bench.Balancer
}

type scenarioKey struct{}

// setUp prepares a script. Everything that it starts ends with it.
func setUp(env *testscript.Env) error {
	running <- struct{}{}
	env.Defer(func() { <-running })
	n := int(scenarios.Add(1))
	s := &scenario{
		dir: env.WorkDir, ipBase: fmt.Sprintf("127.%d.%d.", subnet, n), extra: bench.Sections{},
		targets: map[string]*standin.Target{}, targetZones: map[string]string{},
		layouts: map[model.ServiceName]map[model.LayoutNumber]*model.Layout{},
		loads:   map[string]*runningLoad{}, reports: map[string]*bench.Report{},
		orders: map[string]*orderState{}, allow: map[string]bool{}, number: n,
	}
	s.mesh = newMesh(s.ipBase + "250")
	s.caller = bench.NewCaller(s.layout)
	env.Values[scenarioKey{}] = s
	env.Setenv("BINARY", binary)
	env.Defer(func() {
		err := s.checkEnd()
		s.close()
		if err != nil {
			env.T().Fatal(err)
		}
	})
	return nil
}

// checkEnd checks what holds in every scenario: no attempt and no order has run twice, no target was connected to beyond
// its limit, and no process has ended by itself.
func (s *scenario) checkEnd() error {
	for name := range s.orders {
		if n, err := s.executions(name); err != nil || n > 1 {
			return fmt.Errorf("order %s has run %v times", name, n)
		}
	}
	for name, t := range s.targets {
		c := t.Counts()
		if c.RepeatedAttempts > 0 || c.RepeatedOrders > 0 {
			return fmt.Errorf("target %s: %d attempts and %d orders have run again", name, c.RepeatedAttempts, c.RepeatedOrders)
		}
		if c.RefusedConnections > 0 && !s.allow["refused_connections"] {
			return fmt.Errorf("target %s: %d connections were beyond its limit", name, c.RefusedConnections)
		}
	}
	for _, v := range s.vms {
		if v.process != nil && !v.running() && !v.expected {
			return fmt.Errorf("the process of VM %s has ended by itself: %w\n%s", v.name, v.exit, v.logTail())
		}
	}
	return nil
}

// verb turns a method into a command of scripts.
func verb(fn func(s *scenario, args []string) error) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(scenarioKey{}).(*scenario)
		s.ts = ts
		err := fn(s, args)
		if err != nil && !neg {
			s.logState()
			ts.Fatalf("%v", err)
		}
		if err == nil && neg {
			ts.Fatalf("unexpected success")
		}
	}
}

// logState writes the ends of the VMs' logs for the reader of a failure.
func (s *scenario) logState() {
	for _, v := range s.vms {
		s.ts.Logf("--- log of VM %s\n%s", v.name, v.logTail())
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		s.ts.Logf("--- target %s: %+v", name, s.targets[name].Counts())
	}
}

// close ends everything that the scenario has started.
func (s *scenario) close() {
	for _, l := range s.loads {
		l.running.Stop()
		l.balancer.Close()
	}
	for _, v := range s.vms {
		if v.running() {
			_ = v.signal(syscall.SIGCONT)
			_ = v.end(syscall.SIGKILL)
		}
	}
	for _, t := range s.targets {
		t.Close()
	}
	s.caller.Close()
	s.mesh.close()
}

func (s *scenario) layout(service model.ServiceName, n model.LayoutNumber) *model.Layout {
	s.layoutsLock.RLock()
	defer s.layoutsLock.RUnlock()
	return s.layouts[service][n]
}

func (s *scenario) vm(name string) (*vm, error) {
	for _, v := range s.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("there is no VM %q", name)
}

func (s *scenario) target(name string) (*standin.Target, error) {
	if t, ok := s.targets[name]; ok {
		return t, nil
	}
	return nil, fmt.Errorf("there is no target %q", name)
}

// nodes returns the names of the nodes that names of VMs, targets, availability zones and "callers" stand for.
func (s *scenario) nodes(names []string) (map[string]bool, error) {
	out := map[string]bool{}
	for _, name := range names {
		found := name == callers
		out[name] = true
		for _, v := range s.vms {
			if v.name == name || v.zone == name {
				out[v.name], found = true, true
			}
		}
		for t, zone := range s.targetZones {
			if t == name || zone == name {
				out[t], found = true, true
			}
		}
		if !found {
			return nil, fmt.Errorf("there is no VM, target or availability zone %q", name)
		}
	}
	return out, nil
}

// finalError says that waiting longer cannot help, such as after a violation.
type finalError struct{ error }

// await waits until the condition holds. The error says what is missing.
func await(what string, condition func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionLimit)
	defer cancel()
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for {
		err := condition()
		var final finalError
		if err == nil || errors.As(err, &final) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w after %s", what, err, conditionLimit)
		case <-ticker.C:
		}
	}
}

// options splits name=value arguments from the others.
func options(args []string) (plain []string, named map[string]string) {
	named = map[string]string{}
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok && !strings.ContainsAny(k, "<>!") {
			named[k] = v
		} else {
			plain = append(plain, a)
		}
	}
	return plain, named
}

// take removes an option and returns its value or a default.
func take(named map[string]string, key, fallback string) string {
	if v, ok := named[key]; ok {
		delete(named, key)
		return v
	}
	return fallback
}

func noOptions(named map[string]string) error {
	if len(named) > 0 {
		return fmt.Errorf("options %v are not known", slices.Sorted(maps.Keys(named)))
	}
	return nil
}

// cmdSystem defines the VMs: system zones=a,b entry=1 control=3 [services=x,y] [section.key=value ...]. Services whose
// name ends in -order take orders.
// Entry VMs are named after their zone and number (a1), control VMs k1, k2 and so on.
func (s *scenario) cmdSystem(args []string) error {
	plain, named := options(args)
	if len(plain) > 0 {
		return fmt.Errorf("arguments %v are not options", plain)
	}
	zones := strings.Split(take(named, "zones", "a"), ",")
	entry, control := 0, 0
	if _, err := fmt.Sscan(take(named, "entry", "1"), &entry); err != nil {
		return err
	}
	if _, err := fmt.Sscan(take(named, "control", "0"), &control); err != nil {
		return err
	}
	s.services = take(named, "services", "")
	if control == 0 {
		s.local = s.services
	}
	for key, value := range named {
		section, name, ok := strings.Cut(key, ".")
		if !ok {
			return fmt.Errorf("option %q is not known", key)
		}
		s.extra.Set(section, name, value)
	}
	for i := range control {
		s.addVM(fmt.Sprintf("k%d", i+1), zones[i%len(zones)], "control")
	}
	for _, zone := range zones {
		for i := range entry {
			s.addVM(fmt.Sprintf("%s%d", zone, i+1), zone, "entry")
		}
	}
	if err := s.writeSettings(); err != nil {
		return err
	}
	for _, name := range s.namesOf("control") {
		v, err := s.vm(name)
		if err != nil {
			return err
		}
		if err := s.initControl(v); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) addVM(name, zone, role string) {
	v := &vm{name: name, zone: zone, roles: []string{role}, ip: fmt.Sprintf("%s%d", s.ipBase, len(s.vms)+1), dir: filepath.Join(s.dir, "vm-"+name)}
	s.mesh.name(v.ip, name)
	s.vms = append(s.vms, v)
}

// cmdVM acts on processes: vm start|stop|kill|freeze|thaw|wipe|tear NAME... Without names, start takes all VMs.
func (s *scenario) cmdVM(args []string) error {
	if len(args) == 0 {
		return errors.New("say what to do")
	}
	names := args[1:]
	if len(names) == 0 && args[0] == "start" {
		for _, v := range s.vms {
			names = append(names, v.name)
		}
	}
	for _, name := range names {
		v, err := s.vm(name)
		if err != nil {
			return err
		}
		if err := s.actOnVM(args[0], v); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) actOnVM(action string, v *vm) error {
	switch action {
	case "start":
		return v.start()
	case "kill":
		return v.end(syscall.SIGKILL)
	case "stop":
		if err := v.end(syscall.SIGTERM); err != nil {
			return err
		}
		if v.exit != nil {
			return fmt.Errorf("VM %s was stopped and ended with %w", v.name, v.exit)
		}
		return nil
	case "freeze":
		return v.signal(syscall.SIGSTOP)
	case "thaw":
		return v.signal(syscall.SIGCONT)
	case "wipe":
		return s.wipe(v)
	case "tear":
		return tear(v)
	}
	return fmt.Errorf("action %q is not known", action)
}

// cmdNet cuts and heals: net cut|silence A,B C,D or net heal. Without a second set the first is cut from all others.
func (s *scenario) cmdNet(args []string) error {
	if len(args) == 1 && args[0] == "heal" {
		return s.mesh.heal()
	}
	if len(args) < 2 {
		return errors.New("use net cut|silence SET [SET] or net heal")
	}
	a, err := s.nodes(strings.Split(args[1], ","))
	if err != nil {
		return err
	}
	b := map[string]bool{}
	if len(args) > 2 {
		if b, err = s.nodes(strings.Split(args[2], ",")); err != nil {
			return err
		}
		return s.mesh.cut(a, b, args[0] == "silence")
	}
	for _, v := range s.vms {
		b[v.name] = !a[v.name]
	}
	for t := range s.targetZones {
		b[t] = !a[t]
	}
	return s.mesh.cut(a, b, args[0] == "silence")
}

// cmdAllow lifts a check at the end of the scenario: allow refused_connections|exits.
func (s *scenario) cmdAllow(args []string) error {
	for _, a := range args {
		s.allow[a] = true
	}
	return nil
}
