package standin

import (
	"sync"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Counts holds the counters of a target. Tests rely on them, so every counter is updated before the effect that it counts
// can be seen from outside. Only announcements are counted after the response to them.
type Counts struct {
	// Received counts sub-requests, Executed those whose work began, Completed those whose work ended. Cancelled counts
	// those that were cancelled, or whose deadline passed, during the work.
	Received  int `json:"received"`
	Executed  int `json:"executed"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// Urgent counts executed sub-requests of priority urgent.
	Urgent int `json:"urgent"`
	// NotRun counts refused sub-requests by reason.
	NotRun map[string]int `json:"not_run"`
	// RepeatedAttempts counts executions beyond the first of an attempt, RepeatedOrders those of an order.
	RepeatedAttempts int `json:"repeated_attempts"`
	RepeatedOrders   int `json:"repeated_orders"`
	Orders           int `json:"orders"`
	// Connections is the number of open connections; HighestConnections is its maximum. Neither includes refused ones.
	Connections        int `json:"connections"`
	HighestConnections int `json:"highest_connections"`
	RefusedConnections int `json:"refused_connections"`
	AcceptedTotal      int `json:"accepted_total"`
	// HighestInFlight is the highest number of slots in use.
	HighestInFlight int `json:"highest_in_flight"`
	// AfterLeave counts the sub-requests that arrived after Leave was called. LastAfterLeaveMS is the time from that
	// call to the last of them.
	AfterLeave       int   `json:"after_leave"`
	LastAfterLeaveMS int64 `json:"last_after_leave_ms"`
	// Faulty counts the sub-requests for which a fault changes the delay, the status or the form of the reply. A fault that
	// changes only the work time, such as straggle, does not count.
	Faulty int `json:"faulty"`
	// Announced counts all announcements, also those without a response. AnnounceRefused counts those refused.
	Announced       int    `json:"announced"`
	AnnounceRefused int    `json:"announce_refused"`
	LastRefusal     string `json:"last_refusal,omitempty"`
}

// recorder updates the counters under a lock, since both traffic goroutines and the control goroutine use it.
type recorder struct {
	mu       sync.Mutex
	counts   Counts
	attempts map[model.AttemptID]int
	orders   map[string]int
	// requests counts executions by the checksum of the body, so that a caller that sends each body once can query
	// whether its request ran.
	requests  map[string]int
	leaveTime time.Time
}

func newRecorder() *recorder {
	return &recorder{counts: Counts{NotRun: map[string]int{}}, attempts: map[model.AttemptID]int{}, orders: map[string]int{}, requests: map[string]int{}}
}

func (r *recorder) update(fn func(c *Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.counts)
}

// recordSubRequest counts a received sub-request, also as one after the leave if the target has left.
func (r *recorder) recordSubRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Received++
	if r.leaveTime.IsZero() {
		return
	}
	r.counts.AfterLeave++
	r.counts.LastAfterLeaveMS = now.Sub(r.leaveTime).Milliseconds()
}

// recordExecution counts an attempt whose work begins.
func (r *recorder) recordExecution(attempt model.AttemptID, order, request string, p model.Priority) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Executed++
	if p == model.PriorityUrgent {
		r.counts.Urgent++
	}
	r.requests[request]++
	r.attempts[attempt]++
	if r.attempts[attempt] > 1 {
		r.counts.RepeatedAttempts++
	}
	if order == "" {
		return
	}
	r.orders[order]++
	if r.orders[order] > 1 {
		r.counts.RepeatedOrders++
		return
	}
	r.counts.Orders++
}

// recordLeave stores the time of the first call of Leave.
func (r *recorder) recordLeave(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaveTime.IsZero() {
		r.leaveTime = now
	}
}

// currentCounts returns a copy of the counters.
func (r *recorder) currentCounts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counts
	out.NotRun = make(map[string]int, len(r.counts.NotRun))
	for k, v := range r.counts.NotRun {
		out.NotRun[k] = v
	}
	return out
}

func (r *recorder) attemptExecutions(a model.AttemptID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[a]
}

func (r *recorder) orderExecutions(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders[key]
}

func (r *recorder) requestExecutions(checksum string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[checksum]
}
