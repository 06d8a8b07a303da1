package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	portControl   = "8224"
	portFront     = "8226"
	portReadiness = "8227"
)

// bounds are those of the settings of a small deployment.
const (
	drainTime    = 3 * time.Second
	settleWindow = 4 * time.Second
	beatInterval = 1200 * time.Millisecond
	// answerTime is how long callers of control wait for an answer before they call the next node.
	answerTime = time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// node is one machine: a process of the program with the settings that the deploy file's template gives.
type node struct {
	system                   *system
	role, ip, zone, settings string
	process                  *exec.Cmd
	ended                    chan struct{}
}

// system is a small deployment on loopback addresses: three control nodes and entry nodes.
type system struct {
	rec       *recorder
	root, tmp string
	prefix    string
	control   []*node
	entry     []*node
}

func newSystem(rec *recorder, root string, entries int) (*system, error) {
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, tmp: tmp}
	for i := range 200 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200)%250)
		if l, err := net.Listen("tcp", s.prefix+".1:"+portControl); err == nil {
			_ = l.Close()
			break
		}
	}
	for i := range 3 {
		s.control = append(s.control, &node{system: s, role: "control", ip: fmt.Sprintf("%s.%d", s.prefix, 1+i), zone: zones[i]})
	}
	for i := range entries {
		s.entry = append(s.entry, &node{system: s, role: "entry", ip: fmt.Sprintf("%s.%d", s.prefix, 11+i), zone: zones[i%len(zones)]})
	}
	return s, nil
}

func (s *system) nodes() []*node { return append(append([]*node{}, s.control...), s.entry...) }

// start starts all nodes and waits until a first configuration is acknowledged and all entry nodes are ready.
func (s *system) start(configuration string) error {
	for _, n := range s.nodes() {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return s.putConfig(configuration, 20*time.Second)
}

// waitReady waits until the readiness probes of all entry nodes are answered with 200.
func (s *system) waitReady() error {
	for _, n := range s.entry {
		err := eventually(20*time.Second, func() bool {
			resp, err := httpClient(answerTime).Get("http://" + n.ip + ":" + portReadiness + "/-/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", n.ip, err)
		}
	}
	return nil
}

// putConfig sends a configuration to one control node after the other until it is acknowledged.
func (s *system) putConfig(configuration string, limit time.Duration) error {
	i := 0
	return eventually(limit, func() bool {
		n := s.control[i%len(s.control)]
		i++
		status, _, err := call(http.MethodPut, "http://"+n.ip+":"+portControl+"/-/config", []byte(configuration), answerTime)
		s.rec.logf("operator: configuration sent to %s: status %d, %v", n.ip, status, err)
		return status == http.StatusOK
	})
}

// stop kills all processes that are still running and removes the temporary folder.
func (s *system) stop() {
	for _, n := range s.nodes() {
		n.signal(syscall.SIGKILL)
		if n.ended != nil {
			<-n.ended
		}
	}
	_ = os.RemoveAll(s.tmp)
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings(bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(n.system.root, "deploy", n.role+".ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, c := range n.system.control {
		seeds = append(seeds, c.ip+":"+portControl)
	}
	dataDir := filepath.Join(n.system.tmp, n.ip, "data")
	if err := os.MkdirAll(dataDir, 0o755); err != nil {
		return err
	}
	values := map[string]string{
		"ip": n.ip, "zone": n.zone, "dataDir": dataDir, "seeds": strings.Join(seeds, ","), "internalPorts.0": "7740", "internalPorts.1": "7741",
		"listenAddrs.control": n.ip + ":" + portControl, "listenAddrs.front": n.ip + ":" + portFront, "listenAddrs.readiness": n.ip + ":" + portReadiness,
		"limits.cpuShare": "0.4", "bootstrap": fmt.Sprint(bootstrap), "faultTolerance.machines": "1",
		"bounds.budgetSlack": "58", "bounds.budgetWindowS": "10", "bounds.retryBudgetRatio": "0.2",
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string {
		name := placeholder.FindStringSubmatch(m)[1]
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("no value for %s in the template of %s", name, n.role)
		}
		return v
	})
	if missing != nil {
		return missing
	}
	n.settings = filepath.Join(n.system.tmp, n.ip, "boot.toml")
	return os.WriteFile(n.settings, []byte(text), 0o644)
}

// start starts the process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	if err := n.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.system.tmp, n.ip, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(n.system.root, "target", "chestnuttiller"), "run", "--settings", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.system.root, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = cmd, ended
	n.system.rec.logf("%s node %s started, process %d", n.role, n.ip, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.system.rec.logf("%s node %s ended: %v", n.role, n.ip, err)
		close(ended)
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	if n.process == nil {
		return
	}
	select {
	case <-n.ended:
	default:
		_ = n.process.Process.Signal(sig)
		if sig != syscall.SIGKILL {
			n.system.rec.logf("%s node %s got signal %v", n.role, n.ip, sig)
		}
	}
}

// keepLogs copies the logs of the nodes into a folder.
func (s *system) keepLogs(folder string) {
	_ = os.MkdirAll(folder, 0o755)
	for _, n := range s.nodes() {
		if data, err := os.ReadFile(filepath.Join(s.tmp, n.ip, "log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, n.role+"-"+n.ip+".log"), data, 0o644)
		}
	}
}

func eventually(limit time.Duration, fn func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if fn() {
			return nil
		}
	}
	return errors.New("timed out")
}

// httpClient returns a client that opens a new connection for each request and follows up to two redirects.
func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// call sends JSON and returns the status and the body of the answer.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := httpClient(timeout).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func toJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
