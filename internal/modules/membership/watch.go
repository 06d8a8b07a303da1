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
)

// kindWatch is the kind of peer messages that ask for news.
const kindWatch = "membership.watch"

// follow asks one control VM for news, over and over. Each call is held there until there are some.
func (m *Module) follow(run context.Context, vm model.VMName, s *source) {
	req := &membershippb.WatchRequest{Control: m.controls, NoRoutes: m.controls}
	var lastErr string
	for run.Err() == nil {
		light := !s.full.Load()
		if light != req.Light {
			// What was told before is not kept up to date by a light watch.
			req.Light, req.Position, req.Incarnation = light, 0, 0
		}
		if trouble := m.controls || m.first() == vm; trouble != req.Trouble {
			// What was told before is dropped with the first answer to a watch that does not ask for it.
			req.Trouble, req.TroubleVersion = trouble, 0
		}
		if v := m.control.View().Routes; v != nil {
			req.RoutesVersion = uint64(v.Version)
		}
		n, err := m.ask(run, vm, req)
		if err != nil {
			if text := string(errs.KindOf(err)); text != lastErr {
				lastErr = text
				_ = level.Warn(m.logger).Log("msg", "control VM does not answer", "from", vm, "err", err)
			}
			if kernel.Wait(run, retryPause) != nil {
				return
			}
			continue
		}
		if lastErr != "" {
			_ = level.Info(m.logger).Log("msg", "control VM answers again", "from", vm)
			lastErr = ""
		}
		n.light, n.askedTrouble = light, req.Trouble
		req.Incarnation, req.Position, req.TroubleVersion = n.incarnation, n.position, n.troubleVersion
		if m.control.PostWait(run, newsEvent{vm, n}) != nil {
			return
		}
	}
}

func (m *Module) ask(run context.Context, vm model.VMName, req *membershippb.WatchRequest) (news, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return news{}, err
	}
	ctx, cancel := context.WithTimeout(run, watchTimeout)
	defer cancel()
	data, err = m.peers.Call(ctx, vm, kernel.PeerMessage{Kind: kindWatch, Payload: data})
	if err != nil {
		return news{}, err
	}
	return decodeNews(data)
}

// answer holds the watch of another VM until there is something new for it.
func (m *Module) answer(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	var req membershippb.WatchRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "a watch cannot be decoded")
	}
	if req.GetControl() {
		m.addControl(from)
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	for last := false; ; {
		var reply *membershippb.WatchReply
		var changed, troubled chan struct{}
		err := m.control.Do(ctx, func(now time.Time) {
			if !req.GetControl() {
				m.entrySeen[from] = now
			}
			reply, changed = m.news(now, &req, last), m.changed
			if req.GetTrouble() {
				troubled = m.pool.changed
			}
		})
		if err != nil {
			return nil, err
		}
		if reply != nil {
			return proto.Marshal(reply)
		}
		select {
		case <-changed:
		case <-troubled:
		case <-hold.C:
			last = true
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-m.run.Done():
			return nil, errors.New("the process is shutting down")
		}
	}
}

// news returns what is new for a VM, or nil. With always it returns a reply without news.
func (m *Module) news(now time.Time, req *membershippb.WatchRequest, always bool) *membershippb.WatchReply {
	position := req.GetPosition()
	known := req.GetIncarnation() == m.incarnation
	if !known {
		position = 0
	}
	newRoutes := !req.GetNoRoutes() && !req.GetLight() && m.routes != nil && uint64(m.routes.Version) > req.GetRoutesVersion()
	troubleVersion := m.pool.version
	if req.GetControl() {
		troubleVersion = m.pool.gatheredVersion
	}
	newTrouble := req.GetTrouble() && (!known || req.GetTroubleVersion() != troubleVersion)
	// The first light watch is answered at once, so that the follower knows that this VM answers.
	news := newRoutes || !known || newTrouble || !req.GetLight() && position != m.table.Version()
	if !always && !news {
		return nil
	}
	var list []leaves.Leaf
	complete := false
	if !req.GetLight() {
		list, complete = m.table.ChangesSince(position)
	}
	reply := &membershippb.WatchReply{
		Incarnation: m.incarnation, Position: m.table.Version(), Complete: complete, EntryVms: uint32(m.knownEntryVMs(now)),
		TroubleVersion: troubleVersion,
	}
	switch {
	case newTrouble && req.GetControl():
		reply.Gathered = encodeEvidence(m.pool.gathered)
	case newTrouble:
		reply.Trouble = encodeTrouble(m.pool.inForce)
	}
	for i := range list {
		reply.Leaves = append(reply.Leaves, encodeLeaf(&list[i]))
	}
	if newRoutes {
		reply.Routes = encodeRoutes(m.routes)
	}
	for _, p := range m.peers.Peers() {
		if p.Control && p.Connected {
			reply.ControlVms = append(reply.ControlVms, string(p.VM))
		}
	}
	return reply
}
