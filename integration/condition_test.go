package integration

import (
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// cmdAwait waits until a condition is true. Conditions are those of expect, and:
//
//	await ready|unready VM...      the readiness probe passes or fails
//	await ended VM                 the process ends without a signal of the script
//	await answer SERVICE [at=VM] FIELD<OP>VALUE...   a query gets a matching answer
//	await leader [not=VM]          a majority of the control VMs reports this leader; $LEADER becomes its name
//	await members N                the control group has N voters and no learner
//	await revision N|current VM... the VMs have at least this revision in force
//	await ordered SERVICE [at=VM] FIELD<OP>VALUE...  a new order gets a matching answer
//	await load NAME good+=N        the load gets N more good answers (times -soak)
func (s *scenario) cmdAwait(args []string) error {
	if len(args) == 0 {
		return errors.New("name a condition")
	}
	description := "await " + strings.Join(args, " ")
	switch args[0] {
	case "ready", "unready":
		for _, name := range args[1:] {
			v, err := s.vm(name)
			if err != nil {
				return err
			}
			if err := s.awaitReady(description, v, args[0] == "ready"); err != nil {
				return err
			}
		}
		return nil
	case "ended":
		v, err := s.vm(args[1])
		if err != nil {
			return err
		}
		v.exitExpected = true
		return v.wait()
	case "leader":
		return s.awaitLeader(description, args[1:])
	case "members":
		return s.awaitMembers(description, args[1:])
	case "revision":
		return s.awaitRevision(description, args[1:])
	case "answer", "ordered":
		return s.awaitAnswer(description, args[0] == "ordered", args[1], args[2:])
	case "load":
		return s.awaitLoad(description, args)
	}
	return await(description, func() error { return s.cmdExpect(args) })
}

func (s *scenario) awaitReady(description string, v *vm, want bool) error {
	return await(description, func() error {
		if want && !v.running() {
			return fmt.Errorf("VM %s is not running", v.name)
		}
		if v.ready() != want {
			return fmt.Errorf("VM %s: ready is %v", v.name, !want)
		}
		return nil
	})
}

func (s *scenario) awaitAnswer(description string, order bool, service string, args []string) error {
	query, conditions, at := []string{service}, []string(nil), ""
	for _, a := range args {
		if k, _, _ := strings.Cut(a, "="); contains(requestOptions, k) {
			query = append(query, a)
			if k == "at" {
				at = strings.TrimPrefix(a, "at=")
			}
		} else {
			conditions = append(conditions, a)
		}
	}
	return await(description, func() error {
		send := s.cmdQuery
		if order {
			s.number++
			query, send = []string{service, fmt.Sprintf("ordered-%d", s.number), "at=" + at}, s.cmdOrder
		}
		if err := send(query); err != nil {
			return finalError{err}
		}
		return s.expectAnswer(conditions)
	})
}

func (s *scenario) awaitLoad(description string, args []string) error {
	if len(args) != 3 || !strings.HasPrefix(args[2], "good+=") {
		return errors.New("use await load NAME good+=N")
	}
	l, ok := s.loads[args[1]]
	if !ok {
		return fmt.Errorf("there is no load %q", args[1])
	}
	more, err := strconv.Atoi(strings.TrimPrefix(args[2], "good+="))
	if err != nil {
		return err
	}
	goal := l.load.Progress().Good + more**soakFactor
	return await(description, func() error {
		if got := l.load.Progress(); got.Good < goal {
			return fmt.Errorf("%d good answers of %d sent, want %d", got.Good, got.Sent, goal)
		}
		return nil
	})
}

// cmdExpect checks a condition once:
//
//	expect answer FIELD<OP>VALUE...        outcome, coverage, snapshot, status, error, hedges, retries, dropped
//	expect load NAME FIELD<OP>VALUE...     see loadFields
//	expect target SERVICE/ID FIELD<OP>VALUE...
//	expect targets SERVICE FIELD<OP>VALUE...   the sum over the targets of a service
//	expect order NAME executions<OP>VALUE
//	expect revision N|current VM...   exactly this revision is in force there
//	expect running VM...
func (s *scenario) cmdExpect(args []string) error {
	if len(args) < 2 {
		return errors.New("name a condition and its subject")
	}
	switch args[0] {
	case "answer":
		return s.expectAnswer(args[1:])
	case "load":
		r, ok := s.reports[args[1]]
		if !ok {
			return fmt.Errorf("load %q has not been stopped", args[1])
		}
		return compareAll(args[1], loadFields(r), args[2:])
	case "target":
		t, err := s.target(args[1])
		if err != nil {
			return err
		}
		counts, err := countsByName(t)
		if err != nil {
			return err
		}
		return compareAll(args[1], counts, args[2:])
	case "targets":
		return s.expectTargets(args[1], args[2:])
	case "order":
		n, err := s.executions(args[1])
		if err != nil {
			return err
		}
		return compareAll("order "+args[1], map[string]float64{"executions": n}, args[2:])
	case "revision":
		return s.expectRevision(args[1], args[2:])
	case "running":
		for _, name := range args[1:] {
			v, err := s.vm(name)
			if err != nil {
				return err
			}
			if !v.running() {
				return fmt.Errorf("VM %s is not running", name)
			}
		}
		return nil
	}
	return fmt.Errorf("unknown condition %q", args[0])
}

func (s *scenario) expectTargets(service string, conditions []string) error {
	sum := map[string]float64{}
	for name, t := range s.targets {
		if t.Key().Service != model.ServiceName(service) {
			continue
		}
		counts, err := countsByName(t)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		for k, v := range counts {
			sum[k] += v
		}
	}
	return compareAll("targets of "+service, sum, conditions)
}

// expectAnswer checks conditions on the last answer. Text fields support = and != only.
func (s *scenario) expectAnswer(conditions []string) error {
	a := &s.lastResult
	text := map[string]string{"outcome": a.Answer.Outcome, "snapshot": a.Answer.Snapshot, "error": "none"}
	if a.Err != nil {
		text["error"], text["outcome"] = "cut_off", "none"
		if a.Unsent {
			text["error"] = "unsent"
		}
	}
	numbers := map[string]float64{
		"coverage": a.Answer.Coverage, "status": float64(a.Status), "missing": float64(len(a.Answer.Missing)),
		"hedges": float64(a.Answer.Stats.Hedges), "retries": float64(a.Answer.Stats.Retries), "dropped": float64(a.Answer.Stats.Dropped),
	}
	for _, c := range conditions {
		field, op, value, err := splitCondition(c)
		if err != nil {
			return err
		}
		got, isText := text[field]
		if !isText {
			if err := compareAll("answer", numbers, []string{c}); err != nil {
				return fmt.Errorf("%w (outcome %s, reason %q, error %v)", err, text["outcome"], a.Answer.Reason, a.Err)
			}
			continue
		}
		if matches := contains(strings.Split(value, "|"), got); matches != (op == "=") {
			return fmt.Errorf("answer: %s is %q, want %s%s (reason %q, error %v)", field, got, op, value, a.Answer.Reason, a.Err)
		}
	}
	return nil
}

func contains(list []string, value string) bool {
	for _, e := range list {
		if e == value {
			return true
		}
	}
	return false
}

var operators = []string{">=", "<=", "!=", ">", "<", "="}

func splitCondition(c string) (field, op, value string, err error) {
	for _, op := range operators {
		if field, value, ok := strings.Cut(c, op); ok {
			return field, op, value, nil
		}
	}
	return "", "", "", fmt.Errorf("condition %q has no operator", c)
}

// compareAll checks conditions such as hedges<=5 against the named numbers of a subject, such as a load or a target.
func compareAll(subject string, numbers map[string]float64, conditions []string) error {
	for _, c := range conditions {
		field, op, text, err := splitCondition(c)
		if err != nil {
			return err
		}
		want, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		got, ok := numbers[field]
		if !ok && !strings.HasPrefix(field, "not_run.") {
			return fmt.Errorf("%s has no field %q", subject, field)
		}
		if !compare(got, op, want) {
			return fmt.Errorf("%s: %s is %v, want %s%v", subject, field, got, op, want)
		}
	}
	return nil
}

func compare(got float64, op string, want float64) bool {
	switch op {
	case ">=":
		return got >= want
	case "<=":
		return got <= want
	case ">":
		return got > want
	case "<":
		return got < want
	case "!=":
		return got != want
	}
	return got == want
}

// cmdCLI runs a command of the binary: cli [exit=CODE] ARGS... Its output goes to the script's log.
func (s *scenario) cmdCLI(args []string) error {
	want := 0
	if len(args) > 0 && strings.HasPrefix(args[0], "exit=") {
		n, err := strconv.Atoi(strings.TrimPrefix(args[0], "exit="))
		if err != nil {
			return err
		}
		want, args = n, args[1:]
	}
	cmd := exec.Command(binary, args...)
	cmd.Dir = s.dir
	out, err := cmd.CombinedOutput()
	s.ts.Logf("%s", out)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	if got := cmd.ProcessState.ExitCode(); got != want {
		return fmt.Errorf("chestnuttiller %s ended with exit code %d, want %d:\n%s", strings.Join(args, " "), got, want, out)
	}
	return nil
}
