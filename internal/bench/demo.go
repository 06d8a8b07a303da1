package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// Names of the faults of the demo.
const (
	FaultNone        = "none"
	FaultStragglers  = "stragglers"
	FaultLostReplica = "lost-replica"
	FaultZoneCut     = "zone-cut"
	FaultIndex       = "rolling-index"
)

// Faults holds the names of all faults of the demo.
var Faults = []string{FaultNone, FaultStragglers, FaultLostReplica, FaultZoneCut, FaultIndex}

const (
	// stragglerShare is the share of sub-requests that are stragglers, as in the performance goals of the design page.
	stragglerShare = 0.05
	// warmUpTime is the duration of the load before the measurement. It is not measured, because latency estimates and
	// connections are new.
	warmUpTime = 2 * time.Second
	// maxInFlight limits the requests in flight, so that a stalled system does not exhaust the memory.
	maxInFlight = 20000
)

// Options configures a demo.
type Options struct {
	User       string
	Policies   Policies
	Seed       uint64
	Duration   time.Duration
	Rate       float64
	LoadFactor float64
	Faults     []string
	// Compare adds a run with BaselinePolicies before the run with Policies.
	Compare bool
}

// Validate returns an error for options that are out of range or unknown.
func (o *Options) Validate() error {
	for _, f := range o.Faults {
		if !slices.Contains(Faults, f) {
			return errs.New(errs.KindInvalid, "use "+strings.Join(Faults, ", "), "unknown fault %q", f)
		}
	}
	if o.Duration < time.Second || o.Duration > 10*time.Minute {
		return errs.New(errs.KindInvalid, "use a duration from 1s to 10m", "duration is %s", o.Duration)
	}
	if o.LoadFactor <= 0 || o.LoadFactor > 10 || o.Rate < 0 {
		return errs.New(errs.KindInvalid, "use a load factor above 0 and up to 10, and a rate from 0", "load factor is %v and rate is %v", o.LoadFactor, o.Rate)
	}
	_, err := UserByName(o.User)
	return err
}

// Summary is the measured result of one run, as written to the JSON output.
type Summary struct {
	Name       string   `json:"name"`
	User       string   `json:"user"`
	Policies   Policies `json:"policies"`
	Faults     []string `json:"faults"`
	Seed       uint64   `json:"seed"`
	LoadFactor float64  `json:"load_factor"`
	// OfferedPerSecond is the offered load. GoodPerSecond is the rate of complete and partial answers.
	OfferedPerSecond float64         `json:"offered_per_second"`
	GoodPerSecond    float64         `json:"good_per_second"`
	Seconds          float64         `json:"seconds"`
	Violations       []string        `json:"violations,omitempty"`
	ViolationCount   int             `json:"violation_count"`
	Streams          []StreamSummary `json:"streams"`
	// RefusedConnections counts the connections that targets refused because of their connection limits.
	RefusedConnections int `json:"refused_connections"`
	// FalseNotRun counts requests that were answered as not run or refused although a target ran them.
	FalseNotRun int `json:"false_not_run"`
}

// StreamSummary is the result of one service, or of all services under the name "all".
type StreamSummary struct {
	Name          string         `json:"name"`
	Priority      string         `json:"priority,omitempty"`
	Sent          int            `json:"sent"`
	P50MS         float64        `json:"p50_ms"`
	P99MS         float64        `json:"p99_ms"`
	P999MS        float64        `json:"p999_ms"`
	Coverage      float64        `json:"coverage"`
	LeastCoverage float64        `json:"least_coverage"`
	GoodShare     float64        `json:"good_share"`
	ExtraLoad     float64        `json:"extra_load"`
	Outcomes      map[string]int `json:"outcomes"`
	CutOff        int            `json:"cut_off"`
}

// Run runs the demo, writes progress messages to progress, and returns the summary of each run.
func Run(ctx context.Context, o Options, progress io.Writer) ([]Summary, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	var out []Summary
	if o.Compare {
		s, err := runOnce(ctx, "baseline", BaselinePolicies, o, progress)
		if err != nil {
			return nil, err
		}
		out = append(out, *s)
	}
	s, err := runOnce(ctx, "policies", o.Policies, o, progress)
	if err != nil {
		return nil, err
	}
	return append(out, *s), nil
}

func runOnce(ctx context.Context, name string, policies Policies, o Options, progress io.Writer) (*Summary, error) {
	user, err := UserByName(o.User)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(progress, "%s: starting %d control VMs, %d entry VMs and the targets of %s\n", name, controlVMs, user.EntryVMs, user.Name)
	c, err := startCluster(ctx, user, policies, o.Seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	balancer := NewBalancer(c.entryURLs())
	defer balancer.Close()
	caller := NewCaller(c.layoutOf)
	defer caller.Close()
	streams, rate := user.streams(o.LoadFactor, o.Rate)
	load := &Load{Caller: caller, Pick: balancer.Pick, Rate: rate, Duration: warmUpTime, Streams: streams, Seed: o.Seed + 1, MaxInFlight: maxInFlight, Grace: 10 * time.Second}
	fmt.Fprintf(progress, "%s: %d targets, %.0f queries/s for %s, faults %s\n", name, len(c.targets), rate, o.Duration, strings.Join(o.Faults, ","))
	load.Run(ctx)
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	if err := c.injectFaults(faultCtx, o); err != nil {
		return nil, err
	}
	load.Duration, load.Seed = o.Duration, o.Seed
	report := load.Start(ctx).showProgress(progress, name)
	return c.summarise(name, policies, o, rate, report), nil
}

// showProgress writes the progress once a second until the load has ended, and returns the report.
func (r *RunningLoad) showProgress(progress io.Writer, name string) *Report {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	last := Progress{}
	for {
		select {
		case <-r.done:
			return r.report
		case <-ticker.C:
			now := r.Progress()
			fmt.Fprintf(progress, "%s: %d requests ended (%d in the last second), %d good answers\n", name, now.Sent, now.Sent-last.Sent, now.Good)
			last = now
		}
	}
}

// injectFaults sets the faults that last for the whole run and schedules those that occur during it.
func (c *cluster) injectFaults(ctx context.Context, o Options) error {
	for _, f := range o.Faults {
		switch f {
		case FaultStragglers:
			spec := []standin.FaultSpec{{Name: "straggle", Share: stragglerShare, Delay: c.user.StragglerDelay}}
			for _, t := range c.targets {
				if err := t.SetFaults(spec); err != nil {
					return err
				}
			}
		case FaultLostReplica:
			c.runAfter(ctx, o.Duration/3, c.stopFirstTargets)
		case FaultZoneCut:
			c.runAfter(ctx, o.Duration/3, func() { c.isolatedZone.Store(&c.user.Zones[0]) })
			c.runAfter(ctx, 2*o.Duration/3, func() { c.isolatedZone.Store(nil) })
		case FaultIndex:
			go c.rollOutIndex(ctx, o.Duration/2)
		}
	}
	return nil
}

// runAfter runs a function after a delay, unless ctx is done before.
func (c *cluster) runAfter(ctx context.Context, delay time.Duration, fn func()) {
	go func() {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
			fn()
		case <-ctx.Done():
		}
	}()
}

// stopFirstTargets stops the first target of each service without announcing it.
func (c *cluster) stopFirstTargets() {
	for _, t := range c.targets {
		if t.Key().ID == "leaf-1" {
			t.Stop()
		}
	}
}

// rollOutIndex adds index version 2 to one target after the other and then removes version 1 in the same way, within the
// given time.
func (c *cluster) rollOutIndex(ctx context.Context, within time.Duration) {
	ticker := time.NewTicker(max(within/time.Duration(2*len(c.targets)), time.Millisecond))
	defer ticker.Stop()
	for _, versions := range [][]model.IndexVersion{{1, 2}, {2}} {
		for _, t := range c.targets {
			select {
			case <-ticker.C:
				t.SetIndexVersions(versions)
			case <-ctx.Done():
				return
			}
		}
	}
}

func (c *cluster) summarise(name string, p Policies, o Options, rate float64, r *Report) *Summary {
	s := &Summary{
		Name: name, User: o.User, Policies: p, Faults: o.Faults, Seed: o.Seed, LoadFactor: o.LoadFactor, OfferedPerSecond: rate,
		Seconds: o.Duration.Seconds(), Violations: r.Violations, ViolationCount: r.ViolationCount,
	}
	total := r.Total()
	s.GoodPerSecond = float64(total.Good()) / s.Seconds
	s.Streams = append(s.Streams, summariseStream("all", "", total))
	s.Streams = append(s.Streams, summariseStream("all", urgentPriority, r.Sum(func(name string) bool { return strings.HasSuffix(name, "/"+urgentPriority) })))
	streams, _ := c.user.streams(1, 0)
	for _, stream := range streams {
		if stream.Priority != urgentPriority {
			s.Streams = append(s.Streams, summariseStream(stream.Name, stream.Priority, r.Streams[stream.Name]))
		}
	}
	for _, t := range c.targets {
		s.RefusedConnections += t.Counts().RefusedConnections
	}
	for _, checksum := range r.NotRun {
		if slices.ContainsFunc(c.targets, func(t *standin.Target) bool { return t.RequestExecutions(checksum) > 0 }) {
			s.FalseNotRun++
		}
	}
	return s
}

func summariseStream(name, priority string, r *StreamReport) StreamSummary {
	ms := func(q float64) float64 { return float64(r.AnsweredLatency.ValueAtQuantile(q)) / 1000 }
	out := StreamSummary{
		Name: name, Priority: priority, Sent: r.Sent, P50MS: ms(50), P99MS: ms(99), P999MS: ms(99.9), CutOff: r.CutOff,
		LeastCoverage: r.LeastCoverage, Outcomes: map[string]int{},
	}
	if r.Answers > 0 {
		out.Coverage = r.CoverageSum / float64(r.Answers)
	}
	if r.Sent > 0 {
		out.GoodShare = float64(r.Good()) / float64(r.Sent)
	}
	if r.FirstAttempts > 0 {
		out.ExtraLoad = float64(r.Hedges+r.Retries) / float64(r.FirstAttempts)
	}
	for o, n := range r.Outcomes {
		out.Outcomes[string(o)] = n
	}
	if r.Unsent > 0 {
		out.Outcomes["unsent"] = r.Unsent
	}
	return out
}

// WriteTable writes the runs as human-readable tables.
func WriteTable(out io.Writer, runs []Summary) {
	for _, r := range runs {
		fmt.Fprintf(out, "\n%s: user %s, routing %s, hedge %s, retry %s, admission %s, faults %s, seed %d\n",
			r.Name, r.User, r.Policies.Routing, r.Policies.Hedge, r.Policies.Retry, r.Policies.Admission, strings.Join(r.Faults, ","), r.Seed)
		fmt.Fprintf(out, "offered %.0f/s (load factor %v), goodput %.0f/s, violations %d, refused connections %d, false not_run %d\n",
			r.OfferedPerSecond, r.LoadFactor, r.GoodPerSecond, r.ViolationCount, r.RefusedConnections, r.FalseNotRun)
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "service\tpriority\tsent\tp50 ms\tp99 ms\tp999 ms\tcoverage\tleast coverage\tgood\textra load\tcut off\toutcomes\t")
		for _, s := range r.Streams {
			fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.2f%%\t%.2f%%\t%d\t%s\t\n", s.Name, s.Priority, s.Sent, s.P50MS, s.P99MS, s.P999MS,
				s.Coverage, s.LeastCoverage, 100*s.GoodShare, 100*s.ExtraLoad, s.CutOff, outcomesText(s.Outcomes))
		}
		_ = w.Flush() // An error means that the output is closed.
		for _, v := range r.Violations {
			fmt.Fprintln(out, "violation:", v)
		}
	}
}

// WriteMarkdown writes one row of a Markdown table for each run.
func WriteMarkdown(out io.Writer, runs []Summary) {
	for _, r := range runs {
		all, urgentOnly := r.Streams[0], r.Streams[1]
		fmt.Fprintf(out, "| %s | %s | %v | %s | %.1f | %.1f | %.1f | %.1f | %.4f | %.0f | %.0f | %.1f%% | %.1f%% | %d |\n",
			r.User, strings.Join(r.Faults, " "), r.LoadFactor, r.Name, all.P50MS, all.P99MS, all.P999MS, urgentOnly.P99MS,
			all.Coverage, r.OfferedPerSecond, r.GoodPerSecond, 100*all.GoodShare, 100*all.ExtraLoad, r.ViolationCount)
	}
}

func outcomesText(outcomes map[string]int) string {
	var parts []string
	for o, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", o, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
