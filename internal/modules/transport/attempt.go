package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// send makes one attempt over one connection.
func (p *pool) send(ctx context.Context, t *model.Target, req model.SubRequest, maxReply int64) model.Reply {
	var conn *countedConn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			conn, writtenBefore = c, c.written.Load()
			c.check.expect()
		}
	}}
	hr, err := newRequest(httptrace.WithClientTrace(ctx, trace), t.Addr, req)
	if err != nil {
		return model.Reply{Status: model.ReplyNotSent, Reason: err.Error()}
	}
	resp, err := p.client.RoundTrip(hr)
	if err != nil {
		return classifyFailure(ctx, err, conn != nil && (ctx.Err() != nil || conn.written.Load() > writtenBefore))
	}
	reply := readReply(ctx, resp, req, maxReply)
	// A refusal has a short body that readReply does not read. Reading it lets the connection be reused.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close() // The reply has been read, so a failed close does not matter.
	p.closeSurplus()
	return reply
}

// maxDiscardBytes limits how much of an unread body is read so that its connection can be reused.
const maxDiscardBytes = 16 << 10

// newRequest builds the request of an attempt. It is a POST without GetBody and without an Idempotency-Key
// header, because net/http automatically resends other requests when a kept-alive connection breaks.
func newRequest(ctx context.Context, addr string, req model.SubRequest) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+targetapi.PathShard, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, err
	}
	hr.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		hr.Body = http.NoBody
	}
	hr.GetBody = nil
	h := hr.Header
	h.Set("Content-Type", "application/octet-stream")
	h.Set(targetapi.HeaderAttempt, string(req.Attempt))
	h.Set(targetapi.HeaderService, string(req.Service))
	h.Set(targetapi.HeaderShard, strconv.FormatUint(uint64(req.Shard), 10))
	h.Set(targetapi.HeaderSnapshot, req.Snapshot.String())
	h.Set(targetapi.HeaderPriority, req.Priority.String())
	h.Set(targetapi.HeaderTimeoutMS, strconv.FormatInt(max(time.Until(req.Deadline).Milliseconds(), 1), 10))
	if req.OrderKey != "" {
		h.Set(targetapi.HeaderOrderKey, req.OrderKey)
	}
	return hr, nil
}

// classifyFailure classifies an attempt without a reply. Once a cancelled attempt has a connection, net/http may still
// write to it after RoundTrip returns, so the attempt counts as sent even when no byte has been written.
func classifyFailure(ctx context.Context, err error, maybeSent bool) model.Reply {
	r := model.Reply{Status: model.ReplyFailed, Reason: err.Error(), Cancelled: ctx.Err() != nil}
	switch {
	case !maybeSent:
		r.Status = model.ReplyNotSent
	case ctx.Err() != nil:
		r.Status = model.ReplyTimeout
	}
	return r
}

// readReply reads a reply and checks that it is complete and belongs to this attempt.
func readReply(ctx context.Context, resp *http.Response, req model.SubRequest, maxReply int64) model.Reply {
	r := model.Reply{Coverage: 1, TargetState: model.TargetState(resp.Header.Get(targetapi.HeaderTargetState))}
	if got := resp.Header.Get(targetapi.HeaderAttempt); got != string(req.Attempt) {
		return mismatch(r, "reply is for attempt %q", got)
	}
	if reason := resp.Header.Get(targetapi.HeaderNotRun); reason != "" && resp.StatusCode != http.StatusOK {
		r.Status, r.Reason = notRunStatus(reason), "target did not run the attempt: "+reason
		return r
	}
	if resp.StatusCode != http.StatusOK {
		r.Status, r.Reason = model.ReplyFailed, "target replied with status "+resp.Status
		return r
	}
	if got := resp.Header.Get(targetapi.HeaderSnapshot); got != req.Snapshot.String() {
		return mismatch(r, "reply is drawn from snapshot %q", got)
	}
	if got := resp.Header.Get(targetapi.HeaderShard); got != strconv.FormatUint(uint64(req.Shard), 10) {
		return mismatch(r, "reply is for shard %q", got)
	}
	if text := resp.Header.Get(targetapi.HeaderCoverage); text != "" {
		c, err := strconv.ParseFloat(text, 64)
		if err != nil || !(c >= 0 && c <= 1) {
			return mismatch(r, "reply has the coverage %q", text)
		}
		r.Coverage = c
	}
	return readBody(ctx, resp, r, maxReply)
}

// readBody reads the body. A length or checksum that does not match makes the reply a failure, because a
// truncated body must never be used as a complete reply.
func readBody(ctx context.Context, resp *http.Response, r model.Reply, maxReply int64) model.Reply {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil && ctx.Err() != nil:
		r.Status, r.Reason, r.Cancelled = model.ReplyTimeout, err.Error(), true
	case err != nil:
		r.Status, r.Reason = model.ReplyTruncated, err.Error()
	case int64(len(body)) > maxReply:
		r.Status, r.Reason = model.ReplyFailed, "reply is larger than [transport] max_reply_bytes"
	case resp.ContentLength < 0:
		r.Status, r.Reason = model.ReplyTruncated, "reply has no Content-Length, so a truncated body could not be detected"
	case !strings.EqualFold(resp.Header.Get(targetapi.HeaderChecksum), targetapi.Checksum(body)):
		r.Status, r.Reason = model.ReplyTruncated, "body does not match its checksum"
	default:
		r.Status, r.Body = model.ReplyOK, body
	}
	return r
}

func mismatch(r model.Reply, format, got string) model.Reply {
	r.Status = model.ReplyMismatch
	r.Reason = strings.Replace(format, "%q", strconv.Quote(got), 1) + ", which is not the requested one"
	return r
}

func notRunStatus(reason string) model.ReplyStatus {
	switch reason {
	case targetapi.NotRunShed:
		return model.ReplyShed
	case targetapi.NotRunNoSnapshot:
		return model.ReplyNoSnapshot
	}
	return model.ReplyNotRun
}
