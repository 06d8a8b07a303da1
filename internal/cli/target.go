package cli

import (
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// newTarget returns the hidden command that runs stand-in targets, for tests.
func newTarget() *cobra.Command {
	var file string
	var drain time.Duration
	single := standin.Config{ID: "target-1"}
	cmd := &cobra.Command{
		Use:    "target",
		Short:  "Run stand-in targets (test aid)",
		Long:   "Runs one stand-in target from flags, or several from a file with a section [target ID] for each, with the\nflags' names (underscores for hyphens) as keys. Prints one JSON object with its addresses for each target.",
		Args:   noArgs,
		Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configs := []standin.Config{single}
			if file != "" {
				data, err := os.ReadFile(file)
				if err != nil {
					return errs.Wrap(err, errs.KindInvalid, "name a readable file", "cannot read the file with the targets")
				}
				if configs, err = standin.ParseFile(file, data); err != nil {
					return err
				}
			}
			return runTargets(cmd.OutOrStdout(), configs, drain)
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "INI file with a section [target ID] for each target")
	cmd.Flags().DurationVar(&drain, "drain", 2*time.Second, "time to drain after SIGTERM")
	for _, o := range standin.Options() {
		cmd.Flags().Func(flagName(o.Name), o.Help, func(v string) error { return o.Set(&single, v) })
	}
	return cmd
}

func flagName(option string) string {
	out := []byte(option)
	for i := range out {
		if out[i] == '_' {
			out[i] = '-'
		}
	}
	return string(out)
}

// startedTarget is the output for one target: the addresses on which it listens.
type startedTarget struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Control string `json:"control,omitempty"`
}

// runTargets runs targets until SIGTERM or SIGINT. They then announce that they leave, and drain.
func runTargets(out io.Writer, configs []standin.Config, drain time.Duration) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	var targets []*standin.Target
	defer func() {
		for _, t := range targets {
			t.Close()
		}
	}()
	for _, c := range configs {
		t, err := standin.Start(c)
		if err != nil {
			return err
		}
		targets = append(targets, t)
		if err := json.NewEncoder(out).Encode(startedTarget{t.Key().String(), t.Addr(), t.ControlAddr()}); err != nil {
			return err
		}
	}
	<-signals
	var running sync.WaitGroup
	for _, t := range targets {
		running.Add(1)
		t.Leave(drain)
		go func() {
			defer running.Done()
			<-t.Done()
		}()
	}
	running.Wait()
	return nil
}
