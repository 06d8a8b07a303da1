package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

type queryOptions struct {
	client
	body, bodyFile  string
	minimumCoverage float64
	priority        string
	caller          string
	orderKey        string
}

func newQuery(out *outputFlag) *cobra.Command {
	o := &queryOptions{}
	cmd := &cobra.Command{
		Use:   "query SERVICE",
		Short: "Send one request as a caller",
		Long: "Sends one request to an entry VM and prints the answer with its outcome and coverage. The exit code is 0 for\n" +
			"complete and partial, 1 for failed, 3 for not_run and refused, and 4 for outcome_unknown.",
		Example: "  chestnuttiller query route-plan --body '{\"lot\":17}' --minimum-coverage 1",
		Args:    oneArg("SERVICE"),
		RunE:    func(cmd *cobra.Command, args []string) error { return o.run(cmd, out, args[0]) },
	}
	o.addFlags(cmd, defaultQueryServer)
	f := cmd.Flags()
	f.StringVar(&o.body, "body", "", "body of the request")
	f.StringVar(&o.bodyFile, "body-file", "", "file with the body of the request")
	f.Float64Var(&o.minimumCoverage, "minimum-coverage", 0, "minimum coverage to accept, from 0 to 1")
	f.StringVar(&o.priority, "priority", "", "urgent, normal or bulk; the priority of the service when absent")
	f.StringVar(&o.caller, "caller", "", "name of the caller")
	f.StringVar(&o.orderKey, "order-key", "", "key of an order, a UUIDv7")
	return cmd
}

func (o *queryOptions) run(cmd *cobra.Command, out *outputFlag, service string) error {
	req, err := o.request(service)
	if err != nil {
		return err
	}
	_, data, err := o.sendOnce(cmd.Context(), req)
	if err != nil {
		return o.noAnswerError(err)
	}
	var a callerapi.Answer
	if err := json.Unmarshal(data, &a); err != nil || a.Outcome == "" {
		return o.noAnswerError(errs.New(errs.KindUnknownOutcome, "check that --server is an entry VM", "the response is not an answer of an entry VM"))
	}
	if err := out.print(cmd, a, func(w io.Writer) { printAnswer(w, &a) }); err != nil {
		return err
	}
	return outcomeError(&a)
}

func (o *queryOptions) request(service string) (*http.Request, error) {
	body := []byte(o.body)
	if o.bodyFile != "" {
		var err error
		if body, err = os.ReadFile(o.bodyFile); err != nil {
			return nil, errs.Wrap(err, errs.KindInvalid, "name a readable file", "cannot read the request body")
		}
	}
	if _, ok := model.ParsePriority(o.priority); o.priority != "" && !ok {
		return nil, errs.New(errs.KindInvalid, "use urgent, normal or bulk", "unknown priority %q", o.priority)
	}
	if o.minimumCoverage < 0 || o.minimumCoverage > 1 {
		return nil, errs.New(errs.KindInvalid, "use a number from 0 to 1", "minimum coverage %v is out of range", o.minimumCoverage)
	}
	path := strings.Replace(callerapi.PathQuery, ":service", url.PathEscape(service), 1)
	req, err := http.NewRequest("POST", strings.TrimSuffix(o.server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "write a URL such as "+defaultQueryServer, "--server is malformed")
	}
	// With GetBody net/http could send the request a second time on its own.
	req.GetBody = nil
	for name, value := range map[string]string{
		callerapi.HeaderTimeoutMS: strconv.FormatInt(o.timeout.Milliseconds(), 10),
		callerapi.HeaderPriority:  o.priority, callerapi.HeaderCaller: o.caller, callerapi.HeaderOrderKey: o.orderKey,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if o.minimumCoverage > 0 {
		req.Header.Set(callerapi.HeaderMinimumCoverage, strconv.FormatFloat(o.minimumCoverage, 'g', -1, 64))
	}
	return req, nil
}

// noAnswerError turns an unknown outcome into the error of the request: a query without an answer has failed, and an
// order may have run.
func (o *queryOptions) noAnswerError(err error) error {
	if errs.KindOf(err) != errs.KindUnknownOutcome {
		return err
	}
	if o.orderKey == "" {
		return errs.Wrap(err, errs.KindUnavailable, "send the query again", "the query failed")
	}
	return errs.Wrap(err, errs.KindUnknownOutcome, "send the order again with the same --order-key", "the order may have run")
}

// outcomeError returns the error whose exit code belongs to the outcome of an answer.
func outcomeError(a *callerapi.Answer) error {
	kind := errs.KindUnavailable
	switch model.Outcome(a.Outcome) {
	case model.OutcomeComplete, model.OutcomePartial:
		return nil
	case model.OutcomeNotRun, model.OutcomeRefused:
		kind = errs.KindNotAccepted
	case model.OutcomeUnknown:
		kind = errs.KindUnknownOutcome
	}
	remedy := a.Remedy
	if remedy == "" {
		remedy = "see the log of the entry VM"
	}
	return errs.New(kind, remedy, "the request ended with %s: %s", a.Outcome, a.Reason)
}

func printAnswer(w io.Writer, a *callerapi.Answer) {
	fmt.Fprintf(w, "outcome: %s, coverage: %v, snapshot: %s\n", a.Outcome, a.Coverage, a.Snapshot)
	if len(a.Missing) > 0 {
		fmt.Fprintf(w, "missing shards: %v\n", a.Missing)
	}
	for _, p := range a.Parts {
		fmt.Fprintf(w, "shard %d (coverage %v): %s\n", p.Shard, p.Coverage, p.Body)
	}
}
