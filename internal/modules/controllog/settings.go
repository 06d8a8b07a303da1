package controllog

import (
	"path/filepath"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "control"

// The defaults fit availability zones that are 1 ms apart: a heartbeat every 40 ms, and an election after 300 to
// 600 ms, which is far longer than a slow sync or a runtime pause and well within the 4 s for a configuration change.
var keys = []settings.Key{
	{Section: section, Name: "initial_members", Kind: settings.KindList, Help: "VM names of the first control VMs; used by `chestnuttiller control init` only"},
	{Section: section, Name: "tick", Kind: settings.KindDuration, Default: "20ms", Min: 0.001, Max: 1, Help: "length of one tick, the unit of heartbeat_ticks and election_ticks"},
	{Section: section, Name: "heartbeat_ticks", Kind: settings.KindInt, Default: "2", Min: 1, Max: 100, Help: "ticks between heartbeats of the leader"},
	{Section: section, Name: "election_ticks", Kind: settings.KindInt, Default: "15", Min: 3, Max: 1000, Help: "minimum ticks without a leader before an election; the actual number is up to twice that"},
	{Section: section, Name: "snapshot_entries", Kind: settings.KindInt, Default: "10000", Min: 10, Max: 10000000, Help: "entries between snapshots"},
	{Section: section, Name: "snapshot_bytes", Kind: settings.KindInt, Default: "33554432", Min: 65536, Max: 1 << 30, Help: "size of the entries between snapshots, if it is reached before snapshot_entries; the disk holds up to twice as much log, besides a few segments and snapshots"},
	{Section: section, Name: "retain_entries", Kind: settings.KindInt, Default: "5000", Min: 0, Max: 10000000, Help: "entries kept in memory after a snapshot for members that lag, up to the size snapshot_bytes"},
	{Section: section, Name: "segment_bytes", Kind: settings.KindInt, Default: "16777216", Min: 65536, Max: 1 << 30, Help: "size of a log segment; two are preallocated"},
	{Section: section, Name: "max_proposal_bytes", Kind: settings.KindInt, Default: "1048576", Min: 1024, Max: 64 << 20, Help: "size of the largest proposal"},
	{Section: section, Name: "max_unapplied_bytes", Kind: settings.KindInt, Default: "4194304", Min: 1024, Max: 256 << 20, Help: "size of the proposals that a leader accepts before they are committed and applied"},
	{Section: section, Name: "max_message_bytes", Kind: settings.KindInt, Default: "262144", Min: 1024, Max: 16 << 20, Help: "size of the entries, or of the part of a snapshot, in one message"},
	{Section: section, Name: "max_inflight", Kind: settings.KindInt, Default: "16", Min: 1, Max: 1024, Help: "unacknowledged messages to one member"},
	{Section: section, Name: "max_voters", Kind: settings.KindInt, Default: "5", Min: 1, Max: 9, Help: "voters of the control group; further control VMs stay learners"},
	{Section: section, Name: "form_group", Kind: settings.KindBool, Default: "false", Help: "on an empty data folder, form the first control group with the VMs at [discovery] seeds; true only when the whole system starts for the first time"},
	{Section: section, Name: "tolerated_losses", Kind: settings.KindInt, Default: "0", Min: 0, Max: 4, Help: "control VMs that may be lost at once; above 0 it sets max_voters to twice that and one"},
	{Section: section, Name: "replace_after", Kind: settings.KindDuration, Default: "0s", Max: 3600, Help: "time without contact with a voter after which a learner replaces it; 0 means never"},
	{Section: section, Name: "replace_within", Kind: settings.KindDuration, Default: "0s", Max: 3600, Help: "time after a loss, or after the start of the lost VM's successor, within which the group has to tolerate the next loss; a start fails if the other settings allow a longer replacement; 0 means that it is not checked"},
	{Section: section, Name: "rejoin_on_damage", Kind: settings.KindBool, Default: "false", Help: "rename a damaged control folder and join the group as a new replica, instead of refusing to start"},
	{Section: section, Name: "retry", Kind: settings.KindDuration, Default: "500ms", Min: 0.001, Max: 60, Help: "pause between attempts to form or join the group, or to allocate space on a full disk"},
	{Section: section, Name: "call_timeout", Kind: settings.KindDuration, Default: "2s", Min: 0.01, Max: 60, Help: "timeout of one call to another control VM"},
}

type options struct {
	initial         []model.VMName
	tick            time.Duration
	heartbeatTicks  int
	electionTicks   int
	snapshotEntries uint64
	snapshotBytes   int
	retainEntries   uint64
	segmentBytes    int64
	maxProposal     int
	maxUnapplied    int
	maxMessage      int
	maxInflight     int
	retry           time.Duration
	callTimeout     time.Duration
	maxVoters       int
	replaceAfter    time.Duration
	replaceWithin   time.Duration
	rejoinOnDamage  bool
	// formGroup reports whether a VM with an empty data folder is a first member of a new group.
	formGroup bool
	// controlVMs are the other control VMs in the settings.
	controlVMs []model.VMName
}

func loadOptions(s *settings.Settings) options {
	o := options{
		tick:            s.Duration(section, "tick"),
		heartbeatTicks:  s.Int(section, "heartbeat_ticks"),
		electionTicks:   s.Int(section, "election_ticks"),
		snapshotEntries: uint64(s.Int(section, "snapshot_entries")),
		snapshotBytes:   s.Int(section, "snapshot_bytes"),
		retainEntries:   uint64(s.Int(section, "retain_entries")),
		segmentBytes:    int64(s.Int(section, "segment_bytes")),
		maxProposal:     s.Int(section, "max_proposal_bytes"),
		maxUnapplied:    s.Int(section, "max_unapplied_bytes"),
		maxMessage:      s.Int(section, "max_message_bytes"),
		maxInflight:     s.Int(section, "max_inflight"),
		maxVoters:       s.Int(section, "max_voters"),
		retry:           s.Duration(section, "retry"),
		callTimeout:     s.Duration(section, "call_timeout"),
		replaceAfter:    s.Duration(section, "replace_after"),
		replaceWithin:   s.Duration(section, "replace_within"),
		rejoinOnDamage:  s.Bool(section, "rejoin_on_damage"),
	}
	if f := s.Int(section, "tolerated_losses"); f > 0 {
		o.maxVoters = 2*f + 1
	}
	if s.DiscoversPeers {
		o.initial = discoveredMembers(s)
		o.formGroup = s.Bool(section, "form_group") && slices.Contains(o.initial, s.VM)
	}
	for _, name := range s.List(section, "initial_members") {
		o.initial = append(o.initial, model.VMName(name))
	}
	for _, p := range s.Peers {
		if p.HasRole(settings.RoleControl) {
			o.controlVMs = append(o.controlVMs, p.Name)
		}
	}
	return o
}

// discoveredMembers returns the VMs at the seeds, which form the first group. All VMs are configured with the same
// seeds for the first start.
func discoveredMembers(s *settings.Settings) []model.VMName {
	var out []model.VMName
	for _, p := range s.SeedPeers() {
		out = append(out, p.Name)
	}
	return out
}

// entryOverheadBytes is an upper limit for the size of an encoded entry without its data.
const entryOverheadBytes = 4096

// check returns an error for settings that contradict each other.
func (o options) check() error {
	switch {
	case o.electionTicks < 2*o.heartbeatTicks:
		return errs.New(errs.KindInvalid, "raise election_ticks", "[control] election_ticks %d is below twice heartbeat_ticks %d, so one lost heartbeat would start an election", o.electionTicks, o.heartbeatTicks)
	case int64(o.maxProposal+entryOverheadBytes) > o.segmentBytes/4:
		return errs.New(errs.KindInvalid, "raise segment_bytes", "[control] max_proposal_bytes %d does not fit four times into segment_bytes %d", o.maxProposal, o.segmentBytes)
	case int64(o.maxUnapplied) > o.segmentBytes/2 || int64(o.maxInflight)*int64(o.maxMessage) > o.segmentBytes/2:
		// Entries that are in flight when the disk becomes full have to fit into the preallocated segment.
		return errs.New(errs.KindInvalid, "raise segment_bytes", "[control] max_unapplied_bytes, or max_inflight times max_message_bytes, is above half of segment_bytes %d", o.segmentBytes)
	case o.checksReplacement() && o.replaceAfter+o.changeTime() > o.replaceWithin:
		return errs.New(errs.KindInvalid, "lower replace_after", "[control] replace_after %s and %s for the changes of members are longer than replace_within %s", o.replaceAfter, o.changeTime(), o.replaceWithin)
	case o.checksReplacement() && o.successorTime()+o.changeTime() > o.replaceWithin:
		return errs.New(errs.KindInvalid, "lower election_ticks or tick", "[control] election_ticks %d of %s each, retry %s and %s for the changes of members are longer than replace_within %s",
			o.electionTicks, o.tick, o.retry, o.changeTime(), o.replaceWithin)
	case o.maxUnapplied < o.maxProposal:
		return errs.New(errs.KindInvalid, "raise max_unapplied_bytes", "[control] max_unapplied_bytes %d is below max_proposal_bytes %d", o.maxUnapplied, o.maxProposal)
	}
	return nil
}

// memberChangeTime is how long one change of the members takes: one sync on the leader and one on the other voters at the same time, of
// disks that take 30 times the 2 ms that they should, and the messages between them, twice over.
const memberChangeTime = 250 * time.Millisecond

func (o options) checksReplacement() bool { return o.replaceAfter > 0 && o.replaceWithin > 0 }

// changeTime is how long the promotion of a learner and the removal of a lost voter take, for as many losses at once as the voters
// tolerate.
func (o options) changeTime() time.Duration {
	tolerated := max((o.maxVoters-1)/2, 1)
	return time.Duration(2*tolerated) * memberChangeTime
}

// successorTime is how long it takes until a successor that starts with the loss of the leader is a learner: the longest time to an
// election, and one pause between two requests to join.
func (o options) successorTime() time.Duration {
	return time.Duration(2*o.electionTicks)*o.tick + o.retry
}

// checkInitial validates the list of first members.
func (o options) checkInitial(thisVM model.VMName) error {
	if !slices.Contains(o.initial, thisVM) {
		return errs.New(errs.KindInvalid, "add this VM to initial_members, or start the process without `control init`, so that it joins",
			"[control] initial_members does not list this VM %q", thisVM)
	}
	for i, vm := range o.initial {
		if slices.Contains(o.initial[:i], vm) {
			return errs.New(errs.KindInvalid, "list each VM once", "[control] initial_members lists %q twice", vm)
		}
		if vm != thisVM && !slices.Contains(o.controlVMs, vm) {
			return errs.New(errs.KindInvalid, "add a section [peer "+string(vm)+"] with the role control", "[control] initial_members lists %q, which is not a control VM", vm)
		}
	}
	return nil
}

// controlFolder returns the folder of all files of the module.
func controlFolder(s *settings.Settings) string { return filepath.Join(s.DataFolder, "control") }
