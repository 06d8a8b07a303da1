package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/controllog"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// initControlVM writes the identity of one of the first control VMs.
var initControlVM = controllog.Init

func newControl(out *outputFlag) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Create the control group, or list its members",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newControlInit(out), newControlMembers(out))
	return cmd
}

// initResult is the output of `control init`.
type initResult struct {
	VM     string `json:"vm"`
	Folder string `json:"folder"`
}

func newControlInit(out *outputFlag) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "init",
		Short: "Write the identity of one of the first control VMs",
		Long: "Writes the identity of this VM and the first members of the control group ([control] initial_members) into its\n" +
			"data folder. Run it once on each of the first control VMs, before they are started for the first time. A VM\n" +
			"that lost its disk is not initialised again: it is started with an empty data folder and joins by itself.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path, kernel.SettingsKeys())
			if err != nil {
				return err
			}
			if err := initControlVM(s); err != nil {
				return err
			}
			r := initResult{VM: string(s.VM), Folder: s.DataFolder}
			return out.print(cmd, r, func(w io.Writer) {
				fmt.Fprintf(w, "control VM %s is initialised in %s\n", r.VM, r.Folder)
			})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "chestnuttiller.ini", "settings file of this process")
	return cmd
}

func newControlMembers(out *outputFlag) *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "members",
		Short: "List the members of the control group",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := &operatorapi.MembersResponse{}
			if err := c.callOperatorAPI(cmd.Context(), "GET", operatorapi.PathMembers, nil, nil, r); err != nil {
				return err
			}
			return out.print(cmd, r, func(w io.Writer) { printMembers(w, r) })
		},
	}
	c.addFlags(cmd, defaultOperatorServer)
	return cmd
}

func printMembers(w io.Writer, r *operatorapi.MembersResponse) {
	fmt.Fprintf(w, "leader: %s, term: %d, reported by: %s\n", r.Leader, r.Term, r.ReportedBy)
	for _, m := range r.Members {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		fmt.Fprintf(w, "%s  %s  %s\n", m.VM, m.Replica, role)
	}
	for _, vm := range r.Replicas {
		if vm.Control == nil {
			fmt.Fprintf(w, "%s  not reachable: %s\n", vm.Name, vm.Error)
		}
	}
}
