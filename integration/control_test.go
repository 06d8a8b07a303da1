package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/bench"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// operatorTimeout limits one request to the operator API. It is longer than the timeouts of the system itself, because
// scripts check the exit codes that follow from those.
const operatorTimeout = "25s"

// initControlVM writes the identity of one of the first control VMs.
func (s *scenario) initControlVM(v *vm) error {
	out, err := exec.Command(binary, "control", "init", "--settings", v.settingsFile()).CombinedOutput()
	if err != nil {
		return fmt.Errorf("control init on %s: %w\n%s", v.name, err, out)
	}
	return nil
}

// wipe removes the data folder of a VM, as a lost disk does.
func (s *scenario) wipe(v *vm) error {
	if v.running() {
		return fmt.Errorf("VM %s is running", v.name)
	}
	return os.RemoveAll(v.dataFolder())
}

// tear writes a part of a record after the last record of the newest log segment, like a write that a power loss has
// interrupted.
func tear(v *vm) error {
	if v.running() {
		return fmt.Errorf("VM %s is running", v.name)
	}
	newest, err := newestSegment(v.dataFolder())
	if err != nil {
		return err
	}
	data, err := os.ReadFile(newest)
	if err != nil {
		return err
	}
	end := len(bytes.TrimRight(data, "\x00"))
	f, err := os.OpenFile(newest, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	// The last record may end in zero bytes, so the part starts some bytes after the last non-zero byte. It repeats the
	// beginning of the file, and so looks like a record.
	part := slices.Clone(data[:min(len(data), tornBytes)])
	_, err = f.WriteAt(part, int64(end+tornGap))
	return err
}

const (
	tornBytes = 48
	tornGap   = 16
)

// newestSegment returns the path of the newest log segment that is not empty.
func newestSegment(folder string) (string, error) {
	var found []string
	err := filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() && strings.HasSuffix(path, segmentSuffix) {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	slices.Sort(found)
	for _, path := range slices.Backward(found) {
		data, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if len(bytes.TrimRight(data, "\x00")) > 0 {
			return path, nil
		}
	}
	return "", fmt.Errorf("no log segment in %s", folder)
}

// segmentSuffix is the suffix of the log segments of package wal.
const segmentSuffix = ".wal"

// baseFileText returns the configuration that up applies.
func (s *scenario) baseFileText() string {
	f := bench.Sections{}
	f.Set("system", "name", "integration")
	f.Set("system", "seats", strconv.Itoa(len(s.vmsWithRole("entry"))))
	f.Set("defaults", "deadline", "5s")
	f.Set("defaults", "minimum_coverage", "0.2")
	var zones []string
	for _, v := range s.vms {
		if !slices.Contains(zones, v.zone) {
			zones = append(zones, v.zone)
		}
	}
	f.Set("site all", "availability_zones", strings.Join(zones, ","))
	f.Set("site all", "services", "*")
	for _, service := range strings.Split(s.services, ",") {
		f.Set("service "+service, "idempotent", strconv.FormatBool(!strings.HasSuffix(service, "-order")))
	}
	return f.Text()
}

// cmdUp starts all VMs, applies the configuration base.ini with the services of the system (unless the script has one)
// and waits until every entry VM is ready.
func (s *scenario) cmdUp([]string) error {
	if err := s.cmdVM([]string{"start"}); err != nil {
		return err
	}
	if len(s.vmsWithRole("control")) > 0 {
		base := filepath.Join(s.dir, "base.ini")
		if _, err := os.Stat(base); err != nil {
			if err := os.WriteFile(base, []byte(s.baseFileText()), 0o644); err != nil {
				return err
			}
		}
		if err := s.cmdAwait([]string{"leader"}); err != nil {
			return err
		}
		if err := s.cmdApply([]string{"base.ini"}); err != nil {
			return err
		}
	}
	return s.cmdAwait(append([]string{"ready"}, s.vmsWithRole("entry")...))
}

// operatorURL returns the URL at which the callers, who include the operators, reach the operator API of a VM. Without a
// name it is the first VM.
func (s *scenario) operatorURL(name string) (string, error) {
	if name == "" {
		name = s.vms[0].name
	}
	v, err := s.vm(name)
	if err != nil {
		return "", err
	}
	addr, err := s.mesh.link(callers, v.name, v.addr(portOperator))
	return "http://" + addr, err
}

// change holds the arguments of one call of apply.
type change struct {
	file, at, id string
	basedOn      uint64
}

// runApply runs the command apply, and returns its exit code, the revision that it reports and its output.
func (s *scenario) runApply(c change) (code int, revision uint64, out string, err error) {
	server, err := s.operatorURL(c.at)
	if err != nil {
		return 0, 0, "", err
	}
	args := []string{"apply", "--server", server, "--base", c.file, "--based-on", fmt.Sprint(c.basedOn), "--timeout", operatorTimeout, "-o", "json"}
	if c.id != "" {
		args = append(args, "--change-id", c.id)
	}
	cmd := exec.Command(binary, args...)
	cmd.Dir = s.dir
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		return 0, 0, "", err
	}
	var r operatorapi.ApplyResponse
	_ = json.Unmarshal(stdout.Bytes(), &r)
	return cmd.ProcessState.ExitCode(), r.Revision, stdout.String() + stderr.String(), nil
}

// cmdApply changes the configuration: apply FILE [at=VM] [based_on=N] [id=ID] [exit=CODE|CODE] [times=N]. Without
// based_on the change is based on the last accepted one. With times it applies the file N times, each time with another
// deadline.
func (s *scenario) cmdApply(args []string) error {
	positional, named := options(args)
	if len(positional) != 1 {
		return errors.New("name one file")
	}
	c := change{file: positional[0], at: popOption(named, "at", ""), id: popOption(named, "id", ""), basedOn: s.revision}
	if text, ok := named["based_on"]; ok {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		c.basedOn = n
		delete(named, "based_on")
	}
	times, err := strconv.Atoi(popOption(named, "times", "0"))
	if err != nil {
		return err
	}
	want := strings.Split(popOption(named, "exit", "0"), "|")
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	if times > 0 {
		return s.applyTimes(c, times)
	}
	code, revision, out, err := s.runApply(c)
	if err != nil {
		return err
	}
	if !slices.Contains(want, strconv.Itoa(code)) {
		return fmt.Errorf("apply ended with exit code %d, want %v:\n%s", code, want, out)
	}
	if code == 0 {
		s.revision = max(s.revision, revision)
	}
	return nil
}

// applyTimes applies many changes over HTTP, since starting a process for each would take most of the time.
func (s *scenario) applyTimes(c change, times int) error {
	server, err := s.operatorURL(c.at)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(filepath.Join(s.dir, c.file))
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: conditionTimeout}
	defer client.CloseIdleConnections()
	first, resends := s.revision, 0
	for n := range times {
		base := strings.Replace(string(data), "deadline = 5s", fmt.Sprintf("deadline = %dms", 5000+n%500), 1)
		basedOn := s.revision
		r, unknown, err := s.applyOnce(client, server, operatorapi.ApplyRequest{Base: base, BasedOn: &basedOn, ChangeID: s.changeID(basedOn), Author: "integration"})
		for _, answer := range unknown {
			s.ts.Logf("change %d of %d was sent again after %s", n+1, times, answer)
		}
		if resends += len(unknown); err == nil && resends > maxResends {
			err = fmt.Errorf("changes were sent again %d times", resends)
		}
		if err != nil {
			return fmt.Errorf("change %d of %d: %w", n+1, times, err)
		}
		s.revision = r.Revision
	}
	return s.checkHistory(c.at, first)
}

// maxResends limits how often the changes of one command are sent again.
const maxResends = 5

func (s *scenario) changeID(basedOn uint64) string {
	return fmt.Sprintf("%s-%d-%d", s.ts.Name(), s.number, basedOn)
}

// applyOnce sends a change, and sends it again with the same ID while its outcome is unknown, as operators do. It returns the
// answers of the sends whose outcome was unknown. Such an answer is an error unless a VM has lost a connection meanwhile.
func (s *scenario) applyOnce(client *http.Client, server string, request operatorapi.ApplyRequest) (r operatorapi.ApplyResponse, unknown []string, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return r, nil, err
	}
	for {
		sent := time.Now()
		status, data, err := postChange(client, server, body)
		if err != nil {
			return r, unknown, err
		}
		var failure operatorapi.Error
		if status == http.StatusGatewayTimeout && json.Unmarshal(data, &failure) == nil && failure.Kind == errs.KindUnknownOutcome && len(unknown) < maxResends {
			if err := s.awaitLostConnection(sent); err != nil {
				return r, unknown, fmt.Errorf("status %d, %s: %w", status, data, err)
			}
			unknown = append(unknown, string(data))
			continue
		}
		if status != http.StatusOK {
			return r, unknown, fmt.Errorf("status %d, %s", status, data)
		}
		if err := json.Unmarshal(data, &r); err != nil {
			return r, unknown, err
		}
		if r.Revision != *request.BasedOn+1 || r.Repeated && len(unknown) == 0 {
			return r, unknown, fmt.Errorf("accepted as revision %d, based on %d, repeated %v after %d resends", r.Revision, *request.BasedOn, r.Repeated, len(unknown))
		}
		return r, unknown, nil
	}
}

func postChange(client *http.Client, server string, body []byte) (status int, data []byte, err error) {
	res, err := client.Post(server+operatorapi.PathConfig, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err = io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// awaitLostConnection waits until the log of a VM shows that a connection to another one was lost after a time.
func (s *scenario) awaitLostConnection(after time.Time) error {
	const format = "2006-01-02T15:04:05.000Z"
	return await("a lost connection", func() error {
		for _, v := range s.vms {
			log, err := os.ReadFile(v.logFile())
			if err != nil {
				return finalError{err}
			}
			for line := range strings.Lines(string(log)) {
				at, _, _ := strings.Cut(strings.TrimPrefix(line, "ts="), " ")
				if at >= after.UTC().Format(format) && strings.Contains(line, `msg="VM disconnected"`) {
					return nil
				}
			}
		}
		return errors.New("no VM has lost a connection")
	})
}

// checkHistory checks that the history has each change since a revision exactly once, in the order in which they were sent.
func (s *scenario) checkHistory(at string, first uint64) error {
	v := s.vms[0]
	if at != "" {
		var err error
		if v, err = s.vm(at); err != nil {
			return err
		}
	}
	for next := s.revision; next > first; {
		var h operatorapi.HistoryResponse
		path := fmt.Sprintf("%s?before=%d", operatorapi.PathHistory, next+1)
		if err := await("the history", func() error { return s.getOperatorJSON(v, path, &h) }); err != nil {
			return err
		}
		if len(h.Entries) == 0 {
			return fmt.Errorf("the history ends at revision %d", next+1)
		}
		for _, e := range h.Entries {
			if next == first {
				break
			}
			if e.Revision != next || e.ChangeID != s.changeID(next-1) {
				return fmt.Errorf("the history has change %s as revision %d, want %s as revision %d", e.ChangeID, e.Revision, s.changeID(next-1), next)
			}
			next--
		}
	}
	return nil
}

// cmdRace lets two operators apply two files with the same based_on at the same time through two VMs. Exactly one may
// be accepted; the other must end with exit code 3: race FILE FILE VM VM.
func (s *scenario) cmdRace(args []string) error {
	if len(args) != 4 {
		return errors.New("name two files and two VMs")
	}
	type result struct {
		code     int
		revision uint64
		out      string
		err      error
	}
	results := make(chan result, 2)
	for i := range 2 {
		c := change{file: args[i], at: args[2+i], basedOn: s.revision}
		go func() {
			var r result
			r.code, r.revision, r.out, r.err = s.runApply(c)
			results <- r
		}()
	}
	var codes []int
	var outputs string
	for range 2 {
		r := <-results
		if r.err != nil {
			return r.err
		}
		codes = append(codes, r.code)
		outputs += r.out
		s.revision = max(s.revision, r.revision)
	}
	slices.Sort(codes)
	if !slices.Equal(codes, []int{0, 3}) {
		return fmt.Errorf("two changes based on the same revision ended with exit codes %v, want 0 and 3\n%s", codes, outputs)
	}
	return nil
}

// getOperatorJSON reads a resource of the operator API of a VM directly, without the links.
func (s *scenario) getOperatorJSON(v *vm, path string, into any) error {
	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Get("http://" + v.addr(portOperator) + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("operator API of VM %s: %s", v.name, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// ownStatus returns the status that a VM reports for itself.
func (s *scenario) ownStatus(v *vm) (*operatorapi.VM, error) {
	var r operatorapi.StatusResponse
	if err := s.getOperatorJSON(v, operatorapi.PathStatus, &r); err != nil {
		return nil, err
	}
	for i := range r.VMs {
		if r.VMs[i].Name == v.name {
			return &r.VMs[i], nil
		}
	}
	return nil, fmt.Errorf("VM %s is missing from its own status", v.name)
}

// awaitLeader waits until a majority of the control VMs reports the same leader.
func (s *scenario) awaitLeader(description string, args []string) error {
	_, named := options(args)
	not := popOption(named, "not", "")
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	return await(description, func() error {
		reports := map[string]int{}
		for _, name := range s.vmsWithRole("control") {
			v, err := s.vm(name)
			if err != nil {
				return finalError{err}
			}
			if !v.running() {
				continue
			}
			if status, err := s.ownStatus(v); err == nil && status.Control != nil && status.Control.Leader != "" {
				reports[status.Control.Leader]++
			}
		}
		for name, n := range reports {
			if name != not && n > len(s.vmsWithRole("control"))/2 {
				s.ts.Setenv("LEADER", name)
				return nil
			}
		}
		return fmt.Errorf("no majority reports the same leader; reports by leader: %v", reports)
	})
}

func (s *scenario) awaitMembers(description string, args []string) error {
	want, err := strconv.Atoi(strings.Join(args, ""))
	if err != nil {
		return err
	}
	return await(description, func() error {
		var last error
		for _, name := range s.vmsWithRole("control") {
			v, err := s.vm(name)
			if err != nil || !v.running() {
				continue
			}
			var r operatorapi.MembersResponse
			if last = s.getOperatorJSON(v, operatorapi.PathMembers, &r); last != nil {
				continue
			}
			learners := 0
			for _, m := range r.Members {
				if m.Learner {
					learners++
				}
			}
			if len(r.Members) == want && learners == 0 && s.replicasMatchMembers(r) {
				return nil
			}
			last = fmt.Errorf("members are %+v", r.Members)
		}
		return last
	})
}

// replicasMatchMembers reports whether every member on a running VM reports the replica ID in the group's member list.
func (s *scenario) replicasMatchMembers(r operatorapi.MembersResponse) bool {
	for _, m := range r.Members {
		matches := slices.ContainsFunc(r.Replicas, func(v operatorapi.VM) bool {
			return v.Control != nil && v.Control.Replica == m.Replica
		})
		if v, err := s.vm(m.VM); err == nil && v.running() && !matches {
			return false
		}
	}
	return true
}

// parseRevision reads a revision; current is the last accepted one.
func (s *scenario) parseRevision(text string) (uint64, error) {
	if text == "current" {
		return s.revision, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (s *scenario) awaitRevision(description string, args []string) error {
	want, err := s.parseRevision(args[0])
	if err != nil {
		return err
	}
	return await(description, func() error {
		return s.checkRevision(args[1:], func(got uint64) bool { return got >= want }, want)
	})
}

func (s *scenario) expectRevision(text string, names []string) error {
	want, err := s.parseRevision(text)
	if err != nil {
		return err
	}
	return s.checkRevision(names, func(got uint64) bool { return got == want }, want)
}

func (s *scenario) checkRevision(names []string, accepts func(got uint64) bool, want uint64) error {
	if len(names) == 0 {
		names = append(s.vmsWithRole("entry"), s.vmsWithRole("control")...)
	}
	for _, name := range names {
		v, err := s.vm(name)
		if err != nil {
			return err
		}
		status, err := s.ownStatus(v)
		if err != nil {
			return err
		}
		if !accepts(status.ConfigRevision) {
			return fmt.Errorf("VM %s has revision %d in force, want %d", name, status.ConfigRevision, want)
		}
	}
	return nil
}
