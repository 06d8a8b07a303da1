package cli

import (
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/bench"
)

func newDemo(out *outputFlag) *cobra.Command {
	o := bench.Options{Policies: bench.AllPolicies}
	var row bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start a whole system with stand-in targets on loopback, load it and measure it",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			runs, err := bench.Run(ctx, o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if row {
				bench.WriteMarkdown(cmd.OutOrStdout(), runs)
				return nil
			}
			return out.print(cmd, runs, func(w io.Writer) { bench.WriteTable(w, runs) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.User, "user", "sfax", "user whose system sizes are used: sfax or hanbit")
	f.StringVar(&o.Policies.Routing, "routing", o.Policies.Routing, "routing policy: random or least_loaded")
	f.StringVar(&o.Policies.Hedge, "hedge", o.Policies.Hedge, "hedging policy: none or quantile")
	f.Float64Var(&o.Policies.HedgeQuantile, "hedge-quantile", o.Policies.HedgeQuantile, "latency quantile after which a hedge is sent")
	f.Float64Var(&o.Policies.HedgeBudget, "hedge-budget", o.Policies.HedgeBudget, "hedges as a share of first attempts")
	f.StringVar(&o.Policies.Retry, "retry", o.Policies.Retry, "retry policy: none or budget")
	f.StringVar(&o.Policies.Admission, "admission", o.Policies.Admission, "admission policy: open or priority")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, service times and faults")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "time of the measured load")
	f.Float64Var(&o.Rate, "rate", 0, "queries per second at load factor 1; 0 means 60% of the capacity of the targets")
	f.Float64Var(&o.LoadFactor, "load-factor", 0.5, "multiple of the rate; 0.5 leaves room for a lost replica and stragglers, 2 is beyond the capacity")
	f.StringSliceVar(&o.Faults, "fault", []string{bench.FaultStragglers, bench.FaultLostReplica}, "faults: "+strings.Join(bench.Faults, ", "))
	f.BoolVar(&o.Compare, "compare", false, "run the baseline (random, none, none, open) before the policies")
	f.BoolVar(&row, "row", false, "print one row of a Markdown table for each run")
	return cmd
}
