package kernel

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// Capability names an interface that a module provides to others.
type Capability string

// The capabilities. Each names an interface of the same or a similar name, except for the capabilities that only order
// the life cycle.
const (
	CapLog             Capability = "log"
	CapMetrics         Capability = "metrics"
	CapQueryHandler    Capability = "query_handler"
	CapTransport       Capability = "transport"
	CapRoutingPolicy   Capability = "routing_policy"
	CapHedgePolicy     Capability = "hedge_policy"
	CapRetryPolicy     Capability = "retry_policy"
	CapAdmissionPolicy Capability = "admission_policy"
	CapPeerTransport   Capability = "peer_transport"
	CapControlLog      Capability = "control_log"
	CapControlClient   Capability = "control_client"
	CapClaimStore      Capability = "claim_store"
	CapDirectory       Capability = "directory"
	CapReplicatedState Capability = "replicated_state"
	CapStateMachine    Capability = "state_machine"
	CapLoadTracker     Capability = "load_tracker"
	CapRoutePublisher  Capability = "route_publisher"
	CapLeafRegistry    Capability = "leaf_registry"
	CapLeafReporter    Capability = "leaf_reporter"
	CapExtraGranter    Capability = "extra_granter"
	CapForwarder       Capability = "forwarder"
	CapLeafTransport   Capability = "leaf_transport"
	CapLeafProtocol    Capability = "leaf_protocol"
	CapAllowances      Capability = "allowances"
	CapEvacuations     Capability = "evacuations"
)

// LogSink writes log lines without blocking.
type LogSink interface {
	Logger() log.Logger
	// Debug reports whether lines of level debug are written. Callers on the traffic path check it before they build one.
	Debug() bool
}

// MetricsSource provides the root scope of the process's metrics.
type MetricsSource interface {
	Scope() tally.Scope
	// MetricsHandler serves the metrics to the monitoring of the platform.
	MetricsHandler() http.Handler
}

// QueryHandler answers requests of callers. Every front end for callers uses it.
type QueryHandler interface {
	HandleQuery(ctx context.Context, req model.Request) model.Answer
}

// Transport carries attempts to targets. Send blocks until the reply is complete, the attempt has failed or ctx
// is done, and classifies the result; it never sends an attempt twice.
type Transport interface {
	Send(ctx context.Context, t *model.Target, req model.SubRequest) model.Reply
}

// Permit is the right to have one attempt in flight at a target.
type Permit interface {
	// Done ends the attempt and updates the limits and estimates with its result.
	Done(reply model.Reply)
}

// LoadTracker keeps what this VM measures of targets, and limits its attempts at each of them. Traffic goroutines
// call it; no method except Acquire blocks.
type LoadTracker interface {
	// Candidates appends descriptions of the targets to dst, in their order, and returns it. The caller reuses
	// dst, so that the choice of a target allocates nothing.
	Candidates(dst []Candidate, now time.Time, targets []*model.Target) []Candidate
	// Acquire waits in the target's bounded queue, most urgent first, for the right to send one attempt. An error
	// means that nothing was sent: its kind is overload when the queue is full, and deadline when ctx ended first.
	Acquire(ctx context.Context, t *model.Target, p model.Priority) (Permit, error)
	// QuantileLatency returns a recent quantile of the latency of one shard across its targets, or 0 while it is unknown.
	QuantileLatency(s model.ServiceName, shard model.ShardID, quantile float64) time.Duration
	// QueueingDelay returns the shortest time that attempts have waited recently at the most loaded target of the
	// service. Above 0, the queue there never empties: the service gets more work than it can do.
	QueueingDelay(s model.ServiceName) time.Duration
	// Shedding reports whether targets of the service have shed load recently.
	Shedding(s model.ServiceName) bool
}

// Candidate is a target that an attempt could be sent to. It is declared in package model, so that the pure packages
// can use it without the kernel.
type Candidate = model.Candidate

// RoutingPolicy chooses the target of an attempt. Choose has no side effects except on the random generator, and returns
// an index into the candidates, or -1 when none should be used.
type RoutingPolicy interface {
	Choose(candidates []Candidate, random *rand.Rand) int
}

// HedgeInput is the input of a hedge policy.
type HedgeInput struct {
	Service *model.ServiceConfig
	// QuantileLatency is the latency of the shard at the service's hedge quantile, or 0 while it is unknown.
	QuantileLatency time.Duration
	// Shedding reports whether targets of the service have shed load recently.
	Shedding bool
}

// HedgePolicy decides when an attempt is hedged.
type HedgePolicy interface {
	// HedgeAfter returns the delay after which a hedge is sent, and false when none is to be sent.
	HedgeAfter(in HedgeInput) (time.Duration, bool)
}

// RetryInput is the input of a retry policy.
type RetryInput struct {
	Service *model.ServiceConfig
	Status  model.ReplyStatus
	// Retries counts the earlier retries of the shard.
	Retries int
	// Remaining is the time left until the answer is due.
	Remaining time.Duration
	// ExpectedLatency is the recent median latency of the shard, or 0 while it is unknown.
	ExpectedLatency time.Duration
	// Candidates counts the targets that hold the shard, are not ejected and have not been tried.
	Candidates int
}

// RetryPolicy decides whether a failed attempt is retried, and after which delay. The caller of the policy keeps the
// budget.
type RetryPolicy interface {
	Retry(in RetryInput) (delay time.Duration, ok bool)
}

// AdmissionRequest describes a request to be admitted.
type AdmissionRequest struct {
	Service  *model.ServiceConfig
	Caller   model.CallerID
	Priority model.Priority
	Deadline time.Time
	// Cost is the number of shards that the request will be sent to.
	Cost int
}

// Reservation is the right to run one admitted request. The request holds it until its answer is complete.
type Reservation interface {
	// Done ends the request. The limits use the outcome as a sign of whether the service keeps up.
	Done(outcome model.Outcome)
}

// AdmissionPolicy admits requests. Admit waits in a bounded queue; a refusal is a typed error of kind
// overload or deadline, and then nothing of the request has run.
type AdmissionPolicy interface {
	Admit(ctx context.Context, req AdmissionRequest) (Reservation, error)
}

// PeerMessage is an encoded message of one module to its counterpart on another VM. Modules own the encoding
// of their payloads.
type PeerMessage struct {
	Kind    string
	Payload []byte
}

// PeerHandler handles a call from another VM. It may be called concurrently. Its context ends with the connection of the
// caller.
type PeerHandler func(ctx context.Context, from model.VMName, payload []byte) ([]byte, error)

// PeerStatus describes another VM and reports whether it is connected.
type PeerStatus struct {
	VM               model.VMName
	AvailabilityZone model.AvailabilityZone
	Connected        bool
	// Control reports whether the VM has the role control.
	Control bool
	// Incarnation and AnnounceURL come from the VM's hello; they are zero while it is not connected.
	Incarnation uint64
	AnnounceURL string
}

// PeerTransport connects the VMs of the system. Typed errors cross it with their kind and remedy.
type PeerTransport interface {
	// Handle registers the handler of a kind of message. It is called while modules are provisioned.
	Handle(kind string, h PeerHandler)
	// Call sends a message and waits for its answer. An error of kind unavailable means that the message
	// cannot have been handled; outcome_unknown means that it may have been.
	Call(ctx context.Context, to model.VMName, m PeerMessage) ([]byte, error)
	// Send queues a message without waiting. It is dropped when the VM is not reachable or its queue is full.
	Send(to model.VMName, m PeerMessage) bool
	// Peers lists the other VMs that the settings name or that AddPeer added.
	Peers() []PeerStatus
	// AddPeer adds a discovered VM. It does nothing when the VM is already a peer or is this VM.
	AddPeer(p settings.Peer)
	// OnChange registers a function that is called, on its own goroutine, when a VM connects or disconnects.
	OnChange(fn func(PeerStatus))
}

// PeerRemover is implemented by a PeerTransport whose discovered VMs can be removed again.
type PeerRemover interface {
	// RemovePeer closes the connection to a VM that AddPeer added. It does nothing for other VMs that are no peers.
	RemovePeer(vm model.VMName)
}

// StateMachine is the state that the control log replicates. All methods run on the control goroutine of a control VM,
// and Apply is deterministic: the same entries give the same state on every VM.
type StateMachine interface {
	// Apply applies one committed entry and returns its encoded result. The time is the time of the leader
	// when it proposed the entry, and never decreases from one entry to the next.
	Apply(index uint64, at time.Time, data []byte) []byte
	// Query answers an encoded read.
	Query(data []byte) []byte
	// Snapshot encodes the whole state, and Restore replaces it.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// ControlLog is the replicated log on a control VM.
type ControlLog interface {
	// Propose appends an entry and returns its encoded result once it is applied here. It works on the
	// leader only. An error of kind not_leader or not_accepted means that the entry was not and will not be
	// applied; outcome_unknown means that it may be.
	Propose(ctx context.Context, data []byte) ([]byte, error)
	// Read confirms leadership with a quorum and then answers an encoded read.
	Read(ctx context.Context, data []byte) ([]byte, error)
	// Status describes this replica. It may be called from any goroutine.
	Status() ControlStatus
}

// ControlStatus describes one replica of the control log.
type ControlStatus struct {
	VM      model.VMName
	Replica string
	// Role is "leader", "candidate", "follower", "learner" or "joining".
	Role    string
	Term    uint64
	Leader  model.VMName
	Commit  uint64
	Applied uint64
	Members []ControlMember
}

// ControlMember is one member of the control group.
type ControlMember struct {
	VM      model.VMName
	Replica string
	Learner bool
}

// ControlClient connects any VM to the control group: it finds the leader and forwards commands and reads to it.
type ControlClient interface {
	// Propose submits a command to the replicated log and returns the result of applying it. An error of
	// kind not_accepted means that it was certainly not applied; outcome_unknown means that it may be.
	Propose(ctx context.Context, command Command) (CommandResult, error)
	// Read confirms leadership with a quorum and returns the answer of a linearizable read.
	Read(ctx context.Context, query StateQuery) (StateAnswer, error)
}

// EncodedControlClient sends encoded entries and reads to the control group, for state machines with an encoding of
// their own.
type EncodedControlClient interface {
	ProposeEncoded(ctx context.Context, data []byte) ([]byte, error)
	ReadEncoded(ctx context.Context, data []byte) ([]byte, error)
}

// RouteState is the replicated state of a system that serves routes, on control VMs.
type RouteState interface {
	// Table returns the table in force, or nil. It is called on the control goroutine.
	Table() *routes.Table
	// Evacuations returns the evacuated availability zones. It is called on the control goroutine.
	Evacuations() routes.Evacuations
}

// RoutesChanged is an event for the control goroutine: the control log put another table into force on this VM.
type RoutesChanged struct{ Table *routes.Table }

// EvacuationsChanged is an event for the control goroutine: the control log changed the evacuated availability zones.
type EvacuationsChanged struct{ Evacuations routes.Evacuations }

// Evacuator starts and ends the evacuations of availability zones, on control VMs.
type Evacuator interface {
	// SetEvacuated returns once it is committed that a zone is evacuated, or no longer is. An error of kind not_found means that the
	// zone is unknown, and one of kind outcome_unknown that the change may still come into force.
	SetEvacuated(ctx context.Context, zone model.AvailabilityZone, evacuated bool) error
}

// Allowances limits what all entry VMs together do, such as the requests of a customer.
type Allowances interface {
	// Take takes n units of an allowance. It waits for the VM that keeps the allowance until ctx ends; this VM's own part of the
	// allowance then decides.
	Take(ctx context.Context, key allowance.Key, limit allowance.Limit, n int) allowance.Answer
	// Return gives back units that were taken and not used. It does not wait.
	Return(key allowance.Key, n int)
}

// AllowanceBatches is implemented by providers of Allowances that decide on several asks with few messages.
type AllowanceBatches interface {
	// TakeAll is like Allowances.Take for several asks at once. Their IDs are not used.
	TakeAll(ctx context.Context, asks []allowance.Ask) []allowance.Answer
}

// AllowanceObserver is implemented by providers of Allowances that report what this VM knows without asking for units.
type AllowanceObserver interface {
	// Known takes nothing, sends nothing and does not wait.
	Known(key allowance.Key, limit allowance.Limit) allowance.Known
}

// RoutePublisher puts route tables into force, on control VMs.
type RoutePublisher interface {
	// Publish returns once the table, or one with a higher version, is committed, and returns the version in
	// force. An error of kind outcome_unknown means that the table may still come into force.
	Publish(ctx context.Context, p routes.Publication) (routes.Version, error)
	// Latest returns the last publication, confirmed by a quorum.
	Latest(ctx context.Context) (routes.Publication, error)
}

// LeafRegistry applies the heartbeats and deregistrations of leaves, on control VMs. A refusal is a typed error.
type LeafRegistry interface {
	Heartbeat(ctx context.Context, l leaves.Leaf) error
	// Refused counts and logs a heartbeat that could not be decoded, or that no leaf can send. id is the ID that it names.
	Refused(id string, err error)
	// Deregister records that a leaf has ended. bornMS is the start time of its incarnation, or 0 when none is given.
	Deregister(ctx context.Context, id string, bornMS int64) error
}

// LeafZoneLister lists the availability zones of the leaves that a control VM knows, also of those that have ended recently. The
// provider of LeafRegistry implements it.
type LeafZoneLister interface {
	LeafZones(ctx context.Context) (map[model.AvailabilityZone]bool, error)
}

// LeafReporter sends this VM's evidence about leaves to other VMs.
type LeafReporter interface {
	// MarkLeaving removes an incarnation of a leaf that has replied that it is leaving from the views of this VM. No later
	// heartbeat or table lists it again.
	MarkLeaving(leaf leaves.Key)
	// Report sends the evidence since the last report, without waiting. It may get lost.
	Report(list []leaves.Evidence)
}

// ExtraGranter requests extra attempts from the pool that entry VMs share.
type ExtraGranter interface {
	// RequestExtras requests one extra attempt at each service. It returns which of them a control VM has granted; an error
	// means that none is.
	RequestExtras(ctx context.Context, services []model.ServiceName) (granted []bool, err error)
}

// Forwarder answers requests that are routed by host and path. While the VM is shutting down, the deadline of the context is when it
// answers at the latest. A context that ends with a cause of kind shutdown makes it answer at once; one that ends otherwise means
// that the caller has disconnected.
type Forwarder interface {
	Forward(ctx context.Context, req *forward.Request) *forward.Response
}

// Explainer explains where a request would be sent now, and why. The provider of Forwarder implements it.
type Explainer interface {
	// Explain sends nothing, takes nothing and changes no later choice.
	Explain(req *forward.Request) *forward.Explanation
}

// LeafProtocol encodes the requests to leaves and decodes their replies. It keeps no state.
type LeafProtocol interface {
	// AppendRequest appends the bytes of a request to dst.
	AppendRequest(dst []byte, req *forward.LeafRequest) []byte
	// ReadReply reads one reply. The result reusable reports whether the connection can carry another request. An
	// error means that there is no complete reply.
	ReadReply(r *bufio.Reader, req *forward.LeafRequest) (reply *forward.LeafReply, reusable bool, err error)
}

// LeafAttempt is an attempt that was passed to a LeafTransport.
type LeafAttempt interface {
	// Cancel ends the attempt early and closes its connection; done is still called.
	Cancel()
	// Withdraw takes the attempt back, unless a byte of the request may have been sent, and reports whether it has. Nothing is sent
	// afterwards. An attempt that may have been sent continues. Done is called in either case.
	Withdraw() bool
}

// LeafTransport carries attempts to leaves over warm connections.
type LeafTransport interface {
	// Send starts an attempt and calls done once with its result, from any goroutine and possibly before Send returns.
	Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) LeafAttempt
	// CheckReachable opens a connection to a leaf and closes it. An error means that the leaf cannot be reached.
	CheckReachable(ctx context.Context, l *leaves.Member) error
	forward.Connections
}

// Command is a typed command of package state, such as state.ApplyConfig. The module control.log encodes it.
type Command interface{}

// CommandResult is the typed result of a command.
type CommandResult interface{}

// StateQuery is a typed read of package state.
type StateQuery interface{}

// StateAnswer is the typed answer of a read.
type StateAnswer interface{}

// ClaimRequest is a request for the claim on an order.
type ClaimRequest struct {
	Order    model.OrderID
	Holder   model.Holder
	Attempt  model.AttemptID
	Digest   uint64
	Deadline time.Time
}

// ClaimStore holds the durable claims that let an order run at most once.
type ClaimStore interface {
	// Claim commits a claim. An error means that nothing was granted, so the order was not run.
	Claim(ctx context.Context, req ClaimRequest) (model.ClaimResult, error)
	// Finish records the result of the order. While the control group is unreachable, it continues to retry after it
	// has returned.
	Finish(ctx context.Context, order model.OrderID, attempt model.AttemptID, result []byte) error
	// Release gives the claim back since the order certainly did not run. Like Finish, it may continue to retry after it
	// has returned.
	Release(ctx context.Context, order model.OrderID, attempt model.AttemptID) error
	// Lookup returns the claim on an order. An error of kind not_found means that there is none, or that it is no longer
	// kept.
	Lookup(ctx context.Context, order model.OrderID) (model.Claim, error)
}
