package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// maxKeyBytes limits the key that is read from standard input.
const maxKeyBytes = 4 << 10

func newExplain(out *outputFlag) *cobra.Command {
	c := &client{}
	req := operatorapi.ExplainRequest{}
	var keyStdin bool
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show where an entry VM would send a request now, and why, without sending it",
		Long: "Asks an entry VM which route and customer a request has, which leaves it would compare and choose, and whether it would be\n" +
			"refused. Nothing is sent to a leaf, and no credit or budget is used. The exit code is 0 also if the request would be refused.\n" +
			"The key is read from standard input, so that it is not in the list of processes or the history of the shell.",
		Example: "  chestnuttiller explain --server http://10.0.0.1:7480 --host h.example --path /search/\n" +
			"  chestnuttiller explain --host h.example --path /search/ --key-stdin < key-file",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, name := range []string{"host", "path"} {
				if err := requireFlag(cmd, name); err != nil {
					return err
				}
			}
			if keyStdin {
				key, err := readKey(cmd.InOrStdin())
				if err != nil {
					return err
				}
				req.Key = &key
			}
			r := &operatorapi.ExplainResponse{}
			err := c.callOperatorAPI(cmd.Context(), "POST", operatorapi.PathExplain, nil, &req, r)
			if errs.KindOf(err) == errs.KindUnknownOutcome {
				// An explanation has no effect, so its outcome is never unknown.
				return errs.Wrap(err, errs.KindUnavailable, errs.RemedyOf(err), "no complete answer from the operator API")
			}
			if err != nil {
				return err
			}
			return out.print(cmd, r, func(w io.Writer) { printExplanation(w, r) })
		},
	}
	c.addFlags(cmd, defaultOperatorServer)
	f := cmd.Flags()
	f.StringVar(&req.Host, "host", "", "host of the request")
	f.StringVar(&req.Path, "path", "", "path of the request")
	f.StringVar(&req.Method, "method", "GET", "method of the request; the choice does not depend on it")
	f.BoolVar(&keyStdin, "key-stdin", false, "read the key of a customer from standard input")
	return cmd
}

// readKey reads a key without the end of its line.
func readKey(in io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return "", errs.Wrap(err, errs.KindInvalid, "pass the key on standard input", "the key cannot be read")
	}
	if len(data) > maxKeyBytes {
		return "", errs.New(errs.KindTooLarge, "pass only the key on standard input", "the key has more than %d bytes", maxKeyBytes)
	}
	return strings.TrimRight(string(data), "\r\n"), nil
}

func printExplanation(w io.Writer, r *operatorapi.ExplainResponse) {
	fmt.Fprintf(w, "%s %s%s at VM %s: table version %d, evacuated zones %v (revision %d), choice = %s\n", r.Method, r.Host, r.Path, r.VM, r.TableVersion, r.EvacuatedZones, r.EvacuationsRevision, r.Choice)
	printRefusal(w, "", r.Refusal)
	if x := r.Route; x != nil {
		fmt.Fprintf(w, "route %s (%s%s): rank %d, timeout %s, objective %s, up to %d attempts\n", x.Name, x.Host, x.Prefix, x.Rank, msText(x.TimeoutMS), msText(x.ObjectiveMS), x.MaxAttempts)
	}
	if c := r.Customer; c != nil {
		fmt.Fprintf(w, "customer %s: %s\n", c.Name, quotaText(c))
	}
	for i := range r.Services {
		printService(w, &r.Services[i])
	}
}

func printRefusal(w io.Writer, indent string, r *operatorapi.ExplainedRefusal) {
	if r == nil {
		return
	}
	fmt.Fprintf(w, "%swould be refused (%s): %s", indent, r.Kind, r.Reason)
	if r.RetryAfterMS > 0 {
		fmt.Fprintf(w, "; retry after %s", msText(r.RetryAfterMS))
	}
	fmt.Fprintln(w)
}

func quotaText(c *operatorapi.ExplainedCustomer) string {
	if c.RatePerS == 0 {
		return "no quota"
	}
	text := fmt.Sprintf("quota %v/s, burst %v", c.RatePerS, c.Burst)
	switch c.Credit {
	case "":
		return text + ", not limited by this VM"
	case "available":
		return text + fmt.Sprintf(", at least %.0f units of credit", c.Units)
	case "denied":
		return text + fmt.Sprintf(", no credit for %s", msText(c.RetryAfterMS))
	}
	if c.Owner == "" {
		return text + ", no VM that keeps the credit is connected"
	}
	return text + ", VM " + c.Owner + " keeps the credit"
}

func printService(w io.Writer, s *operatorapi.ExplainedService) {
	chosen := s.Chosen
	if chosen == "" {
		chosen = "no leaf"
	}
	fmt.Fprintf(w, "service %s (share %.3g): %s: %s\n", s.Service, s.Share, chosen, s.Why)
	printRefusal(w, "  ", s.Refusal)
	fmt.Fprintf(w, "  extra attempts of this VM: %v used; retry %s (up to %.1f), hedge %s (up to %.1f)%s\n", s.Extras.Used,
		allowedText(s.Extras.RetryAllowed), s.Extras.RetriesUpTo, allowedText(s.Extras.HedgeAllowed), s.Extras.HedgesUpTo, poolText(&s.Extras))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "  LEAF\tZONE\tSTANDING\tCOST\tFINISH\tNETWORK\tWORK LEFT\tREQUESTS\tIN FLIGHT\tCONNECTIONS\tSLOWNESS\tFAILURES\tOUTLIER\tNOTES")
	for i := range s.Candidates {
		c := &s.Candidates[i]
		fmt.Fprintf(t, "  %s\t%s\t%s\t%.3g-%.3g\t%s\t%s\t%s\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%s\n", c.Leaf, c.AvailabilityZone, standingText(c), c.Cost, c.MaxCost,
			msText(c.FinishMS), msText(c.NetworkMS), msText(c.WorkLeftMS), c.Requests, c.InFlight, c.Connections, c.Slowness, c.FailureRate, c.OutlierRate, notesText(c))
	}
	_ = t.Flush() // It fails only if the output is closed, and then nobody reads it.
}

func allowedText(allowed bool) string {
	if allowed {
		return "allowed"
	}
	return "not allowed"
}

func poolText(e *operatorapi.ExplainedExtras) string {
	switch {
	case !e.Pooled:
		return ""
	case e.DeniedUntil != nil:
		return "; the pool grants none until " + e.DeniedUntil.Format(time.RFC3339Nano)
	}
	return fmt.Sprintf("; %d granted by the pool, which may grant more", e.Granted)
}

func standingText(c *operatorapi.Candidate) string {
	if c.Until == nil {
		return c.Standing
	}
	return c.Standing + " until " + c.Until.Format(time.RFC3339Nano)
}

func notesText(c *operatorapi.Candidate) string {
	var notes []string
	if c.ColdUntil != nil {
		notes = append(notes, "cold until "+c.ColdUntil.Format(time.RFC3339Nano))
	}
	for _, n := range []struct {
		applies bool
		text    string
	}{{c.Possible, "may be chosen"}, {c.Full, "full"}, {c.Stalled, "stalled"}, {c.OtherZone, "other zone"}, {!c.Preferred, "not preferred"}} {
		if n.applies {
			notes = append(notes, n.text)
		}
	}
	return strings.Join(notes, ", ")
}

func msText(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}
