package operator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/operator/operatorpb"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

// KindVMStatus is the kind of the peer messages that request the status of a VM.
const KindVMStatus = "operator.vm_status"

const (
	statusVersion = 1
	// statusTimeout limits the wait for one VM, so that unreachable VMs do not delay the answer.
	statusTimeout = 2 * time.Second
	// maxStatusCalls limits the VMs that are queried concurrently.
	maxStatusCalls = 32
)

// status returns the revisions that are in force on each VM.
func (m *Module) status(c echo.Context) error {
	ctx := c.Request().Context()
	out := operatorapi.StatusResponse{Control: "reachable", VMs: m.collectStatus(ctx, func(kernel.PeerStatus) bool { return true })}
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer, err := m.read(limited, state.GetStatus{})
	if a, ok := answer.(state.StatusAnswer); ok && err == nil {
		out.InForce, out.StateRevision = uint64(a.ConfigRevision), a.StateRevision
	} else {
		out.Control = "not reachable"
		if err != nil {
			out.Control += ": " + err.Error()
		}
	}
	return c.JSON(http.StatusOK, out)
}

// members lists the members of the control group, as the replica with the highest term reports them; of several, the
// leader.
func (m *Module) members(c echo.Context) error {
	isControlVM := map[model.VMName]bool{}
	for _, p := range m.settings.Peers {
		isControlVM[p.Name] = p.HasRole(settings.RoleControl)
	}
	out := operatorapi.MembersResponse{Members: []operatorapi.Member{}, Replicas: []operatorapi.VM{}}
	for _, vm := range m.collectStatus(c.Request().Context(), func(p kernel.PeerStatus) bool { return isControlVM[p.VM] }) {
		if vm.Control == nil && !isControlVM[model.VMName(vm.Name)] {
			continue
		}
		out.Replicas = append(out.Replicas, vm)
		if r := vm.Control; r != nil && (out.ReportedBy == "" || r.Term > out.Term || r.Term == out.Term && r.Role == "leader") {
			out.Leader, out.Term, out.ReportedBy, out.Members = r.Leader, r.Term, vm.Name, r.Members
		}
	}
	if out.ReportedBy == "" {
		return errs.New(errs.KindUnavailable, "check the control VMs and the network to them", "no control VM answered")
	}
	return c.JSON(http.StatusOK, out)
}

// collectStatus returns the status of this VM and of the selected other VMs, sorted by name.
func (m *Module) collectStatus(ctx context.Context, selected func(kernel.PeerStatus) bool) []operatorapi.VM {
	out := []operatorapi.VM{statusFromProto(m.ownStatus())}
	if m.peers == nil {
		return out
	}
	var queried []kernel.PeerStatus
	for _, p := range m.peers.Peers() {
		if selected(p) {
			queried = append(queried, p)
		}
	}
	answers := make([]operatorapi.VM, len(queried))
	slots := make(chan struct{}, maxStatusCalls)
	var calls sync.WaitGroup
	for i, p := range queried {
		calls.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; calls.Done() }()
			answers[i] = m.queryStatus(ctx, p)
		}()
	}
	calls.Wait()
	out = append(out, answers...)
	slices.SortFunc(out, func(a, b operatorapi.VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// queryStatus requests the status of one VM. When the VM does not answer, the result has an error.
func (m *Module) queryStatus(ctx context.Context, p kernel.PeerStatus) operatorapi.VM {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	unreachable := operatorapi.VM{Name: string(p.VM), AvailabilityZone: string(p.AvailabilityZone), StateAgeMS: -1, Seat: -1}
	data, err := m.peers.Call(ctx, p.VM, kernel.PeerMessage{Kind: KindVMStatus})
	if err != nil {
		unreachable.Error = errs.MessageOf(err)
		return unreachable
	}
	s := &operatorpb.VMStatus{}
	if err := proto.Unmarshal(data, s); err != nil || s.GetVersion() != statusVersion {
		unreachable.Error = "the answer of the VM cannot be decoded; the VM may run another release"
		return unreachable
	}
	return statusFromProto(s)
}

// handleStatus answers the status request of another VM.
func (m *Module) handleStatus(context.Context, model.VMName, []byte) ([]byte, error) {
	return proto.Marshal(m.ownStatus())
}

func (m *Module) ownStatus() *operatorpb.VMStatus {
	v := m.control.View()
	s := &operatorpb.VMStatus{
		Version: statusVersion, Vm: string(m.holder.VM), AvailabilityZone: string(m.settings.AvailabilityZone), Roles: m.settings.Roles,
		Incarnation: m.holder.Incarnation, StateRevision: v.StateRevision, StateAgeMs: -1, NotReady: m.readiness.Reasons(),
		Seat: int64(v.Seat.Index), Seats: int64(v.Seat.Seats),
	}
	if v.Seat.Seats == 0 {
		s.Seat = -1
	}
	if v.Config != nil {
		s.ConfigRevision = uint64(v.Config.Revision)
	}
	if !v.ControlContact.IsZero() {
		s.StateAgeMs = m.now().Sub(v.ControlContact).Milliseconds()
	}
	if m.stateSource != nil && v.Config == nil {
		// A control VM without the role entry has no configuration in its view, but it has the replicated state.
		disseminated := m.stateSource.DisseminatedState()
		s.ConfigRevision, s.StateRevision = uint64(disseminated.ConfigRevision), disseminated.Revision
	}
	if m.controlLog != nil {
		s.Control = replicaToProto(m.controlLog.Status())
	}
	return s
}

func replicaToProto(r kernel.ControlStatus) *operatorpb.Replica {
	out := &operatorpb.Replica{Replica: r.Replica, Role: r.Role, Term: r.Term, Leader: string(r.Leader), Commit: r.Commit, Applied: r.Applied}
	for _, member := range r.Members {
		out.Members = append(out.Members, &operatorpb.Member{Vm: string(member.VM), Replica: member.Replica, Learner: member.Learner})
	}
	return out
}

func statusFromProto(s *operatorpb.VMStatus) operatorapi.VM {
	out := operatorapi.VM{
		Name: s.GetVm(), AvailabilityZone: s.GetAvailabilityZone(), Reachable: true, Roles: s.GetRoles(), Incarnation: s.GetIncarnation(),
		ConfigRevision: s.GetConfigRevision(), StateRevision: s.GetStateRevision(), StateAgeMS: s.GetStateAgeMs(), NotReady: s.GetNotReady(),
		Seat: int(s.GetSeat()), Seats: int(s.GetSeats()),
	}
	if r := s.GetControl(); r != nil {
		out.Control = &operatorapi.Replica{Replica: r.GetReplica(), Role: r.GetRole(), Term: r.GetTerm(), Leader: r.GetLeader(), Commit: r.GetCommit(), Applied: r.GetApplied()}
		for _, member := range r.GetMembers() {
			out.Control.Members = append(out.Control.Members, operatorapi.Member{VM: member.GetVm(), Replica: member.GetReplica(), Learner: member.GetLearner()})
		}
	}
	return out
}
