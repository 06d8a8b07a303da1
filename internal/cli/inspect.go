package cli

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

func newStatus(out *outputFlag) *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which VM has which revision in force",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := &operatorapi.StatusResponse{}
			if err := c.callOperatorAPI(cmd.Context(), "GET", operatorapi.PathStatus, nil, nil, r); err != nil {
				return err
			}
			return out.print(cmd, r, func(w io.Writer) { printStatus(w, r) })
		},
	}
	c.addFlags(cmd, defaultOperatorServer)
	return cmd
}

func printStatus(w io.Writer, r *operatorapi.StatusResponse) {
	fmt.Fprintf(w, "revision in force: %d, control: %s\n", r.InForce, r.Control)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tZONE\tROLES\tREVISION\tSTATE AGE\tSEAT\tSTATUS")
	for _, vm := range r.VMs {
		if !vm.Reachable {
			fmt.Fprintf(t, "%s\t%s\t\t\t\t\tnot reachable: %s\n", vm.Name, vm.AvailabilityZone, vm.Error)
			continue
		}
		status := "ready"
		if len(vm.NotReady) > 0 {
			status = "not ready: " + strings.Join(vm.NotReady, "; ")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", vm.Name, vm.AvailabilityZone, strings.Join(vm.Roles, ","),
			vm.ConfigRevision, ageText(vm), seatText(vm), status)
	}
	_ = t.Flush() // It fails only if the output is closed, and then nobody reads it.
}

// ageText returns the age of a VM's copy of the replicated state. Control VMs have the state itself, which has no age.
func ageText(vm operatorapi.VM) string {
	switch {
	case vm.StateAgeMS >= 0:
		return (time.Duration(vm.StateAgeMS) * time.Millisecond).String()
	case vm.Control != nil:
		return "-"
	}
	return "unknown"
}

func seatText(vm operatorapi.VM) string {
	if vm.Seat < 0 {
		return "none"
	}
	return fmt.Sprintf("%d of %d", vm.Seat, vm.Seats)
}

func newHistory(out *outputFlag) *cobra.Command {
	c := &client{}
	var limit, before, revision uint64
	var folder string
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show who changed what, or write the files of a revision",
		Example: "  chestnuttiller history --limit 20\n" +
			"  chestnuttiller history --write current\n  chestnuttiller history --revision 12 --write old",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if folder != "" {
				return c.writeRevision(cmd, out, revision, folder)
			}
			if cmd.Flags().Changed("revision") {
				return errs.New(errs.KindInvalid, "add --write FOLDER", "--revision needs a folder for the files")
			}
			r := &operatorapi.HistoryResponse{}
			query := url.Values{"limit": {strconv.FormatUint(limit, 10)}, "before": {strconv.FormatUint(before, 10)}}
			if err := c.callOperatorAPI(cmd.Context(), "GET", operatorapi.PathHistory, query, nil, r); err != nil {
				return err
			}
			return out.print(cmd, r, func(w io.Writer) { printHistory(w, r) })
		},
	}
	c.addFlags(cmd, defaultOperatorServer)
	cmd.Flags().Uint64Var(&limit, "limit", 20, "maximum number of changes to show")
	cmd.Flags().Uint64Var(&before, "before", 0, "show changes before this revision")
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to write; 0 for the one in force")
	cmd.Flags().StringVar(&folder, "write", "", "folder to write base file and overlays to")
	return cmd
}

func (c *client) writeRevision(cmd *cobra.Command, out *outputFlag, revision uint64, folder string) error {
	r := &operatorapi.ConfigResponse{}
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	if err := c.callOperatorAPI(cmd.Context(), "GET", operatorapi.PathConfig, query, nil, r); err != nil {
		return err
	}
	files := map[string]string{"": r.Base}
	for site, text := range r.Overlays {
		files[site] = text
	}
	if err := writeConfigFiles(folder, files); err != nil {
		return err
	}
	return out.print(cmd, r, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d written to %s; revision %d is in force\n", r.Revision, folder, r.InForce)
	})
}

func printHistory(w io.Writer, r *operatorapi.HistoryResponse) {
	fmt.Fprintf(w, "revision in force: %d\n", r.InForce)
	for _, e := range r.Entries {
		fmt.Fprintf(w, "%d  %s  %s  %s  %s\n", e.Revision, e.At.Format(time.RFC3339), e.Author, e.ChangeID, e.Comment)
		for _, line := range e.Summary {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}

func newTargets(out *outputFlag) *cobra.Command {
	c := &client{}
	var service string
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "List the targets with live leases in the directory of one VM",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			if service != "" {
				query.Set("service", service)
			}
			r := &operatorapi.TargetsResponse{}
			if err := c.callOperatorAPI(cmd.Context(), "GET", operatorapi.PathTargets, query, nil, r); err != nil {
				return err
			}
			return out.print(cmd, r, func(w io.Writer) { printTargets(w, r) })
		},
	}
	c.addFlags(cmd, defaultOperatorServer)
	cmd.Flags().StringVar(&service, "service", "", "list one service only")
	return cmd
}

func printTargets(w io.Writer, r *operatorapi.TargetsResponse) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tTARGET\tZONE\tADDRESS\tSTATE\tLAYOUT\tSHARDS\tINDEX VERSIONS\tSLOTS\tLOAD")
	for _, target := range r.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%v\t%d\t%d+%d\n", target.Service, target.ID, target.AvailabilityZone, target.Address,
			target.State, target.Layout, target.Shards, target.IndexVersions, target.Slots, target.InFlight, target.Queued)
	}
	_ = t.Flush() // It fails only if the output is closed, and then nobody reads it.
}
