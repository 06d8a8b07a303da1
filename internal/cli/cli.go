// Package cli holds the commands of the chestnuttiller binary.
package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// The exit codes. They are part of the command line's contract.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitNotAccepted = 3
	ExitUnknown     = 4
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	out := &outputFlag{format: outputText}
	root := newRoot(out)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		out.printError(os.Stderr, err)
		return exitCode(err)
	}
	return ExitOK
}

const rootHelp = `chestnuttiller is a query tier over many shards.

Exit codes:
  0  success
  1  failure
  2  usage or invalid input
  3  not accepted, or conflict with another change
  4  outcome unknown: the call may have had an effect`

func newRoot(out *outputFlag) *cobra.Command {
	root := &cobra.Command{
		Use:           "chestnuttiller",
		Short:         "A query tier over many shards",
		Long:          rootHelp,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return errs.Wrap(err, errs.KindInvalid, "see `"+cmd.CommandPath()+" --help`", "bad arguments")
	})
	root.PersistentFlags().VarP(out, "output", "o", "output format: text or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)) // It fails only for a flag that does not exist.
	root.AddCommand(newRun(), newVersion())
	root.AddCommand(newCheck(out), newApply(out), newStatus(out), newHistory(out), newTargets(out), newExplain(out), newQuery(out), newControl(out))
	root.AddCommand(newDemo(out), newTarget())
	return root
}

func exitCode(err error) int {
	switch errs.KindOf(err) {
	case errs.KindInvalid, errs.KindTooLarge, errs.KindNotFound:
		return ExitInvalid
	case errs.KindConflict, errs.KindNotAccepted:
		return ExitNotAccepted
	case errs.KindUnknownOutcome:
		return ExitUnknown
	}
	return ExitFailure
}
