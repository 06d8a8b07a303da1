package integration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
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

// conditionTimeout limits every wait for a condition. It is far longer than any limit on the design page, because the
// result must not depend on the speed of the machine.
const conditionTimeout = 60 * time.Second

// conditionPollInterval is the time between two checks of a condition.
const conditionPollInterval = 50 * time.Millisecond

// scenario is the state of one script.
type scenario struct {
	dir    string
	ipBase string
	mesh   *mesh
	vms    []*vm
	// extraSettings are written to the settings file of each VM.
	extraSettings bench.Sections
	// localServices are the services of a system without control VMs. services are the services of the configuration
	// that the script command up applies.
	localServices string
	services      string
	// revision is the revision of the last accepted change.
	revision uint64
	targets  map[string]*standin.Target
	// targetZones holds the availability zone of each target.
	targetZones map[string]string
	// layouts are the layouts that the checker compares answers with, taken from the options of the targets. Loads read
	// them while the script adds layouts, so layoutsLock guards them.
	layoutsLock sync.RWMutex
	layouts     map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	caller      *bench.Caller
	loads       map[string]*runningLoad
	reports     map[string]*bench.Report
	// lastResult is the result of the last query or order.
	lastResult bench.Result
	orders     map[string]*orderState
	// failure is the error of the command that has failed.
	failure error
	// allowed are the checks that the script has lifted.
	allowed map[string]bool
	ts      *testscript.TestScript
	// number starts as the number of the scenario, and counts the requests from there. It seeds targets and loads.
	number int
}

type runningLoad struct {
	load     *bench.RunningLoad
	balancer *bench.Balancer
}

type scenarioKey struct{}

// setUp prepares the scenario of a script. Everything that the scenario starts is stopped when the script ends.
func setUp(env *testscript.Env) error {
	scenarioSlots <- struct{}{}
	env.Defer(func() { <-scenarioSlots })
	n := int(scenarioCount.Add(1))
	s := &scenario{
		dir: env.WorkDir, ipBase: fmt.Sprintf("127.%d.%d.", subnet, n), extraSettings: bench.Sections{},
		targets: map[string]*standin.Target{}, targetZones: map[string]string{},
		layouts: map[model.ServiceName]map[model.LayoutNumber]*model.Layout{},
		loads:   map[string]*runningLoad{}, reports: map[string]*bench.Report{},
		orders: map[string]*orderState{}, allowed: map[string]bool{}, number: n,
	}
	s.mesh = newMesh(s.ipBase + "250")
	s.caller = bench.NewCaller(s.layout)
	env.Values[scenarioKey{}] = s
	env.Setenv("BINARY", binary)
	env.Defer(func() {
		err := s.checkInvariants()
		s.close()
		if err != nil || env.T().(interface{ Failed() bool }).Failed() {
			env.T().Log(s.keepEvidence(err))
		}
		if err != nil {
			env.T().Fatal(err)
		}
	})
	return nil
}

// checkInvariants checks at the end of every scenario: no attempt and no order has run twice, no target has had more
// connections than its limit, and no process has ended unexpectedly.
func (s *scenario) checkInvariants() error {
	for name := range s.orders {
		if n, err := s.executions(name); err != nil || n > 1 {
			return fmt.Errorf("order %s has run %v times", name, n)
		}
	}
	for name, t := range s.targets {
		c := t.Counts()
		if c.RepeatedAttempts > 0 || c.RepeatedOrders > 0 {
			return fmt.Errorf("target %s: %d attempts and %d orders have run more than once", name, c.RepeatedAttempts, c.RepeatedOrders)
		}
		if c.RefusedConnections > 0 && !s.allowed["refused_connections"] {
			return fmt.Errorf("target %s refused %d connections beyond its limit", name, c.RefusedConnections)
		}
	}
	for _, v := range s.vms {
		if v.process != nil && !v.running() && !v.exitExpected {
			return fmt.Errorf("the process of VM %s has ended unexpectedly: %w\n%s", v.name, v.exitErr, v.logTail())
		}
	}
	return nil
}

// command makes a script command from a method of the scenario. A script line that negates the command expects an error of
// the method.
func command(fn func(s *scenario, args []string) error) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(scenarioKey{}).(*scenario)
		s.ts = ts
		err := fn(s, args)
		if err != nil && !neg {
			s.failure = err
			s.logState()
			ts.Fatalf("%v", err)
		}
		if err == nil && neg {
			ts.Fatalf("unexpected success")
		}
	}
}

// logState logs the ends of the VMs' logs and the counts of the targets, to explain a failure.
func (s *scenario) logState() {
	for _, v := range s.vms {
		s.ts.Logf("--- log of VM %s\n%s", v.name, v.logTail())
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		s.ts.Logf("--- target %s: %+v", name, s.targets[name].Counts())
	}
}

// failureFile has the errors of a failed scenario, the counts of its targets and the pauses of the test process.
const failureFile = "failure"

// keepEvidence copies the whole logs and the settings of all VMs to a folder that remains, and returns a line that names it.
func (s *scenario) keepEvidence(violation error) string {
	folder, err := os.MkdirTemp("", "scenario")
	if err != nil {
		return fmt.Sprintf("the logs are not kept: %v", err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "command: %v\ninvariants: %v\n", s.failure, violation)
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		fmt.Fprintf(&text, "target %s: %+v\n", name, s.targets[name].Counts())
	}
	for _, line := range pauses.all() {
		fmt.Fprintln(&text, line)
	}
	err = os.WriteFile(filepath.Join(folder, failureFile), []byte(text.String()), 0o600)
	for _, v := range s.vms {
		for _, file := range []string{v.logFile(), v.settingsFile()} {
			data, readErr := os.ReadFile(file)
			if errors.Is(readErr, os.ErrNotExist) {
				continue // The VM was not started.
			}
			err = errors.Join(err, readErr, os.WriteFile(filepath.Join(folder, v.name+"-"+filepath.Base(file)), data, 0o600))
		}
	}
	return fmt.Sprintf("the logs are in %s, errors while they were kept: %v", folder, err)
}

// close stops the loads, kills the VMs and closes the targets and the mesh.
func (s *scenario) close() {
	for _, l := range s.loads {
		l.load.Stop()
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

// nodes returns the nodes that are named: VMs, targets, all nodes of an availability zone, or "callers".
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

// finalError ends await immediately, since waiting longer cannot help, such as after a violation.
type finalError struct{ error }

// await waits until the condition returns no error. At the time limit, it returns the last error of the condition.
func await(description string, condition func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	ticker := time.NewTicker(conditionPollInterval)
	defer ticker.Stop()
	for {
		err := condition()
		var final finalError
		if err == nil || errors.As(err, &final) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w after %s", description, err, conditionTimeout)
		case <-ticker.C:
		}
	}
}

// options separates positional arguments from options of the form name=value. Conditions are positional.
func options(args []string) (positional []string, named map[string]string) {
	named = map[string]string{}
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok && !strings.ContainsAny(k, "<>!") {
			named[k] = v
		} else {
			positional = append(positional, a)
		}
	}
	return positional, named
}

// popOption removes an option and returns its value, or the fallback when it is absent.
func popOption(named map[string]string, key, fallback string) string {
	if v, ok := named[key]; ok {
		delete(named, key)
		return v
	}
	return fallback
}

// checkNoOptionsLeft returns an error if there are options that no command has read.
func checkNoOptionsLeft(named map[string]string) error {
	if len(named) > 0 {
		return fmt.Errorf("options %v are not known", slices.Sorted(maps.Keys(named)))
	}
	return nil
}

// cmdSystem defines the VMs: system zones=a,b entry=1 control=3 [services=x,y] [section.key=value ...]. Services whose
// name ends in -order accept orders. Entry VMs are named after their zone and number (a1), control VMs k1, k2 and so on.
func (s *scenario) cmdSystem(args []string) error {
	positional, named := options(args)
	if len(positional) > 0 {
		return fmt.Errorf("arguments %v are not options", positional)
	}
	zones := strings.Split(popOption(named, "zones", "a"), ",")
	entry, control := 0, 0
	if _, err := fmt.Sscan(popOption(named, "entry", "1"), &entry); err != nil {
		return err
	}
	if _, err := fmt.Sscan(popOption(named, "control", "0"), &control); err != nil {
		return err
	}
	s.services = popOption(named, "services", "")
	if control == 0 {
		s.localServices = s.services
	}
	for key, value := range named {
		section, name, ok := strings.Cut(key, ".")
		if !ok {
			return fmt.Errorf("unknown option %q", key)
		}
		s.extraSettings.Set(section, name, value)
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
	for _, name := range s.vmsWithRole("control") {
		v, err := s.vm(name)
		if err != nil {
			return err
		}
		if err := s.initControlVM(v); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) addVM(name, zone, role string) {
	v := &vm{name: name, zone: zone, roles: []string{role}, ip: fmt.Sprintf("%s%d", s.ipBase, len(s.vms)+1), dir: filepath.Join(s.dir, "vm-"+name)}
	s.mesh.recordNode(v.ip, name)
	s.vms = append(s.vms, v)
}

// cmdVM starts, stops or damages VMs: vm start|stop|kill|freeze|thaw|wipe|tear NAME... Without names, start starts all VMs.
func (s *scenario) cmdVM(args []string) error {
	if len(args) == 0 {
		return errors.New("use vm ACTION NAME...")
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
		if err := s.runVMAction(args[0], v); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) runVMAction(action string, v *vm) error {
	switch action {
	case "start":
		return v.start()
	case "kill":
		return v.end(syscall.SIGKILL)
	case "stop":
		if err := v.end(syscall.SIGTERM); err != nil {
			return err
		}
		if v.exitErr != nil {
			return fmt.Errorf("VM %s ended with an error after SIGTERM: %w", v.name, v.exitErr)
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
	return fmt.Errorf("unknown VM action %q", action)
}

// cmdNet partitions the network or heals it: net cut|blackhole A,B C,D or net heal. Without a second set, the first set is
// cut off from all other nodes.
func (s *scenario) cmdNet(args []string) error {
	if len(args) == 1 && args[0] == "heal" {
		return s.mesh.heal()
	}
	if len(args) < 2 {
		return errors.New("use net cut|blackhole SET [SET] or net heal")
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
		return s.mesh.cut(a, b, args[0] == "blackhole")
	}
	for _, v := range s.vms {
		b[v.name] = !a[v.name]
	}
	for t := range s.targetZones {
		b[t] = !a[t]
	}
	return s.mesh.cut(a, b, args[0] == "blackhole")
}

// cmdAllow lifts checks of checkInvariants: allow refused_connections.
func (s *scenario) cmdAllow(args []string) error {
	for _, a := range args {
		s.allowed[a] = true
	}
	return nil
}
