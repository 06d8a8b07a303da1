// Package targetapi defines the HTTP protocol between the system and its targets: the headers of sub-requests and
// replies, and the JSON form of announcements. docs/target-protocol.md describes it for authors of targets.
package targetapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The paths of the protocol.
const (
	// PathAnnounce is the path of announcements, served by entry VMs.
	PathAnnounce = "/v1/announce"
	// PathShard is the path of sub-requests, served by targets.
	PathShard = "/v1/shard"
)

// The headers of sub-requests and replies. Targets return Attempt, Shard and Snapshot with every reply.
const (
	HeaderAttempt   = "Chestnuttiller-Attempt"
	HeaderService   = "Chestnuttiller-Service"
	HeaderShard     = "Chestnuttiller-Shard"
	HeaderSnapshot  = "Chestnuttiller-Snapshot"
	HeaderPriority  = "Chestnuttiller-Priority"
	HeaderTimeoutMS = "Chestnuttiller-Timeout-Ms"
	// HeaderOrderKey carries the caller's key of an order. It is not called Idempotency-Key, because net/http
	// resends a request with that header when a kept-alive connection breaks.
	HeaderOrderKey = "Chestnuttiller-Order-Key"
	// HeaderCoverage is the share of the shard's data that a reply covers.
	HeaderCoverage = "Chestnuttiller-Coverage"
	// HeaderChecksum is the checksum of a reply's body.
	HeaderChecksum = "Chestnuttiller-Body-Checksum"
	// HeaderTargetState is the target's state, on every reply.
	HeaderTargetState = "Chestnuttiller-Target-State"
	// HeaderNotRun is the reason, on a refusal, why the target did not run the attempt.
	HeaderNotRun = "Chestnuttiller-Not-Run"
)

// The values of HeaderNotRun.
const (
	NotRunShed       = "shed"
	NotRunLeaving    = "leaving"
	NotRunNoSnapshot = "no_snapshot"
	NotRunDeadline   = "deadline"
)

// MaxAnnouncementBytes limits an announcement. A layout of 1,100 shards takes about 40 KB.
const MaxAnnouncementBytes = 1 << 20

// The limits of an announced lease.
const (
	MinLease = 500 * time.Millisecond
	MaxLease = 5 * time.Minute
)

const maxNameBytes = 128

// Checksum returns the checksum of a reply's body in the form of HeaderChecksum.
func Checksum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Announcement is the JSON form of model.Announcement.
type Announcement struct {
	Service          string   `json:"service"`
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	Address          string   `json:"address"`
	Incarnation      uint64   `json:"incarnation"`
	Sequence         uint64   `json:"sequence"`
	State            string   `json:"state"`
	Layout           Layout   `json:"layout"`
	Shards           []uint32 `json:"shards"`
	IndexVersions    []uint64 `json:"index_versions"`
	Slots            int      `json:"slots"`
	ConnectionLimit  int      `json:"connection_limit"`
	Load             Load     `json:"load"`
	LeaseMS          int64    `json:"lease_ms"`
}

// Layout is the JSON form of a layout. Renewals may leave out Shards.
type Layout struct {
	Number uint64  `json:"number"`
	Digest uint64  `json:"digest,string"`
	Shards []Shard `json:"shards,omitempty"`
}

// Shard is the JSON form of a shard of a layout.
type Shard struct {
	ID    uint32  `json:"id"`
	Share float64 `json:"share"`
}

// Load is the JSON form of a target's reported load.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// AnnounceResponse is the body of the response to an accepted announcement.
type AnnounceResponse struct {
	// Responsible lists the announcement URLs of the VMs that the target should announce to from now on.
	Responsible []string `json:"responsible,omitempty"`
	// NeedLayout requests the shards of the layout with the next announcement.
	NeedLayout bool `json:"need_layout,omitempty"`
}

// Encode returns the JSON form of an announcement.
func Encode(a *model.Announcement) Announcement {
	out := Announcement{
		Service: string(a.Service), ID: string(a.ID), AvailabilityZone: string(a.AvailabilityZone), Address: a.Addr,
		Incarnation: a.Incarnation, Sequence: a.Sequence, State: string(a.State),
		Layout: Layout{Number: uint64(a.Layout.Number), Digest: a.Layout.Digest},
		Slots:  a.Slots, ConnectionLimit: a.ConnectionLimit,
		Load: Load{InFlight: a.Load.InFlight, Queued: a.Load.Queued}, LeaseMS: a.Lease.Milliseconds(),
	}
	for _, s := range a.LayoutShards {
		out.Layout.Shards = append(out.Layout.Shards, Shard{ID: uint32(s.ID), Share: s.Share})
	}
	for _, s := range a.Shards {
		out.Shards = append(out.Shards, uint32(s))
	}
	for _, v := range a.IndexVersions {
		out.IndexVersions = append(out.IndexVersions, uint64(v))
	}
	return out
}

// Decode reads and checks one announcement. It refuses values that are never valid; the directory decides whether
// the announcement contradicts other ones.
func Decode(r io.Reader) (*model.Announcement, error) {
	var in Announcement
	dec := json.NewDecoder(io.LimitReader(r, MaxAnnouncementBytes+1))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send one JSON object as docs/target-protocol.md describes", "announcement cannot be decoded")
	}
	if dec.InputOffset() > MaxAnnouncementBytes {
		return nil, errs.New(errs.KindTooLarge, "leave out the shards of the layout on renewals", "announcement is larger than %d bytes", MaxAnnouncementBytes)
	}
	if err := in.check(); err != nil {
		return nil, err
	}
	a := &model.Announcement{
		Service: model.ServiceName(in.Service), ID: model.TargetID(in.ID),
		AvailabilityZone: model.AvailabilityZone(in.AvailabilityZone), Addr: in.Address,
		Incarnation: in.Incarnation, Sequence: in.Sequence, State: model.TargetState(in.State),
		Layout: model.LayoutRef{Number: model.LayoutNumber(in.Layout.Number), Digest: in.Layout.Digest},
		Slots:  in.Slots, ConnectionLimit: in.ConnectionLimit,
		Load:  model.Load{InFlight: in.Load.InFlight, Queued: in.Load.Queued},
		Lease: time.Duration(in.LeaseMS) * time.Millisecond,
	}
	for _, s := range in.Layout.Shards {
		a.LayoutShards = append(a.LayoutShards, model.Shard{ID: model.ShardID(s.ID), Share: s.Share})
	}
	for _, s := range in.Shards {
		a.Shards = append(a.Shards, model.ShardID(s))
	}
	for _, v := range in.IndexVersions {
		a.IndexVersions = append(a.IndexVersions, model.IndexVersion(v))
	}
	return a, checkLayout(a)
}

func (a *Announcement) check() error {
	invalid := func(remedy, format string, args ...any) error {
		return errs.New(errs.KindInvalid, remedy, "announcement of %q: "+format, append([]any{a.Service + "/" + a.ID}, args...)...)
	}
	for _, n := range []struct{ key, value string }{{"service", a.Service}, {"id", a.ID}, {"availability_zone", a.AvailabilityZone}} {
		if n.value == "" || len(n.value) > maxNameBytes {
			return invalid(fmt.Sprintf("give %s a name of 1 to %d bytes", n.key, maxNameBytes), "%s is %q", n.key, n.value)
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return invalid("give an IP address and port", "address is %q", a.Address)
	}
	if a.Incarnation == 0 || a.Sequence == 0 {
		return invalid("count both from 1", "incarnation is %d and sequence is %d", a.Incarnation, a.Sequence)
	}
	switch model.TargetState(a.State) {
	case model.TargetCold, model.TargetServing, model.TargetDraining, model.TargetLeaving:
	default:
		return invalid("use cold, serving, draining or leaving", "state is %q", a.State)
	}
	if a.Slots < 1 || a.ConnectionLimit < 1 {
		return invalid("announce at least one of each", "slots is %d and connection_limit is %d", a.Slots, a.ConnectionLimit)
	}
	if a.Load.InFlight < 0 || a.Load.Queued < 0 {
		return invalid("report counts from 0", "load is negative")
	}
	if lease := time.Duration(a.LeaseMS) * time.Millisecond; lease < MinLease || lease > MaxLease {
		return invalid(fmt.Sprintf("request a lease from %s to %s", MinLease, MaxLease), "lease_ms is %d", a.LeaseMS)
	}
	return nil
}

// checkLayout checks that the layout matches its digest and contains the shards that the target holds, and sets the
// digest if the announcement has none.
func checkLayout(a *model.Announcement) error {
	seen := map[model.ShardID]bool{}
	for _, s := range a.Shards {
		if seen[s] {
			return errs.New(errs.KindInvalid, "list each shard once", "announcement of %q lists shard %d twice", a.Key(), s)
		}
		seen[s] = true
	}
	if len(a.LayoutShards) == 0 {
		return nil
	}
	layout := model.Layout{Service: a.Service, Number: a.Layout.Number, Shards: a.LayoutShards}
	if err := layout.Validate(); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "announce shards in ascending order with shares that sum to 1", "announcement of %q", a.Key())
	}
	if d := layout.Digest(); a.Layout.Digest != 0 && d != a.Layout.Digest {
		return errs.New(errs.KindInvalid, "compute the digest over the announced shards, or send 0", "announcement of %q has layout %d with digest %d, but its shards have digest %d", a.Key(), a.Layout.Number, a.Layout.Digest, d)
	}
	a.Layout.Digest = layout.Digest()
	inLayout := map[model.ShardID]bool{}
	for _, s := range a.LayoutShards {
		inLayout[s.ID] = true
	}
	for _, s := range a.Shards {
		if !inLayout[s] {
			return errs.New(errs.KindInvalid, "hold only shards of the announced layout", "announcement of %q holds shard %d, which layout %d does not have", a.Key(), s, a.Layout.Number)
		}
	}
	return nil
}
