package directory

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/directory"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/gossip"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/directory/gossippb"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// The kinds of messages between VMs.
const (
	kindMessage = "gossip.message"
	kindTable   = "gossip.table"
	kindVector  = "gossip.vector"
)

const (
	pullTimeout = 3 * time.Second
	// maxPulls limits the tables that are pulled concurrently, since a VM that starts has to pull all of them.
	maxPulls = 8
	// tablePartBytes is the approximate size of one part of a pulled table.
	tablePartBytes = 512 << 10
)

type (
	tickEvent   struct{}
	peersEvent  struct{}
	gossipEvent struct {
		from    model.VMName
		message gossip.Message
	}
	tableEvent struct {
		origin  model.VMName
		stamp   gossip.Stamp
		records []*model.Announcement
		err     error
	}
	vectorEvent struct {
		from    model.VMName
		scope   gossip.Scope
		entries []gossip.Entry
		err     error
	}
)

// exchange connects the gossip node with the transport. Its fields are used only on the control goroutine, except for
// the transport.
type exchange struct {
	module    *Module
	transport kernel.PeerTransport
	node      *gossip.Node
	interval  time.Duration
	roles     map[model.VMName]settings.Peer
	peers     []kernel.PeerStatus
	// pullingTables and pullingVectors hold the pulls in progress, so that a slow VM does not get the same request
	// twice.
	pullingTables  map[model.VMName]bool
	pullingVectors map[gossip.PullVector]bool
	pullSlots      chan struct{}
	selfURL        string
}

func newExchange(m *Module, ctx *kernel.Context) *exchange {
	x := &exchange{
		module: m, interval: ctx.Settings.Duration(section, "gossip_interval"), roles: map[model.VMName]settings.Peer{},
		pullingTables: map[model.VMName]bool{}, pullingVectors: map[gossip.PullVector]bool{}, pullSlots: make(chan struct{}, maxPulls),
		node: gossip.NewNode(gossip.Config{
			Self: ctx.VM.VM, Zone: ctx.AvailabilityZone, Incarnation: ctx.VM.Incarnation,
			Interval: ctx.Settings.Duration(section, "gossip_interval"), ExpireAfter: ctx.Settings.Duration(section, "gossip_lapse"),
		}),
	}
	for _, p := range ctx.Settings.Peers {
		x.roles[p.Name] = p
	}
	if t, err := kernel.Lookup[kernel.PeerTransport](ctx); err == nil {
		x.transport = t
		t.Handle(kindMessage, x.handleMessage)
		t.Handle(kindTable, x.handleTable)
		t.Handle(kindVector, x.handleVector)
		t.OnChange(func(kernel.PeerStatus) { _ = ctx.Control.PostWait(context.Background(), peersEvent{}) }) // It fails only when the process ends.
	}
	return x
}

// handleMessage decodes a message on the transport's goroutine and queues it for the control goroutine.
func (x *exchange) handleMessage(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	msg, err := decodeMessage(payload)
	if err != nil {
		_ = level.Error(x.module.logger).Log("msg", "gossip message could not be decoded", "from", from, "err", err)
		return nil, err
	}
	return nil, x.module.control.PostWait(ctx, gossipEvent{from: from, message: msg})
}

// handleTable answers a request for one part of a table.
func (x *exchange) handleTable(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	var req gossippb.TableRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, wrapDecodeError(err)
	}
	var stamp gossip.Stamp
	var records []*model.Announcement
	found := false
	if err := x.module.control.Do(ctx, func(time.Time) {
		var t *gossip.Table
		if t, stamp = x.node.Table(model.VMName(req.GetOrigin())); t != nil {
			found, records = true, t.Records(keyFromProto(req.GetAfter()))
		}
	}); err != nil {
		return nil, err
	}
	if !found {
		return nil, errs.New(errs.KindNotFound, "request the table from another VM", "this VM has no table of VM %q", req.GetOrigin())
	}
	reply := &gossippb.TableReply{Stamp: stampToProto(stamp)}
	size := 0
	for _, r := range records {
		if size >= tablePartBytes {
			reply.More = true
			break
		}
		rec := recordToProto(r)
		size += proto.Size(rec)
		reply.Records = append(reply.Records, rec)
	}
	return proto.Marshal(reply)
}

func (x *exchange) handleVector(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	var req gossippb.VectorRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, wrapDecodeError(err)
	}
	var entries []gossip.Entry
	if err := x.module.control.Do(ctx, func(time.Time) { entries = x.node.Entries(gossip.Scope(req.GetScope())) }); err != nil {
		return nil, err
	}
	return proto.Marshal(&gossippb.VectorReply{Entries: entriesToProto(entries)})
}

// handleEvent handles the events of the exchange and applies their effects.
func (x *exchange) handleEvent(now time.Time, ev kernel.Event) {
	switch ev := ev.(type) {
	case tickEvent:
		x.module.control.After(x.interval, tickEvent{})
		x.refreshPeers()
		x.node.Flush()
		x.node.Tick(now)
	case peersEvent:
		x.refreshPeers()
	case gossipEvent:
		x.node.HandleMessage(now, ev.from, ev.message)
	case tableEvent:
		delete(x.pullingTables, ev.origin)
		x.handlePulledTable(now, ev)
	case vectorEvent:
		delete(x.pullingVectors, gossip.PullVector{From: ev.from, Scope: ev.scope})
		if ev.err != nil {
			_ = level.Warn(x.module.logger).Log("msg", "gossip vector could not be pulled from another VM", "from", ev.from, "err", ev.err)
			return
		}
		x.node.HandleVector(now, ev.from, ev.scope, ev.entries)
	default:
		return
	}
	x.applyEffects(now)
}

func (x *exchange) handlePulledTable(now time.Time, ev tableEvent) {
	if ev.err != nil {
		_ = level.Warn(x.module.logger).Log("msg", "table of leases could not be pulled from another VM", "origin", ev.origin, "err", ev.err)
		return
	}
	_ = level.Info(x.module.logger).Log("msg", "table of leases pulled from another VM", "origin", ev.origin, "version", ev.stamp.Version, "targets", len(ev.records))
	x.node.HandleTable(now, ev.origin, ev.stamp, ev.records)
}

// refreshPeers passes the reachable entry VMs to the node. They may belong to any site: a site whose own targets do not
// hold all shards of a service also uses the targets of other availability zones.
func (x *exchange) refreshPeers() {
	if x.transport == nil {
		return
	}
	x.peers = x.peers[:0]
	var reachable []gossip.Peer
	for _, p := range x.transport.Peers() {
		if !p.Connected || !x.roles[p.VM].HasRole(settings.RoleEntry) {
			continue
		}
		x.peers = append(x.peers, p)
		reachable = append(reachable, gossip.Peer{VM: p.VM, Zone: p.AvailabilityZone})
	}
	x.node.SetPeers(reachable)
}

// applyEffects sends the node's messages, starts its pulls and applies its listings.
func (x *exchange) applyEffects(now time.Time) {
	e := x.node.TakeEffects()
	x.sendAll(e.Sends)
	for _, p := range e.PullTables {
		x.pullTable(p)
	}
	for _, p := range e.PullVectors {
		x.pullVector(p)
	}
	for _, l := range e.Listings {
		x.applyListing(now, l)
	}
}

// flush sends the changes of this VM's own table to other VMs.
func (x *exchange) flush() {
	x.node.Flush()
	x.sendAll(x.node.TakeSends())
}

// sendAll sends messages. It encodes each one once, since most of them go to several VMs.
func (x *exchange) sendAll(sends []gossip.Send) {
	encoded := map[any][]byte{}
	for _, s := range sends {
		key := messageIdentity(s.Message)
		data, ok := encoded[key]
		if !ok {
			var err error
			if data, err = encodeMessage(s.Message); err != nil {
				_ = level.Error(x.module.logger).Log("msg", "gossip message could not be encoded and is not sent", "err", err)
				continue
			}
			encoded[key] = data
		}
		if x.transport.Send(s.To, kernel.PeerMessage{Kind: kindMessage, Payload: data}) {
			x.module.scope.Counter("gossip_messages_sent").Inc(1)
			x.module.scope.Counter("gossip_bytes_sent").Inc(int64(len(data)))
		}
	}
}

// messageIdentity returns a key that is the same for equal messages among the effects of one event.
func messageIdentity(m gossip.Message) any {
	type identity struct {
		origin  model.VMName
		version uint64
		digest  uint64
		hop     gossip.Hop
		scope   gossip.Scope
	}
	switch m := m.(type) {
	case gossip.Changes:
		return identity{origin: m.Delta.Origin, version: m.Delta.To, digest: m.Delta.Digest, hop: m.Hop}
	case gossip.VectorUpdate:
		return identity{scope: m.Scope, digest: m.Hash, version: uint64(len(m.Put))<<32 | uint64(len(m.Removed))}
	case gossip.Report:
		return m
	}
	return nil
}

func (x *exchange) applyListing(now time.Time, l gossip.Listing) {
	if l.Record == nil {
		x.module.handleChange(now, x.module.leases.RemoveListing(now, l.Origin, l.Key), "listed_by", l.Origin)
		return
	}
	c, err := x.module.leases.ApplyListing(now, l.Origin, l.Record)
	if err != nil {
		_ = level.Info(x.module.logger).Log("msg", "listing of a target from another VM refused", "target", l.Key, "listed_by", l.Origin, "err", err)
		return
	}
	x.module.handleChange(now, c, "listed_by", l.Origin)
}

func (x *exchange) pullTable(p gossip.PullTable) {
	if x.pullingTables[p.Origin] {
		return
	}
	x.pullingTables[p.Origin] = true
	runCtx := x.module.runCtx
	go func() {
		ev := tableEvent{origin: p.Origin}
		ev.stamp, ev.records, ev.err = x.fetchTable(runCtx, p)
		_ = x.module.control.PostWait(runCtx, ev) // It fails only when the process ends.
	}()
}

// fetchTable reads a table part by part. It returns an error if the table changes during the pull; the next tick starts
// another pull.
func (x *exchange) fetchTable(runCtx context.Context, p gossip.PullTable) (gossip.Stamp, []*model.Announcement, error) {
	select {
	case x.pullSlots <- struct{}{}:
		defer func() { <-x.pullSlots }()
	case <-runCtx.Done():
		return gossip.Stamp{}, nil, runCtx.Err()
	}
	var stamp gossip.Stamp
	var records []*model.Announcement
	var after model.TargetKey
	for first := true; ; first = false {
		part, err := x.fetchPart(runCtx, p, after)
		if err != nil {
			return stamp, nil, err
		}
		got := stampFromProto(part.GetStamp())
		if !first && got != stamp {
			return stamp, nil, errs.New(errs.KindUnavailable, "no action is needed; the table is pulled again", "table of VM %q changed while it was pulled", p.Origin)
		}
		decoded, err := recordsFromProto(part.GetRecords())
		if err != nil {
			return stamp, nil, err
		}
		stamp, records = got, append(records, decoded...)
		if !part.GetMore() || len(decoded) == 0 {
			return stamp, records, nil
		}
		after = decoded[len(decoded)-1].Key()
	}
}

func (x *exchange) fetchPart(runCtx context.Context, p gossip.PullTable, after model.TargetKey) (*gossippb.TableReply, error) {
	data, err := proto.Marshal(&gossippb.TableRequest{Origin: string(p.Origin), After: keyToProto(after)})
	if err != nil {
		return nil, wrapDecodeError(err)
	}
	ctx, cancel := context.WithTimeout(runCtx, pullTimeout)
	defer cancel()
	reply, err := x.transport.Call(ctx, p.From, kernel.PeerMessage{Kind: kindTable, Payload: data})
	if err != nil {
		return nil, err
	}
	part := &gossippb.TableReply{}
	if err := proto.Unmarshal(reply, part); err != nil {
		return nil, wrapDecodeError(err)
	}
	return part, nil
}

func (x *exchange) pullVector(p gossip.PullVector) {
	if x.pullingVectors[p] {
		return
	}
	x.pullingVectors[p] = true
	runCtx := x.module.runCtx
	go func() {
		ev := vectorEvent{from: p.From, scope: p.Scope}
		ev.entries, ev.err = x.fetchVector(runCtx, p)
		_ = x.module.control.PostWait(runCtx, ev) // It fails only when the process ends.
	}()
}

func (x *exchange) fetchVector(runCtx context.Context, p gossip.PullVector) ([]gossip.Entry, error) {
	data, err := proto.Marshal(&gossippb.VectorRequest{Scope: uint32(p.Scope)})
	if err != nil {
		return nil, wrapDecodeError(err)
	}
	ctx, cancel := context.WithTimeout(runCtx, pullTimeout)
	defer cancel()
	reply, err := x.transport.Call(ctx, p.From, kernel.PeerMessage{Kind: kindVector, Payload: data})
	if err != nil {
		return nil, err
	}
	var v gossippb.VectorReply
	if err := proto.Unmarshal(reply, &v); err != nil {
		return nil, wrapDecodeError(err)
	}
	return entriesFromProto(v.GetEntries()), nil
}

// responsible returns the URLs that a target should announce itself to: those of n VMs of its zone, chosen by
// rendezvous hashing among the reachable ones.
func (x *exchange) responsible(t model.TargetKey, zone model.AvailabilityZone, n int) []string {
	urls := map[model.VMName]string{}
	if x.selfURL != "" && zone == x.module.zone {
		urls[x.module.self] = x.selfURL
	}
	for _, p := range x.peers {
		if p.AvailabilityZone == zone && p.AnnounceURL != "" {
			urls[p.VM] = p.AnnounceURL
		}
	}
	vms := make([]model.VMName, 0, len(urls))
	for vm := range urls {
		vms = append(vms, vm)
	}
	var out []string
	for _, vm := range rendezvous.Top(t.String(), vms, n) {
		out = append(out, urls[vm])
	}
	return out
}

// isLayoutReporter reports whether this VM is the one of its availability zone that reports the layouts in use for a
// service.
func (x *exchange) isLayoutReporter(service model.ServiceName) bool {
	vms := []model.VMName{x.module.self}
	for _, p := range x.peers {
		if p.AvailabilityZone == x.module.zone {
			vms = append(vms, p.VM)
		}
	}
	return rendezvous.Top("layouts "+string(service), vms, 1)[0] == x.module.self
}

// updateOwnTable updates this VM's own table, which holds the targets that announce themselves to it.
func (x *exchange) updateOwnTable(c directory.Change, a *model.Announcement) (tableChanged bool) {
	switch {
	case a != nil:
		return x.node.Put(a)
	case c.Kind == directory.ChangeExpired || c.Kind == directory.ChangeListedElsewhere:
		return x.node.Remove(c.Target.Key())
	}
	return false
}
