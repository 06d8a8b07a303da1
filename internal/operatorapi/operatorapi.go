// Package operatorapi is the HTTP protocol between operators and the system: paths and JSON bodies. The module
// operator.http serves it, and the command line uses it.
package operatorapi

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// The paths of the protocol.
const (
	PathConfig  = "/v1/config"
	PathChange  = "/v1/changes/:id"
	PathHistory = "/v1/history"
	PathStatus  = "/v1/status"
	PathTargets = "/v1/targets"
	PathMembers = "/v1/control/members"
	PathExplain = "/v1/explain"
	PathMetrics = "/metrics"
	PathReady   = "/ready"
	PathHealth  = "/health"
)

// HeaderTimeoutMS is the header with the time that the client waits for the response, in milliseconds.
const HeaderTimeoutMS = "Chestnuttiller-Timeout-Ms"

// ApplyRequest requests a change of the configuration.
type ApplyRequest struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	// BasedOn is the revision that the change is based on; 0 before the first configuration.
	BasedOn  *uint64 `json:"based_on"`
	ChangeID string  `json:"change_id,omitempty"`
	Author   string  `json:"author,omitempty"`
	Comment  string  `json:"comment,omitempty"`
	// DryRun requests only the checks and the comparison.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse is the response to an accepted change or a dry run.
type ApplyResponse struct {
	// Outcome is "accepted" or "dry_run".
	Outcome  string `json:"outcome"`
	ChangeID string `json:"change_id,omitempty"`
	// Revision is the revision of the change, or in a dry run the revision in force.
	Revision uint64 `json:"revision"`
	// Repeated reports whether the change was accepted by an earlier send.
	Repeated bool `json:"repeated,omitempty"`
	// Conflict reports in a dry run whether the change is not based on the revision in force.
	Conflict   bool              `json:"conflict,omitempty"`
	Difference config.Difference `json:"difference"`
}

// ConfigResponse holds the files of one revision.
type ConfigResponse struct {
	Revision uint64            `json:"revision"`
	InForce  uint64            `json:"in_force"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// ChangeResponse is the recorded outcome of a change ID.
type ChangeResponse struct {
	ChangeID string `json:"change_id"`
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
}

// HistoryResponse lists accepted changes, newest first.
type HistoryResponse struct {
	InForce uint64         `json:"in_force"`
	Entries []HistoryEntry `json:"entries"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	BasedOn  uint64    `json:"based_on"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
	At       time.Time `json:"at"`
	Summary  []string  `json:"summary,omitempty"`
}

// StatusResponse lists the revisions that are in force on each VM.
type StatusResponse struct {
	// InForce is the latest accepted revision. It is 0 when the control group cannot be reached; Control is the reason
	// then.
	InForce uint64 `json:"in_force"`
	Control string `json:"control"`
	// StateRevision is the revision of the replicated state at the control group.
	StateRevision uint64 `json:"state_revision"`
	VMs           []VM   `json:"vms"`
}

// VM is the status of one VM.
type VM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// Reachable reports whether the VM answered; Error is the reason when it did not.
	Reachable      bool     `json:"reachable"`
	Error          string   `json:"error,omitempty"`
	Roles          []string `json:"roles,omitempty"`
	Incarnation    uint64   `json:"incarnation,omitempty"`
	ConfigRevision uint64   `json:"config_revision"`
	StateRevision  uint64   `json:"state_revision"`
	// StateAgeMS is the time since the control group last confirmed the VM's state, or -1 when it never did.
	StateAgeMS int64    `json:"state_age_ms"`
	NotReady   []string `json:"not_ready,omitempty"`
	// Seat is the index of the VM's seat, or -1 when it has none.
	Seat    int      `json:"seat"`
	Seats   int      `json:"seats"`
	Control *Replica `json:"control,omitempty"`
}

// Replica is the status of the control log on one control VM.
type Replica struct {
	Replica string   `json:"replica"`
	Role    string   `json:"role"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader,omitempty"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []Member `json:"members,omitempty"`
}

// Member is one member of the control group.
type Member struct {
	VM      string `json:"vm"`
	Replica string `json:"replica"`
	Learner bool   `json:"learner,omitempty"`
}

// MembersResponse lists the members of the control group as the replica with the highest term reports them.
type MembersResponse struct {
	Leader     string   `json:"leader"`
	Term       uint64   `json:"term"`
	ReportedBy string   `json:"reported_by"`
	Members    []Member `json:"members"`
	Replicas   []VM     `json:"replicas"`
}

// TargetsResponse lists the targets with live leases in the directory of one VM.
type TargetsResponse struct {
	VM      string   `json:"vm"`
	Targets []Target `json:"targets"`
}

// Target is one target with a live lease.
type Target struct {
	Service          string    `json:"service"`
	ID               string    `json:"id"`
	AvailabilityZone string    `json:"availability_zone"`
	Address          string    `json:"address"`
	State            string    `json:"state"`
	Incarnation      uint64    `json:"incarnation"`
	Layout           uint64    `json:"layout"`
	Shards           []uint32  `json:"shards"`
	IndexVersions    []uint64  `json:"index_versions"`
	Slots            int       `json:"slots"`
	ConnectionLimit  int       `json:"connection_limit"`
	InFlight         int       `json:"in_flight"`
	Queued           int       `json:"queued"`
	ServingSince     time.Time `json:"serving_since"`
}

// Error is the body of the response to a failed request.
type Error struct {
	Kind    errs.Kind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	// Revision is the revision in force, on a conflict.
	Revision uint64 `json:"revision,omitempty"`
}

// EncodeError returns the JSON form of an error.
func EncodeError(err error) Error {
	return Error{Kind: errs.KindOf(err), Message: errs.MessageOf(err), Remedy: errs.RemedyOf(err)}
}

// Decode returns the error that the JSON form represents.
func (e Error) Decode() error { return errs.New(e.Kind, e.Remedy, "%s", e.Message) }
