package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// maxBodyBytes limits the body of a sub-request.
const maxBodyBytes = 1 << 20

// Payload is the body of a reply. It identifies the sub-request that the reply answers, so that a checker at the caller
// can verify that it received the complete answer to its own request.
type Payload struct {
	Service  model.ServiceName `json:"service"`
	Target   model.TargetID    `json:"target"`
	Shard    model.ShardID     `json:"shard"`
	Snapshot string            `json:"snapshot"`
	Attempt  model.AttemptID   `json:"attempt"`
	Order    string            `json:"order,omitempty"`
	// Request is the checksum of the body of the request.
	Request string `json:"request"`
	Padding string `json:"padding,omitempty"`
}

// RequestChecksum returns the checksum of a request's body, under which executions are counted.
func RequestChecksum(body []byte) string { return targetapi.Checksum(body) }

// subRequest is a decoded sub-request. remaining is the time left until its deadline; order is the order key, empty for a
// query.
type subRequest struct {
	attempt    model.AttemptID
	shard      model.ShardID
	snapshot   model.Snapshot
	priority   model.Priority
	remaining  time.Duration
	order      string
	body       []byte
	remoteAddr string
}

// reply is an encoded reply with its sub-request.
type reply struct {
	sub  subRequest
	body []byte
}

func decodeSubRequest(r *http.Request) (subRequest, error) {
	s := subRequest{attempt: model.AttemptID(r.Header.Get(targetapi.HeaderAttempt)), order: r.Header.Get(targetapi.HeaderOrderKey)}
	shard, err := strconv.ParseUint(r.Header.Get(targetapi.HeaderShard), 10, 32)
	if err != nil {
		return s, fmt.Errorf("%s: %w", targetapi.HeaderShard, err)
	}
	s.shard = model.ShardID(shard)
	if s.snapshot, err = model.ParseSnapshot(r.Header.Get(targetapi.HeaderSnapshot)); err != nil {
		return s, err
	}
	ms, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderTimeoutMS), 10, 64)
	if err != nil {
		return s, fmt.Errorf("%s: %w", targetapi.HeaderTimeoutMS, err)
	}
	s.remaining = time.Duration(ms) * time.Millisecond
	p, ok := model.ParsePriority(r.Header.Get(targetapi.HeaderPriority))
	if !ok || s.attempt == "" {
		return s, fmt.Errorf("attempt %q with priority %q: the attempt ID is empty or the priority is unknown", s.attempt, r.Header.Get(targetapi.HeaderPriority))
	}
	s.priority = p
	s.body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err == nil && len(s.body) > maxBodyBytes {
		err = fmt.Errorf("body is larger than %d bytes", maxBodyBytes)
	}
	return s, err
}

func (t *Target) shardHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathShard, t.serveShard)
	return mux
}

// serveShard answers one sub-request.
func (t *Target) serveShard(w http.ResponseWriter, r *http.Request) {
	t.recorder.recordSubRequest(time.Now())
	sub, err := decodeSubRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), sub.remaining)
	defer cancel()
	if reason := t.refusal(&sub); reason != "" {
		t.refuse(w, &sub, reason)
		return
	}
	switch t.slots.acquire(ctx) {
	case slotQueueFull:
		t.refuse(w, &sub, targetapi.NotRunShed)
		return
	case slotTimeout:
		t.refuse(w, &sub, targetapi.NotRunDeadline)
		return
	}
	defer t.slots.release()
	// The state may have changed while the sub-request waited for a slot.
	if reason := t.refusal(&sub); reason != "" {
		t.refuse(w, &sub, reason)
		return
	}
	sub.remoteAddr = r.RemoteAddr
	t.execute(ctx, w, &sub)
}

// refusal returns the reason not to run a sub-request, or an empty string when it can run.
func (t *Target) refusal(sub *subRequest) string {
	v := t.view.Load()
	switch {
	case v.state == model.TargetLeaving:
		return targetapi.NotRunLeaving
	case !v.holds(sub.snapshot, sub.shard):
		return targetapi.NotRunNoSnapshot
	case sub.remaining <= 0:
		return targetapi.NotRunDeadline
	}
	return ""
}

var refusalStatus = map[string]int{
	targetapi.NotRunShed:       http.StatusTooManyRequests,
	targetapi.NotRunLeaving:    http.StatusServiceUnavailable,
	targetapi.NotRunNoSnapshot: http.StatusGone,
	targetapi.NotRunDeadline:   http.StatusGatewayTimeout,
}

func (t *Target) refuse(w http.ResponseWriter, sub *subRequest, reason string) {
	t.recorder.update(func(c *Counts) { c.NotRun[reason]++ })
	w.Header().Set(targetapi.HeaderAttempt, string(sub.attempt))
	w.Header().Set(targetapi.HeaderNotRun, reason)
	w.Header().Set(targetapi.HeaderTargetState, string(t.view.Load().state))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(refusalStatus[reason])
}

// execute simulates the work of a sub-request and writes the reply.
func (t *Target) execute(ctx context.Context, w http.ResponseWriter, sub *subRequest) {
	plan := t.planReply(sub)
	t.recorder.recordExecution(sub.attempt, sub.order, RequestChecksum(sub.body), sub.priority)
	t.recorder.update(func(c *Counts) { c.HighestInFlight = max(c.HighestInFlight, int(t.slots.inUse.Load())) })
	waitUntil(time.Now().Add(plan.WorkTime), ctx.Done())
	if ctx.Err() != nil && plan.ReplyDelay == 0 {
		t.recorder.update(func(c *Counts) { c.Cancelled++ })
		http.Error(w, "attempt was cancelled or its deadline has passed", http.StatusGatewayTimeout)
		return
	}
	t.recorder.update(func(c *Counts) { c.Completed++ })
	waitUntil(time.Now().Add(plan.ReplyDelay+plan.TransitDelay), t.done)
	t.writeReply(w, plan, reply{sub: *sub, body: t.payload(sub)})
}

// planReply samples the service time and the faults of a sub-request.
func (t *Target) planReply(sub *subRequest) ReplyPlan {
	v := t.view.Load()
	p := ReplyPlan{Remaining: sub.remaining, Status: http.StatusOK, TransitDelay: t.cfg.NetworkDelay}
	if t.cfg.NetworkPath != nil {
		ip, _, _ := net.SplitHostPort(sub.remoteAddr)
		d, _ := t.cfg.NetworkPath(ip)
		p.TransitDelay += d
	}
	t.withRandom(func(random *rand.Rand) {
		p.WorkTime = t.cfg.ServiceTime.Sample(random)
		if v.state == model.TargetCold {
			p.WorkTime = time.Duration(float64(p.WorkTime) * t.cfg.ColdFactor)
		}
		applyFaults(v.faults, &p, random)
	})
	if p.Form != FormCorrect || p.Status != http.StatusOK || p.ReplyDelay > 0 {
		t.recorder.update(func(c *Counts) { c.Faulty++ })
	}
	return p
}

// withRandom calls fn with the random source, which several goroutines share.
func (t *Target) withRandom(fn func(random *rand.Rand)) {
	t.randomLock.Lock()
	defer t.randomLock.Unlock()
	fn(t.random)
}

func (t *Target) payload(sub *subRequest) []byte {
	p := Payload{
		Service: t.cfg.Service, Target: t.cfg.ID, Shard: sub.shard, Snapshot: sub.snapshot.String(),
		Attempt: sub.attempt, Order: sub.order, Request: RequestChecksum(sub.body),
		Padding: strings.Repeat("x", t.cfg.BodyBytes),
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // A struct of strings and numbers can always be encoded.
	}
	return body
}

// writeReply writes a reply in the form that the plan gives. FormCrossed writes the reply to an earlier sub-request
// instead.
func (t *Target) writeReply(w http.ResponseWriter, plan ReplyPlan, out reply) {
	if plan.Status != http.StatusOK {
		http.Error(w, "stand-in target: injected error", plan.Status)
		return
	}
	if plan.Form == FormCrossed {
		if other := t.previous.Load(); other != nil {
			out = *other
		}
	} else {
		t.previous.Store(&out)
	}
	h := w.Header()
	t.setHeaders(h, out)
	if plan.Form == FormDamaged {
		out.body = bytes.ToUpper(out.body)
	}
	if plan.Form == FormTruncated || plan.Form == FormDuplicate {
		t.writeRaw(w, plan.Form, h, out.body)
		return
	}
	_, _ = w.Write(out.body) // The caller may have disconnected.
}

func (t *Target) setHeaders(h http.Header, out reply) {
	h.Set(targetapi.HeaderAttempt, string(out.sub.attempt))
	h.Set(targetapi.HeaderShard, strconv.FormatUint(uint64(out.sub.shard), 10))
	h.Set(targetapi.HeaderSnapshot, out.sub.snapshot.String())
	h.Set(targetapi.HeaderChecksum, targetapi.Checksum(out.body))
	h.Set(targetapi.HeaderTargetState, string(t.view.Load().state))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
}

// writeRaw writes a reply on the hijacked connection, since net/http does not allow a body that differs from its declared
// length.
func (t *Target) writeRaw(w http.ResponseWriter, form ReplyForm, h http.Header, body []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&out) // Writing to a buffer never fails.
	out.WriteString("\r\n")
	if form == FormTruncated {
		out.Write(body[:len(body)/2])
	} else {
		out.Write(body)
		out.Write(bytes.Clone(out.Bytes()))
	}
	_, _ = buf.Write(out.Bytes()) // The caller may have disconnected.
	_ = buf.Flush()               // The caller may have disconnected.
	if form == FormTruncated {
		return
	}
	// The connection stays open, so that the caller can read the second reply as the answer to its next request.
	_, _ = io.Copy(io.Discard, conn)
}
