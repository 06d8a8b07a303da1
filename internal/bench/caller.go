package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
)

// maxAnswerBytes limits the bytes that are read of one answer. An answer of 1,100 shards takes about 1 MB.
const maxAnswerBytes = 64 << 20

// Caller sends requests and checks the answers.
type Caller struct {
	client  *http.Client
	layouts LayoutSource
}

// Result holds the answer to a request and its violations, or the error.
type Result struct {
	// Err is set when there is no complete, readable answer.
	Err error
	// Unsent reports whether Err is a failed dial, so that no byte was sent.
	Unsent     bool
	Status     int
	Header     http.Header
	Answer     callerapi.Answer
	Violations []string
}

// NewCaller returns a caller that checks answers against the given layouts.
func NewCaller(layouts LayoutSource) *Caller {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	return &Caller{layouts: layouts, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute,
	}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request to an entry VM and checks its answer.
func (c *Caller) Do(ctx context.Context, base string, r *Request) Result {
	req, err := c.newRequest(ctx, base, r)
	if err != nil {
		return Result{Err: err}
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Result{Err: err, Unsent: isDialError(err)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return Result{Err: err}
	}
	out := Result{Status: res.StatusCode, Header: res.Header}
	if err := json.Unmarshal(body, &out.Answer); err != nil {
		return Result{Err: err}
	}
	out.Violations = CheckAnswer(r, res.StatusCode, res.Header, &out.Answer, c.layouts)
	return out
}

func (c *Caller) newRequest(ctx context.Context, base string, r *Request) (*http.Request, error) {
	path := strings.Replace(callerapi.PathQuery, ":service", string(r.Service), 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not resend the request when its answer is lost. The caller decides on a resend.
	req.GetBody = nil
	h := req.Header
	h.Set(callerapi.HeaderRequestID, r.ID)
	for name, value := range map[string]string{
		callerapi.HeaderPriority: r.Priority, callerapi.HeaderCaller: r.Caller, callerapi.HeaderOrderKey: r.OrderKey,
	} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if r.TimeoutMS > 0 {
		h.Set(callerapi.HeaderTimeoutMS, strconv.FormatInt(r.TimeoutMS, 10))
	}
	if r.MinimumCoverage > 0 {
		h.Set(callerapi.HeaderMinimumCoverage, strconv.FormatFloat(r.MinimumCoverage, 'g', -1, 64))
	}
	return req, nil
}

// OrderPath returns the path of the record of an order.
func OrderPath(service, key string) string {
	return strings.NewReplacer(":service", service, ":key", key).Replace(callerapi.PathOrder)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
