package integration

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/bench"
	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
)

// The ports of a VM. Each VM has its own loopback address.
const (
	portCallers  = 7400
	portAnnounce = 7401
	portPeer     = 7402
	portOperator = 7403
)

// processExitTimeout limits the wait for the end of a process. It only has to be longer than drain_limit.
const processExitTimeout = 30 * time.Second

// vm is one VM of the system under test. At most one process runs on it at a time.
type vm struct {
	name, zone, ip string
	roles          []string
	dir            string
	process        *exec.Cmd
	ended          chan struct{}
	exitErr        error
	// exitExpected reports whether the scenario has ended the process, or waits for its end.
	exitExpected bool
}

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) hasRole(role string) bool { return strings.Contains(strings.Join(v.roles, ","), role) }

func (v *vm) settingsFile() string { return filepath.Join(v.dir, "settings.ini") }

func (v *vm) dataFolder() string { return filepath.Join(v.dir, "data") }

func (v *vm) logFile() string { return filepath.Join(v.dir, "log") }

// running reports whether a process of the VM has been started and has not ended.
func (v *vm) running() bool {
	if v.process == nil {
		return false
	}
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// start starts the process, which appends to the log file of the VM. It fails if the VM is running already.
func (v *vm) start() error {
	if v.running() {
		return fmt.Errorf("VM %s is running", v.name)
	}
	log, err := os.OpenFile(v.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, "run", "--settings", v.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.process, v.ended, v.exitExpected = cmd, ended, false
	go func() {
		v.exitErr = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, and fails if the VM is not running.
func (v *vm) signal(sig syscall.Signal) error {
	if !v.running() {
		return fmt.Errorf("VM %s is not running", v.name)
	}
	return v.process.Process.Signal(sig)
}

// end sends a signal and waits until the process has ended.
func (v *vm) end(sig syscall.Signal) error {
	v.exitExpected = true
	if err := v.signal(sig); err != nil {
		return err
	}
	return v.wait()
}

func (v *vm) wait() error {
	limit := time.NewTimer(processExitTimeout)
	defer limit.Stop()
	select {
	case <-v.ended:
		return nil
	case <-limit.C:
		return fmt.Errorf("the process of VM %s has not ended within %s", v.name, processExitTimeout)
	}
}

// ready reports whether the VM's readiness probe passes.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Get("http://" + v.addr(portCallers) + callerapi.PathReady)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// logTail returns the last 4 KiB of the VM's log, or nothing if the log cannot be read.
func (v *vm) logTail() string {
	data, _ := os.ReadFile(v.logFile())
	const maxBytes = 4 << 10
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(data)
}

// writeSettings writes the settings files of all VMs. Each VM reaches the others through its own links.
func (s *scenario) writeSettings() error {
	for _, v := range s.vms {
		text, err := s.settingsText(v)
		if err != nil {
			return err
		}
		if err := os.MkdirAll(v.dir, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(v.settingsFile(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) vmsWithRole(role string) []string {
	var out []string
	for _, v := range s.vms {
		if v.hasRole(role) {
			out = append(out, v.name)
		}
	}
	return out
}

func (s *scenario) settingsText(v *vm) (string, error) {
	f := bench.Sections{}
	f.Set("vm", "cluster", "integration")
	f.Set("vm", "name", v.name)
	f.Set("vm", "availability_zone", v.zone)
	f.Set("vm", "roles", strings.Join(v.roles, ","))
	f.Set("vm", "seed", "1")
	f.Set("log", "level", "debug")
	f.Set("peer_transport", "listen", v.addr(portPeer))
	f.Set("shutdown", "drain_delay", "1s")
	f.Set("shutdown", "drain_limit", "20s")
	f.Set("operator", "listen", v.addr(portOperator))
	if v.hasRole("control") {
		f.Set("data", "folder", v.dataFolder())
		f.Set("control", "initial_members", strings.Join(s.vmsWithRole("control"), ","))
	}
	if v.hasRole("entry") {
		f.Set("frontend", "listen", v.addr(portCallers))
		f.Set("announce", "listen", v.addr(portAnnounce))
		f.Set("transport", "source_address", v.ip)
		if s.localServices != "" {
			f.Set("dissemination", "services", s.localServices)
		}
	}
	for section, keys := range s.extraSettings {
		for key, value := range keys {
			f.Set(section, key, value)
		}
	}
	for _, p := range s.vms {
		section := "peer " + p.name
		addr := p.addr(portPeer)
		if p != v {
			var err error
			if addr, err = s.mesh.link(v.name, p.name, addr); err != nil {
				return "", err
			}
		}
		f.Set(section, "address", addr)
		f.Set(section, "availability_zone", p.zone)
		f.Set(section, "roles", strings.Join(p.roles, ","))
	}
	return f.Text(), nil
}
