package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// Paths of the control endpoint. GET of PathCounts returns Counts and GET of PathExecutions an ExecutionCount; the others
// take a POST.
const (
	PathCounts = "/counts"
	// PathExecutions takes one of the parameters attempt, order and request (the checksum of the request's body).
	PathExecutions = "/executions"
	PathFaults     = "/faults"
	PathIndex      = "/index"
	PathLayout     = "/layout"
	PathLoad       = "/load"
	PathLeave      = "/leave"
	PathFreeze     = "/freeze"
	PathThaw       = "/thaw"
	PathStop       = "/stop"
)

// IndexChange replaces the index versions that a target holds.
type IndexChange struct {
	Versions []model.IndexVersion `json:"versions"`
}

// LayoutChange replaces the partition layout and the shards that a target holds.
type LayoutChange struct {
	Number model.LayoutNumber `json:"number"`
	Shards []targetapi.Shard  `json:"shards"`
	Held   []model.ShardID    `json:"held"`
}

// LoadChange changes the delay and the factor of the load that a target reports.
type LoadChange struct {
	LagMS  int64   `json:"lag_ms"`
	Factor float64 `json:"factor"`
}

// LeaveRequest starts the drain of a target.
type LeaveRequest struct {
	DrainMS int64 `json:"drain_ms"`
}

// ExecutionCount is the number of executions of an attempt, an order or a request.
type ExecutionCount struct {
	Executions int `json:"executions"`
}

func (t *Target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counts()) })
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		n := t.Executions(model.AttemptID(q.Get("attempt")))
		if key := q.Get("order"); key != "" {
			n = t.OrderExecutions(key)
		}
		if checksum := q.Get("request"); checksum != "" {
			n = t.RequestExecutions(checksum)
		}
		writeJSON(w, ExecutionCount{n})
	})
	handlePost(mux, PathFaults, func(in []FaultSpec) error { return t.SetFaults(in) })
	handlePost(mux, PathIndex, func(in IndexChange) error { t.SetIndexVersions(in.Versions); return nil })
	handlePost(mux, PathLayout, func(in LayoutChange) error {
		var shards []model.Shard
		for _, s := range in.Shards {
			shards = append(shards, model.Shard{ID: model.ShardID(s.ID), Share: s.Share})
		}
		return t.SetLayout(in.Number, shards, in.Held)
	})
	handlePost(mux, PathLoad, func(in LoadChange) error {
		t.SetLoadReport(time.Duration(in.LagMS)*time.Millisecond, in.Factor)
		return nil
	})
	handlePost(mux, PathLeave, func(in LeaveRequest) error { t.Leave(time.Duration(in.DrainMS) * time.Millisecond); return nil })
	handlePost(mux, PathFreeze, func(struct{}) error { t.Freeze(); return nil })
	handlePost(mux, PathThaw, func(struct{}) error { t.Thaw(); return nil })
	handlePost(mux, PathStop, func(struct{}) error { t.Stop(); return nil })
	return mux
}

// handlePost registers a handler for a JSON object that is sent to a path by POST.
func handlePost[T any](mux *http.ServeMux, path string, fn func(T) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in T
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, targetapi.MaxAnnouncementBytes))
		dec.DisallowUnknownFields()
		err := dec.Decode(&in)
		if err != nil {
			err = errs.Wrap(err, errs.KindInvalid, "send one JSON object", "body of the request to %s cannot be decoded", path)
		} else {
			err = fn(in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, struct{}{})
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected.
}
