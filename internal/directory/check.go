package directory

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// check returns an error if the announcement has to be refused. l is the target's live lease, or nil.
func (d *Directory) check(now time.Time, l *lease, a *model.Announcement, r ReplicatedState) error {
	if err := checkService(a, r); err != nil {
		return err
	}
	if len(a.IndexVersions) > MaxIndexVersions {
		return errs.New(errs.KindInvalid, "drop old index versions", "announcement of %q lists %d index versions; the limit is %d", a.Key(), len(a.IndexVersions), MaxIndexVersions)
	}
	if err := d.checkSequence(now, l, a); err != nil {
		return err
	}
	if err := d.checkAddress(a); err != nil {
		return err
	}
	if err := d.checkLayout(a, r); err != nil {
		return err
	}
	if l == nil && len(d.leases) >= d.maxTargets {
		return errs.New(errs.KindOverload, "raise [directory] max_targets", "announcement of %q: this VM already holds %d leases", a.Key(), len(d.leases))
	}
	return nil
}

func checkService(a *model.Announcement, r ReplicatedState) error {
	if !r.Configured {
		return nil
	}
	if r.Site == nil {
		return errs.New(errs.KindNotFound, "list this VM's availability zone under a [site] of the configuration", "announcement of %q: this VM belongs to no site", a.Key())
	}
	if r.Site.Services[a.Service] == nil {
		return errs.New(errs.KindNotFound, "add the service to the site's configuration", "announcement of %q: service %q is not configured at site %q", a.Key(), a.Service, r.Site.Name)
	}
	return nil
}

// checkSequence refuses announcements that are older than the newest one of the target, that repeat its sequence number
// with different values, or that have another state after the target has announced that it is leaving. An identical
// repeated announcement is accepted while the lease is live, since a target resends it when the response was lost.
func (d *Directory) checkSequence(now time.Time, l *lease, a *model.Announcement) error {
	newest := d.newestTarget(now, l, a.Key())
	if newest == nil || a.Incarnation > newest.Incarnation {
		return nil
	}
	switch {
	case a.Incarnation < newest.Incarnation:
		return errs.New(errs.KindConflict, "raise the incarnation with each start of the target", "announcement of %q has incarnation %d, but the directory already has incarnation %d", a.Key(), a.Incarnation, newest.Incarnation)
	case a.Sequence < newest.Sequence || (l == nil && a.Sequence == newest.Sequence):
		return errs.New(errs.KindConflict, "raise the sequence number with each announcement", "announcement of %q has sequence number %d, but the directory already has number %d", a.Key(), a.Sequence, newest.Sequence)
	case a.Sequence == newest.Sequence && (!sameHoldings(a, &newest.Announcement) || a.State != l.announced):
		return errs.New(errs.KindConflict, "raise the sequence number with each announcement", "announcement of %q repeats sequence number %d with different values", a.Key(), a.Sequence)
	case newest.State == model.TargetLeaving && a.State != model.TargetLeaving:
		return errs.New(errs.KindConflict, "start again with a higher incarnation", "announcement of %q has state %s, but this incarnation has announced that it is leaving", a.Key(), a.State)
	}
	return nil
}

// newestTarget returns the newest state of a target, from its lease or its tombstone, or nil.
func (d *Directory) newestTarget(now time.Time, l *lease, k model.TargetKey) *model.Target {
	if l != nil {
		return l.target
	}
	if t, ok := d.tombstones[k]; ok && t.expires.After(now) {
		return t.last
	}
	return nil
}

// checkListing returns an error if there are too many leases, or if another VM's listing must not bring back a target
// whose lease expired here. The target announces itself to that VM, but the record in the listing dates from the
// target's last change. So the listing is accepted when it equals the last state of the target at this VM, or is newer.
func (d *Directory) checkListing(now time.Time, a *model.Announcement) error {
	if len(d.leases) >= d.maxTargets {
		return errs.New(errs.KindOverload, "raise [directory] max_targets", "target %q: this VM already holds %d leases", a.Key(), len(d.leases))
	}
	newest := d.newestTarget(now, nil, a.Key())
	if newest == nil || newer(a, newest) {
		return nil
	}
	if a.Incarnation == newest.Incarnation && a.State == newest.State && sameHoldings(a, &newest.Announcement) {
		return nil
	}
	return errs.New(errs.KindConflict, "wait for the target's next announcement", "listing of target %q with incarnation %d and sequence number %d is older than the record at this VM", a.Key(), a.Incarnation, a.Sequence)
}

// checkAddress refuses the address of another target with a live lease. A leaving target releases its address,
// so that its successor need not wait until the lease expires.
func (d *Directory) checkAddress(a *model.Announcement) error {
	holder, ok := d.addresses[a.Addr]
	if !ok || holder == a.Key() || d.leases[holder].target.State == model.TargetLeaving {
		return nil
	}
	return errs.New(errs.KindConflict, "announce the target's own address, or wait until the other lease has expired", "announcement of %q has address %s, which belongs to target %q", a.Key(), a.Addr, holder)
}

// checkLayout refuses a layout that differs from the committed or proposed layout of the same number.
func (d *Directory) checkLayout(a *model.Announcement, r ReplicatedState) error {
	if committed := r.layout(a.Service, a.Layout.Number); committed != nil {
		if digest := committed.Digest(); a.Layout.Digest != digest {
			return errs.New(errs.KindConflict, "use a new layout number for other shards or shares", "announcement of %q has layout %d with digest %d; the committed layout has digest %d", a.Key(), a.Layout.Number, a.Layout.Digest, digest)
		}
		return nil
	}
	p := d.proposals[LayoutKey{a.Service, a.Layout.Number}]
	if p != nil && p.Digest != a.Layout.Digest {
		return errs.New(errs.KindConflict, "use a new layout number for other shards or shares", "announcement of %q has layout %d with digest %d; target %q announced it first with digest %d", a.Key(), a.Layout.Number, a.Layout.Digest, p.From, p.Digest)
	}
	return nil
}
