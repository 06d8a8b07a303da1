package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

type applyOptions struct {
	client
	base, overlays string
	basedOn        uint64
	changeID       string
	author         string
	comment        string
	dryRun         bool
}

func newApply(out *outputFlag) *cobra.Command {
	o := &applyOptions{}
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Change the configuration",
		Long: "Sends a base file and the overlays of a folder as the new configuration. The change is accepted only if the\n" +
			"revision that it is based on is still in force; of two changes based on the same revision exactly one is accepted.\n" +
			"When the outcome is unknown (exit code 4), send the same files again with the same change ID.",
		Example: "  chestnuttiller apply --base base.ini --overlays overlays --based-on 0 --dry-run\n" +
			"  chestnuttiller apply --base base.ini --overlays overlays --based-on 12 --comment \"more time for quotes\"",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd, out) },
	}
	o.addFlags(cmd, defaultOperatorServer)
	f := cmd.Flags()
	f.StringVar(&o.base, "base", "", "base file (required)")
	f.StringVar(&o.overlays, "overlays", "", "folder with the overlays SITE.site.ini")
	f.Uint64Var(&o.basedOn, "based-on", 0, "revision that the change is based on; 0 for the first configuration (required)")
	f.StringVar(&o.changeID, "change-id", "", "ID of the change, for sending it again; generated when absent")
	f.StringVar(&o.author, "author", os.Getenv("USER"), "who makes the change")
	f.StringVar(&o.comment, "comment", "", "why the change is made")
	f.BoolVar(&o.dryRun, "dry-run", false, "show the difference for each site and change nothing")
	return cmd
}

func (o *applyOptions) run(cmd *cobra.Command, out *outputFlag) error {
	for _, name := range []string{"base", "based-on"} {
		if err := requireFlag(cmd, name); err != nil {
			return err
		}
	}
	files, err := readConfigFiles(o.base, o.overlays)
	if err != nil {
		return err
	}
	if _, err := config.Parse(files); err != nil {
		return err
	}
	req := operatorapi.ApplyRequest{
		Base: files.Base, Overlays: map[string]string{}, BasedOn: &o.basedOn, ChangeID: o.changeID,
		Author: o.author, Comment: o.comment, DryRun: o.dryRun,
	}
	for site, text := range files.Overlays {
		req.Overlays[string(site)] = text
	}
	if !o.dryRun {
		if err := o.assignChangeID(cmd, &req); err != nil {
			return err
		}
	}
	r, err := o.send(cmd.Context(), req)
	if err != nil {
		return err
	}
	return out.print(cmd, r, func(w io.Writer) { printApplyResult(w, r) })
}

// assignChangeID generates a change ID unless the operator gave one, and prints it before anything is sent, so that the
// operator can send the change again even if this process is killed.
func (o *applyOptions) assignChangeID(cmd *cobra.Command, req *operatorapi.ApplyRequest) error {
	if req.ChangeID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		req.ChangeID = id.String()
	}
	_, err := fmt.Fprintln(cmd.ErrOrStderr(), "change id:", req.ChangeID)
	return err
}

func (o *applyOptions) send(ctx context.Context, req operatorapi.ApplyRequest) (*operatorapi.ApplyResponse, error) {
	r := &operatorapi.ApplyResponse{}
	err := o.callOperatorAPI(ctx, "POST", operatorapi.PathConfig, nil, req, r)
	if err == nil || errs.KindOf(err) != errs.KindUnknownOutcome {
		return r, err
	}
	if req.DryRun {
		return nil, errs.Wrap(err, errs.KindUnavailable, "try again", "the dry run failed and changed nothing")
	}
	return nil, errs.Wrap(err, errs.KindUnknownOutcome, "resend with --change-id "+req.ChangeID+"; it is applied at most once", "outcome unknown")
}

func printApplyResult(w io.Writer, r *operatorapi.ApplyResponse) {
	switch {
	case r.Outcome == "dry_run" && r.Conflict:
		fmt.Fprintf(w, "dry run against revision %d; the change would be rejected, since it is based on another revision\n", r.Revision)
	case r.Outcome == "dry_run":
		fmt.Fprintf(w, "dry run against revision %d\n", r.Revision)
	case r.Repeated:
		fmt.Fprintf(w, "accepted by an earlier send as revision %d\n", r.Revision)
		return // The server's difference is against the revision in force now, not against the one that the change replaced.
	default:
		fmt.Fprintf(w, "accepted as revision %d\n", r.Revision)
	}
	if r.Difference.Empty() {
		fmt.Fprintln(w, "no difference")
	}
	for _, c := range r.Difference.System {
		fmt.Fprintf(w, "system  %s\n", c)
	}
	for _, s := range r.Difference.Sites {
		for _, c := range s.Changes {
			fmt.Fprintf(w, "site %s  %s\n", s.Site, c)
		}
	}
}
