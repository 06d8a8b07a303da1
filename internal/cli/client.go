package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

const (
	defaultOperatorServer = "http://127.0.0.1:7480"
	defaultQueryServer    = "http://127.0.0.1:7400"
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 256 << 20
)

// client calls a VM over HTTP.
type client struct {
	server  string
	timeout time.Duration
}

func (c *client) addFlags(cmd *cobra.Command, server string) {
	cmd.Flags().StringVar(&c.server, "server", server, "URL of the VM to call")
	cmd.Flags().DurationVar(&c.timeout, "timeout", 15*time.Second, "time limit of the call")
}

// callOperatorAPI sends a request to the operator API and decodes the JSON response into response.
func (c *client) callOperatorAPI(ctx context.Context, method, path string, query url.Values, body, response any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	rawURL := strings.TrimSuffix(c.server, "/") + path
	if len(query) > 0 {
		rawURL += "?" + query.Encode()
	}
	req, err := http.NewRequest(method, rawURL, bytes.NewReader(data))
	if err != nil {
		return errs.Wrap(err, errs.KindInvalid, "write a URL such as "+defaultOperatorServer, "--server is malformed")
	}
	req.Header.Set("Content-Type", "application/json")
	// The VM gets less time than this client waits, so that it answers first: without an answer the outcome of a
	// change is unknown.
	req.Header.Set(operatorapi.HeaderTimeoutMS, strconv.FormatInt((c.timeout*3/4).Milliseconds(), 10))
	status, answer, err := c.sendOnce(ctx, req)
	if err != nil && method == http.MethodGet {
		// A read has no effect, so its outcome is never unknown.
		return errs.Wrap(err, errs.KindUnavailable, errs.RemedyOf(err), "no complete answer from the operator API")
	}
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return decodeError(status, answer)
	}
	if err := json.Unmarshal(answer, response); err != nil {
		return errs.Wrap(err, errs.KindUnknownOutcome, "check that --server is the operator API of a VM of this release", "the answer of the VM cannot be decoded")
	}
	return nil
}

func decodeError(status int, answer []byte) error {
	var e operatorapi.Error
	if err := json.Unmarshal(answer, &e); err != nil || e.Kind == "" {
		kind := errs.KindInternal
		if status >= 500 {
			kind = errs.KindUnknownOutcome
		}
		return errs.New(kind, "check that --server is the operator API of a VM", "the server answered with status %d", status)
	}
	return e.Decode()
}

// sendOnce sends a request once. An error of kind not_accepted means that the request cannot have arrived, one of kind
// outcome_unknown that it may have.
func (c *client) sendOnce(ctx context.Context, req *http.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, nil, errs.Wrap(err, errs.KindNotAccepted, "check --server and that the VM runs", "the VM cannot be reached")
		}
		return 0, nil, errs.Wrap(err, errs.KindUnknownOutcome, "check the VM and send the request again", "no answer from the VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return 0, nil, errs.New(errs.KindUnknownOutcome, "check that --server is a VM, and send the request again", "the answer has the malformed status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, errs.Wrap(err, errs.KindUnknownOutcome, "check the VM and send the request again", "the answer of the VM was cut off")
}
