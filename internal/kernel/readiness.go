package kernel

import (
	"sort"
	"sync"
)

// Readiness collects the reasons why the process should not get callers' requests. The process is ready while there
// are none.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewReadiness returns a Readiness without reasons.
func NewReadiness() *Readiness { return &Readiness{reasons: map[string]string{}} }

// Set stores a reason under a key, such as the ID of the module that is not ready. It replaces the earlier reason of the
// key.
func (r *Readiness) Set(key, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[key] = reason
}

// Clear removes the reason under a key.
func (r *Readiness) Clear(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, key)
}

// Reasons returns the reasons in the order of their keys. It is empty when the process is ready.
func (r *Readiness) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.reasons))
	for k := range r.reasons {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := make([]string, 0, len(keys))
	for _, k := range keys {
		out = append(out, r.reasons[k])
	}
	return out
}
