package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the released version. Builds between releases add the commit.
const Version = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			goVersion := ""
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "chestnuttiller %s (%s)\n", Version, goVersion)
			return err
		},
	}
}
