package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds are those of the deployment rlm-sfax.
const (
	settleWindow  = 4 * time.Second
	catchUp       = 4 * time.Second
	recovery      = 12 * time.Second
	grace         = 6 * time.Second
	configApply   = 3 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "settleWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
	"budgetWindowS": 10, "budgetSlack": 58, "recoveryS": 12,
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

const (
	frontPort     = 18226
	readinessPort = 18227
	controlPort   = 18224
	internalPort  = 17740
)

// recorder writes the record of a run.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now()}, nil
}

// deployment is a set of machines on loopback addresses.
type deployment struct {
	repository string
	// label begins the lines of the record where several deployments share it.
	label    string
	folder   string
	prefix   string
	recorder *recorder
	machines []*machine
	leafs    []*leaf
}

func newDeployment(repository, label string, r *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	d := &deployment{repository: repository, label: label, folder: folder, recorder: r}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if d.isFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (d *deployment) isFree() bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []int{frontPort, readinessPort, controlPort, internalPort, internalPort + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.prefix, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
	}
	for _, l := range d.leafs {
		l.close()
	}
	os.RemoveAll(d.folder)
}

// record writes one line with the seconds since the start.
func (d *deployment) record(format string, args ...any) {
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	fmt.Fprintf(d.recorder.file, "%8.3f  %s%s\n", time.Since(d.recorder.started).Seconds(), d.label, fmt.Sprintf(format, args...))
}

// machine is one machine with one process of the program.
type machine struct {
	d                    *deployment
	name, ip, zone, role string
	dir                  string
	mu                   sync.Mutex
	process              *exec.Cmd
	ended                chan struct{}
	asked                bool
}

// add adds a machine that is not started yet. The role is front or core.
func (d *deployment) add(name, role, zone string) *machine {
	m := &machine{d: d, name: name, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", d.prefix, len(d.machines)+1), dir: filepath.Join(d.folder, name)}
	d.machines = append(d.machines, m)
	return m
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, readinessPort) }
func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// start starts the process with the command of the deploy file. seeds are the control addresses that its settings name.
func (m *machine) start(seeds []string, bootstrap bool) error {
	template := "deploy/entry.ini"
	if m.role == "core" {
		template = "deploy/control.ini"
	}
	raw, err := os.ReadFile(filepath.Join(m.d.repository, template))
	if err != nil {
		return err
	}
	zones := map[string]any{}
	for _, z := range zoneNames {
		zones[z] = "region"
	}
	settings, err := render(string(raw), map[string]any{
		"ip": m.ip, "zone": m.zone, "zones": zones, "dataDir": m.dataDir(), "seeds": seeds, "bootstrap": bootstrap,
		"internalPorts":  []string{fmt.Sprint(internalPort), fmt.Sprint(internalPort + 15)},
		"listenAddrs":    map[string]any{"front": m.front(), "readiness": m.ready(), "control": m.control()},
		"limits":         map[string]any{"cpuShare": 0.4},
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds":         bounds,
	})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
		return err
	}
	file := filepath.Join(m.dir, "boot.toml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.d.repository, "target/chestnuttiller"), "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.asked = cmd, ended, false
	m.mu.Unlock()
	m.d.record("%s (%s, %s) starts at %s, first start of the whole system: %v", m.name, m.role, m.zone, m.ip, bootstrap)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		asked := m.asked
		m.mu.Unlock()
		m.d.record("%s has ended: %v, was told to: %v", m.name, err, asked)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of the machine if it runs.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	select {
	case <-m.ended:
		return
	default:
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		m.asked = true
	}
	m.d.record("%s gets %v", m.name, sig)
	_ = m.process.Process.Signal(sig) // A process that has just ended needs none.
}

// awaitEnd waits for the end of the process and reports whether it came in time.
func (m *machine) awaitEnd(limit time.Duration) bool {
	select {
	case <-m.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.mu.Lock()
	running := m.process != nil
	m.mu.Unlock()
	if running {
		m.signal(syscall.SIGKILL)
		m.awaitEnd(5 * time.Second)
	}
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	if !m.awaitEnd(grace) {
		m.kill()
	}
}

// wipe removes what the disk of the machine holds.
func (m *machine) wipe() error {
	m.d.record("%s loses its disk", m.name)
	return os.RemoveAll(m.dataDir())
}

// callTimeout is how long the operator and the leafs wait for an answer, as the pages say.
const callTimeout = time.Second

var callTransport = &http.Transport{DisableKeepAlives: true}

// call sends one call to a control or readiness address. A call without an answer has the status 0.
func call(method, address, path string, body []byte) (status int, answer []byte) {
	return callWithin(callTimeout, method, address, path, body)
}

func callWithin(limit time.Duration, method, address, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	caller := http.Client{Timeout: limit, Transport: callTransport}
	resp, err := caller.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// publish sends a configuration to the machines in turn until one acknowledges it.
func (d *deployment) publish(document string, to []*machine, limit time.Duration) bool {
	attempt := 0
	ok := eventually(limit, func() bool {
		m := to[attempt%len(to)]
		attempt++
		status, _ := call(http.MethodPut, m.control(), "/-/config", []byte(document))
		if status == http.StatusOK {
			d.record("%s acknowledges the configuration %.30s...", m.name, document)
		}
		return status == http.StatusOK
	})
	if !ok {
		d.record("no acknowledgement of the configuration %.30s... in %v", document, limit)
	}
	return ok
}
