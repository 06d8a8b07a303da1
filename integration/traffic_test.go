package integration

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chestnuttiller/chestnuttiller/internal/bench"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// requestTimeout limits the wait for one answer. It is longer than any deadline that scenarios configure.
const requestTimeout = 30 * time.Second

// orderState is the state of an order at its caller.
type orderState struct {
	service string
	key     string
	body    []byte
	results chan bench.Result
}

// callerURL returns the URL at which callers reach an entry VM.
func (s *scenario) callerURL(v *vm) (string, error) {
	addr, err := s.mesh.link(callers, v.name, v.addr(portCallers))
	return "http://" + addr, err
}

// entryURL returns the URL of the named entry VM, or of the first one when the name is empty.
func (s *scenario) entryURL(name string) (string, error) {
	for _, v := range s.vms {
		if v.hasRole("entry") && (v.name == name || name == "") {
			return s.callerURL(v)
		}
	}
	return "", fmt.Errorf("there is no entry VM %q", name)
}

// requestOptions are the options of a query.
var requestOptions = []string{"at", "priority", "minimum_coverage", "timeout", "caller"}

// newRequest creates a request from the options that queries, orders and loads share.
func (s *scenario) newRequest(service string, named map[string]string) (*bench.Request, error) {
	s.number++
	id := fmt.Sprintf("%s-%d-%d", s.ts.Name(), s.number, time.Now().UnixNano())
	r := &bench.Request{ID: id, Service: model.ServiceName(service), Body: []byte("body " + id), Priority: popOption(named, "priority", ""), Caller: popOption(named, "caller", "")}
	var err error
	if r.MinimumCoverage, err = strconv.ParseFloat(popOption(named, "minimum_coverage", "0"), 64); err != nil {
		return nil, err
	}
	timeout, err := time.ParseDuration(popOption(named, "timeout", "0s"))
	r.TimeoutMS = timeout.Milliseconds()
	return r, err
}

// send sends a request. It returns an error on a violation.
func (s *scenario) send(baseURL string, r *bench.Request) (bench.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result := s.caller.Do(ctx, baseURL, r)
	return result, s.checkResult(r, &result)
}

// checkResult returns an error on violations, and when a request has run although its answer excludes that.
func (s *scenario) checkResult(r *bench.Request, result *bench.Result) error {
	if len(result.Violations) > 0 {
		return errors.New(strings.Join(result.Violations, "\n"))
	}
	if o := result.Answer.Outcome; r.OrderKey == "" && result.Err == nil && (o == string(model.OutcomeNotRun) || o == string(model.OutcomeRefused)) {
		return s.checkNotRun([]string{standin.RequestChecksum(r.Body)})
	}
	return nil
}

// checkNotRun checks that no target has counted an execution of the requests whose answers exclude one.
func (s *scenario) checkNotRun(checksums []string) error {
	for _, c := range checksums {
		for name, t := range s.targets {
			if n := t.RequestExecutions(c); n > 0 {
				return fmt.Errorf("the answer to the request with checksum %s excludes an execution, but %s ran it %d times", c, name, n)
			}
		}
	}
	return nil
}

// cmdQuery sends one query: query SERVICE [at=VM] [priority=] [minimum_coverage=] [timeout=].
func (s *scenario) cmdQuery(args []string) error {
	positional, named := options(args)
	if len(positional) != 1 {
		return errors.New("name one service")
	}
	baseURL, err := s.entryURL(popOption(named, "at", ""))
	if err != nil {
		return err
	}
	r, err := s.newRequest(positional[0], named)
	if err != nil {
		return err
	}
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	s.lastResult, err = s.send(baseURL, r)
	return err
}

// cmdOrder sends an order: order SERVICE NAME [at=VM] [background] [body=TEXT]. The same NAME means the same key.
// order wait NAME waits for the answer of an order that was sent in the background.
func (s *scenario) cmdOrder(args []string) error {
	positional, named := options(args)
	if len(positional) < 2 {
		return errors.New("name a service and an order")
	}
	if positional[0] == "wait" {
		return s.waitOrder(positional[1])
	}
	o, err := s.orderByName(positional[0], positional[1])
	if err != nil {
		return err
	}
	baseURL, err := s.entryURL(popOption(named, "at", ""))
	if err != nil {
		return err
	}
	r, err := s.newRequest(o.service, named)
	if err != nil {
		return err
	}
	r.OrderKey, r.Body = o.key, []byte(popOption(named, "body", string(o.body)))
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	if len(positional) > 2 && positional[2] == "background" {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			o.results <- s.caller.Do(ctx, baseURL, r)
		}()
		return nil
	}
	s.lastResult, err = s.send(baseURL, r)
	return err
}

func (s *scenario) orderByName(service, name string) (*orderState, error) {
	if o, ok := s.orders[name]; ok {
		return o, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	o := &orderState{service: service, key: key.String(), body: []byte("order " + name), results: make(chan bench.Result, 1)}
	s.orders[name] = o
	return o, nil
}

func (s *scenario) waitOrder(name string) error {
	o, ok := s.orders[name]
	if !ok {
		return fmt.Errorf("there is no order %q", name)
	}
	s.lastResult = <-o.results
	if len(s.lastResult.Violations) > 0 {
		return errors.New(strings.Join(s.lastResult.Violations, "\n"))
	}
	return nil
}

// executions returns how often an order has run, summed over all targets.
func (s *scenario) executions(name string) (float64, error) {
	o, ok := s.orders[name]
	if !ok {
		return 0, fmt.Errorf("there is no order %q", name)
	}
	n := 0
	for _, t := range s.targets {
		n += t.OrderExecutions(o.key)
	}
	return float64(n), nil
}

// cmdLoad starts and stops a background load: load start NAME SERVICE[,SERVICE] [rate=50] [at=VM,VM] [priority=]
// [minimum_coverage=] [timeout=], load stop NAME. Stopping fails on any violation.
func (s *scenario) cmdLoad(args []string) error {
	positional, named := options(args)
	if len(positional) < 2 {
		return errors.New("use load start NAME SERVICE or load stop NAME")
	}
	if positional[0] == "stop" {
		return s.stopLoad(positional[1])
	}
	if len(positional) != 3 {
		return errors.New("name a load and its services")
	}
	rate, err := strconv.ParseFloat(popOption(named, "rate", "50"), 64)
	if err != nil {
		return err
	}
	baseURLs, err := s.entryURLs(popOption(named, "at", ""))
	if err != nil {
		return err
	}
	template, err := s.newRequest("", named)
	if err != nil {
		return err
	}
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	balancer := bench.NewBalancer(baseURLs)
	load := &bench.Load{Caller: s.caller, Pick: balancer.Pick, Rate: rate, Duration: maxLoadDuration, Seed: uint64(s.number), MaxInFlight: 2000, Grace: requestTimeout}
	for _, service := range strings.Split(positional[2], ",") {
		load.Streams = append(load.Streams, bench.Stream{
			Name: service, Service: model.ServiceName(service), Weight: 1, Priority: template.Priority,
			MinimumCoverage: template.MinimumCoverage, TimeoutMS: template.TimeoutMS,
		})
	}
	s.loads[positional[1]] = &runningLoad{load: load.Start(context.Background()), balancer: balancer}
	return nil
}

// maxLoadDuration limits a load that no script stops.
const maxLoadDuration = 3 * time.Minute

// entryURLs returns the URLs of the entry VMs in a list with commas, or of all when it is empty.
func (s *scenario) entryURLs(names string) ([]string, error) {
	var out []string
	for _, v := range s.vms {
		if !v.hasRole("entry") || (names != "" && !strings.Contains(","+names+",", ","+v.name+",")) {
			continue
		}
		baseURL, err := s.callerURL(v)
		if err != nil {
			return nil, err
		}
		out = append(out, baseURL)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("there are no entry VMs %q", names)
	}
	return out, nil
}

func (s *scenario) stopLoad(name string) error {
	l, ok := s.loads[name]
	if !ok {
		return fmt.Errorf("there is no load %q", name)
	}
	report := l.load.Stop()
	l.balancer.Close()
	delete(s.loads, name)
	s.reports[name] = report
	total := report.Total()
	s.ts.Logf("load %s: sent %d, outcomes %v, cut off %d, unsent %d, least coverage %.3f, first %d, hedges %d, retries %d, dropped %d, reasons %v",
		name, total.Sent, total.Outcomes, total.CutOff, total.Unsent, total.LeastCoverage, total.FirstAttempts, total.Hedges, total.Retries, total.Dropped, total.Errors)
	if report.ViolationCount > 0 {
		return fmt.Errorf("load %s had %d violations:\n%s", name, report.ViolationCount, strings.Join(report.Violations, "\n"))
	}
	return s.checkNotRun(report.NotRun)
}

// loadFields returns the fields that expect can check of a load that has ended.
func loadFields(r *bench.Report) map[string]float64 {
	t := r.Total()
	out := map[string]float64{
		"sent": float64(t.Sent), "good": float64(t.Good()), "cut_off": float64(t.CutOff), "unsent": float64(t.Unsent),
		"least_coverage": t.LeastCoverage, "hedges": float64(t.Hedges), "retries": float64(t.Retries), "dropped": float64(t.Dropped),
		"first": float64(t.FirstAttempts), "extra": 0, "good_share": 0,
		"p50_ms": float64(t.AnsweredLatency.ValueAtQuantile(50)) / 1000, "p99_ms": float64(t.AnsweredLatency.ValueAtQuantile(99)) / 1000,
	}
	if t.FirstAttempts > 0 {
		out["extra"] = float64(t.Hedges+t.Retries) / float64(t.FirstAttempts)
	}
	if t.Sent > 0 {
		out["good_share"] = float64(t.Good()) / float64(t.Sent)
	}
	for _, o := range []model.Outcome{model.OutcomeComplete, model.OutcomePartial, model.OutcomeNotRun, model.OutcomeRefused, model.OutcomeFailed, model.OutcomeUnknown} {
		out[string(o)] = float64(t.Outcomes[o])
	}
	return out
}
