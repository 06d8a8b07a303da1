package frontend

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/httperr"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// query runs one query or order and writes its answer.
func (m *Module) query(c echo.Context) error {
	req, err := m.readRequest(c)
	if err != nil {
		return err
	}
	started := m.now()
	answer := m.handler.HandleQuery(c.Request().Context(), req)
	answer.RequestID = req.ID
	m.scope.Tagged(map[string]string{"outcome": string(answer.Outcome), "service": string(req.Service)}).Counter("answers").Inc(1)
	m.scope.Timer("latency").Record(m.now().Sub(started))
	return writeAnswer(c, &answer)
}

// readRequest builds the request from headers and body. If it fails, nothing has run.
func (m *Module) readRequest(c echo.Context) (model.Request, error) {
	h := c.Request().Header
	req := model.Request{
		ID:       h.Get(callerapi.HeaderRequestID),
		Service:  model.ServiceName(c.Param("service")),
		Caller:   model.CallerID(h.Get(callerapi.HeaderCaller)),
		OrderKey: h.Get(callerapi.HeaderOrderKey),
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	v := m.control.View()
	if v.Config == nil {
		return req, errs.New(errs.KindUnavailable, "try again, or send the request to another VM", "this VM has no configuration yet")
	}
	service := v.Service(req.Service)
	if service == nil {
		return req, errs.New(errs.KindNotFound, "use a service that is configured at this site", "service %q is not configured at this site", req.Service)
	}
	if !service.Idempotent && req.OrderKey == "" {
		return req, errs.New(errs.KindInvalid, "send a UUIDv7 in header "+callerapi.HeaderOrderKey, "service %q accepts only orders, but the request has no order key", req.Service)
	}
	timeout, err := parseTimeout(h.Get(callerapi.HeaderTimeoutMS), service.Deadline)
	if err != nil {
		return req, err
	}
	req.Deadline = m.now().Add(timeout)
	if req.MinimumCoverage, err = parseCoverage(h.Get(callerapi.HeaderMinimumCoverage)); err != nil {
		return req, err
	}
	if text := h.Get(callerapi.HeaderPriority); text != "" {
		p, ok := model.ParsePriority(text)
		if !ok {
			return req, errs.New(errs.KindInvalid, "use urgent, normal or bulk", "header %s is %q", callerapi.HeaderPriority, text)
		}
		req.Priority = &p
	}
	req.Body, err = readBody(c, int64(service.MaxRequestBytes))
	return req, err
}

// parseTimeout returns the caller's timeout, at most the deadline of the service.
func parseTimeout(text string, deadline time.Duration) (time.Duration, error) {
	if text == "" {
		return deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errs.New(errs.KindInvalid, "send whole milliseconds above 0", "header %s is %q", callerapi.HeaderTimeoutMS, text)
	}
	if ms > deadline.Milliseconds() {
		return deadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseCoverage(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		return 0, errs.New(errs.KindInvalid, "send a number from 0 to 1", "header %s is %q", callerapi.HeaderMinimumCoverage, text)
	}
	return f, nil
}

func readBody(c echo.Context, limit int64) ([]byte, error) {
	r := c.Request()
	tooLarge := errs.New(errs.KindTooLarge, fmt.Sprintf("send at most %d bytes", limit), "the request body is too large")
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send the whole body within the read timeout", "the request body cannot be read")
	}
	if int64(len(body)) > limit {
		return nil, tooLarge
	}
	return body, nil
}

func writeAnswer(c echo.Context, a *model.Answer) error {
	h := c.Response().Header()
	h.Set(callerapi.HeaderRequestID, a.RequestID)
	h.Set(callerapi.HeaderOutcome, string(a.Outcome))
	h.Set(callerapi.HeaderCoverage, strconv.FormatFloat(a.Coverage, 'f', -1, 64))
	if a.Snapshot != (model.Snapshot{}) {
		h.Set(callerapi.HeaderSnapshot, a.Snapshot.String())
	}
	if a.Outcome == model.OutcomeRefused {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(max(a.RetryAfter, time.Second).Seconds()))))
	}
	return c.JSON(callerapi.StatusOf(a.Outcome), callerapi.Encode(a))
}

// order writes the claim on an order and its recorded result.
func (m *Module) order(c echo.Context) error {
	if m.claims == nil {
		return errs.New(errs.KindUnavailable, "run the VM with control VMs among its peers", "orders cannot be looked up, because this VM has no claim store")
	}
	id := model.OrderID{Service: model.ServiceName(c.Param("service")), Key: c.Param("key")}
	claim, err := m.claims.Lookup(c.Request().Context(), id)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, orderStatus{
		Service: string(id.Service), Key: id.Key, State: string(claim.State), Holder: string(claim.Holder.VM),
		ClaimedAt: claim.ClaimedAt.UTC().Format(time.RFC3339Nano), Result: claim.Result,
	})
}

// orderStatus is the JSON form of a claim on an order.
type orderStatus struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	State     string `json:"state"`
	Holder    string `json:"holder"`
	ClaimedAt string `json:"claimed_at"`
	Result    []byte `json:"result,omitempty"`
}

func tooManyRequests(limit int64) error {
	return errs.New(errs.KindOverload, "try again in a second", "this VM already has %d requests in progress", limit)
}

// writeError answers a request that was refused. A query or order that was refused here has not run.
func (m *Module) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := httperr.StatusOf(errs.KindOf(err)), httperr.Encode(err)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
		body = httperr.Body{Kind: string(errs.KindNotFound), Message: fmt.Sprint(he.Message), Remedy: "see docs/caller-protocol.md"}
	}
	if status == http.StatusTooManyRequests {
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	}
	if c.Path() == callerapi.PathQuery {
		c.Response().Header().Set(callerapi.HeaderOutcome, string(model.OutcomeNotRun))
	}
	m.scope.Tagged(map[string]string{"kind": body.Kind}).Counter("turned_away").Inc(1)
	_ = c.JSON(status, body) // The caller may have closed the connection.
}
