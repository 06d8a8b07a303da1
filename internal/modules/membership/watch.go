package membership

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
)

// kindWatch is the kind of peer messages that request updates.
const kindWatch = "membership.watch"

// watch requests updates from one control VM in a loop. The control VM holds each request until there is an update.
func (m *Module) watch(runCtx context.Context, vm model.VMName, s *source) {
	req := &membershippb.WatchRequest{Control: m.isControl, NoRoutes: m.isControl, AcceptsCompressed: true}
	var lastErr string
	for runCtx.Err() == nil {
		light := !s.full.Load()
		if light != req.Light {
			// A light watch does not update the leaves that were received before, so a full watch requests all again.
			req.Light, req.Position, req.Incarnation = light, 0, 0
		}
		hold := holdTime
		if light {
			hold = lightHoldTime
		}
		req.HoldMs = uint32(hold.Milliseconds())
		if wantOutliers := m.isControl || m.primaryControlVM() == vm; wantOutliers != req.Trouble {
			// Outliers received before are removed with the first answer to a watch request without them.
			req.Trouble, req.TroubleVersion = wantOutliers, 0
		}
		if v := m.control.View().Routes; v != nil {
			req.RoutesVersion = uint64(v.Version)
		}
		req.EvacuationsRevision = m.control.View().Evacuations.Revision
		m.requestOwners(vm, req)
		u, err := m.sendWatch(runCtx, vm, s, req, hold+watchMargin)
		if err != nil && s.full.Load() == light {
			continue // The request was ended because leaves and routes are to be requested from this control VM now.
		}
		if err != nil {
			s.failing.Store(true)
			if light {
				// A request of the same incarnation would be held, although its answer is to show that the control VM responds again.
				req.Incarnation = 0
			}
			if text := string(errs.KindOf(err)); text != lastErr {
				lastErr = text
				_ = level.Warn(m.logger).Log("msg", "control VM does not answer", "from", vm, "err", err)
			}
			if kernel.Wait(runCtx, retryPause) != nil {
				return
			}
			continue
		}
		if lastErr != "" {
			_ = level.Info(m.logger).Log("msg", "control VM answers again", "from", vm)
			lastErr = ""
		}
		s.failing.Store(false)
		u.light, u.outliersRequested = light, req.Trouble
		req.Incarnation, req.Position, req.TroubleVersion = u.incarnation, u.tableVersion, u.outlierVersion
		if m.control.PostWait(runCtx, updateEvent{vm, u}) != nil {
			return
		}
	}
}

func (m *Module) sendWatch(runCtx context.Context, vm model.VMName, s *source, req *membershippb.WatchRequest, timeout time.Duration) (update, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return update{}, err
	}
	ctx, cancel := context.WithTimeout(runCtx, timeout)
	defer cancel()
	s.endRequest.Store(&cancel)
	if s.full.Load() == req.Light {
		cancel() // The choice of control VMs has changed since the request was made.
	}
	data, err = m.peers.Call(ctx, vm, kernel.PeerMessage{Kind: kindWatch, Payload: data})
	if err != nil {
		return update{}, err
	}
	return decodeUpdate(data)
}

// handleWatch holds the watch request of another VM until there is an update for it, at most for holdTime or the time that the
// request states.
func (m *Module) handleWatch(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	var req membershippb.WatchRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "watch request cannot be decoded")
	}
	if req.GetControl() {
		m.addControl(from)
	}
	holdFor := holdTime
	if ms := req.GetHoldMs(); ms > 0 {
		holdFor = min(time.Duration(ms)*time.Millisecond, maxHoldTime)
	}
	hold := time.NewTimer(holdFor)
	defer hold.Stop()
	for last := false; ; {
		var reply *membershippb.WatchReply
		var changed, outliersChanged chan struct{}
		err := m.control.Do(ctx, func(now time.Time) {
			if !req.GetControl() {
				m.entryLastWatch[from] = now
				m.owners.noteZone(now, from, req.GetAvailabilityZone())
			}
			reply, changed = m.updateFor(now, &req, last), m.changed
			if req.GetTrouble() {
				outliersChanged = m.outlierPool.changed
			}
		})
		if err != nil {
			return nil, err
		}
		if reply != nil {
			return m.replies.encode(reply, req.GetAcceptsCompressed())
		}
		select {
		case <-changed:
			if !req.GetControl() {
				_ = kernel.Wait(ctx, batchDelay) // The next step ends if the context has.
			}
		case <-outliersChanged:
		case <-hold.C:
			last = true
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-m.runCtx.Done():
			return nil, errors.New("the process is shutting down")
		}
	}
}

// updateFor returns the update for a VM, or nil if there is none. If always is set it returns a reply even without an
// update.
func (m *Module) updateFor(now time.Time, req *membershippb.WatchRequest, always bool) *membershippb.WatchReply {
	tableVersion := req.GetPosition()
	sameIncarnation := req.GetIncarnation() == m.incarnation
	if !sameIncarnation {
		tableVersion = 0
	}
	newRoutes := !req.GetNoRoutes() && !req.GetLight() && m.routes != nil && uint64(m.routes.Version) > req.GetRoutesVersion()
	newEvacuations := !req.GetControl() && m.evacuations.Revision > req.GetEvacuationsRevision()
	outlierVersion := m.outlierPool.version
	if req.GetControl() {
		outlierVersion = m.outlierPool.evidenceVersion
	}
	newOutliers := req.GetTrouble() && (!sameIncarnation || req.GetTroubleVersion() != outlierVersion)
	// The first light watch request is answered immediately, so that the sender detects that this VM responds.
	hasUpdate := newRoutes || newEvacuations || m.newOwners(req) || !sameIncarnation || newOutliers || !req.GetLight() && tableVersion != m.table.Version()
	if !always && !hasUpdate {
		return nil
	}
	var list []leaves.Leaf
	complete := false
	if !req.GetLight() {
		list, complete = m.table.ChangesSince(tableVersion)
	}
	reply := &membershippb.WatchReply{
		Incarnation: m.incarnation, Position: m.table.Version(), Complete: complete, EntryVms: uint32(m.entryVMCount(now)),
		TroubleVersion: outlierVersion,
	}
	switch {
	case newOutliers && req.GetControl():
		reply.Gathered = evidenceToProto(m.outlierPool.evidence)
	case newOutliers:
		reply.Trouble = outliersToProto(m.outlierPool.inForce)
	}
	if m.newOwners(req) {
		reply.Owners = m.owners.lists.toProto(m.owners.digest)
	}
	for i := range list {
		reply.Leaves = append(reply.Leaves, leafToProto(&list[i]))
	}
	if newRoutes {
		reply.Routes = routesToProto(m.routes)
	}
	if newEvacuations {
		reply.Evacuations = routescodec.EvacuationsToProto(m.evacuations)
	}
	for _, p := range m.peers.Peers() {
		if p.Control && p.Connected {
			reply.ControlVms = append(reply.ControlVms, string(p.VM))
		}
	}
	return reply
}
