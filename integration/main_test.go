// Package integration runs scenarios against the real binary: several processes on loopback addresses behind
// fault-injecting proxies, with stand-in targets and callers in the test process. The scenarios are the scripts in
// testdata; docs/scenarios.md maps faults and invariants to them.
package integration

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binary is the path of the program under test.
var binary string

// subnet is the second octet of the loopback addresses that this run uses.
var subnet int

// scenarioCount counts the scenarios of this run. Each one has its own third octet.
var scenarioCount atomic.Int32

// scenarioSlots limits how many scenarios run concurrently. Each scenario starts up to ten processes, and answers
// have to arrive within the deadlines of their services.
var scenarioSlots = make(chan struct{}, 3)

// soakFactor multiplies the number of answers that scenarios wait for.
var soakFactor = flag.Int("soak", 1, "multiply the load of each scenario, for long runs")

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnuttiller-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "chestnuttiller")
	build := exec.Command("go", "build", "-o", binary, "github.com/chestnuttiller/chestnuttiller/cmd/chestnuttiller")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program under test: %v\n%s", err, out)
		return 1
	}
	lock, err := reserveSubnet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer lock.Close()
	go pauses.run()
	return m.Run()
}

// reserveSubnet finds loopback addresses that no other run on this machine uses. The returned listener reserves them.
func reserveSubnet() (net.Listener, error) {
	for subnet = 10; subnet < 250; subnet++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:7999", subnet)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses; end other runs of the integration tests")
}

// TestScenarios runs the scripts in testdata. The head of each script names the faults that it guards against.
func TestScenarios(t *testing.T) { testscript.Run(t, scenarioParams("testdata")) }

func scenarioParams(dir string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"system": command((*scenario).cmdSystem),
			"target": command((*scenario).cmdTarget),
			"vm":     command((*scenario).cmdVM),
			"net":    command((*scenario).cmdNet),
			"query":  command((*scenario).cmdQuery),
			"order":  command((*scenario).cmdOrder),
			"load":   command((*scenario).cmdLoad),
			"await":  command((*scenario).cmdAwait),
			"expect": command((*scenario).cmdExpect),
			"allow":  command((*scenario).cmdAllow),
			"cli":    command((*scenario).cmdCLI),
			"up":     command((*scenario).cmdUp),
			"apply":  command((*scenario).cmdApply),
			"race":   command((*scenario).cmdRace),
		},
	}
}
