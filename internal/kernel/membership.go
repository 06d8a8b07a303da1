package kernel

import (
	"context"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// TargetDirectory applies the announcements of targets. The module with CapDirectory implements it.
type TargetDirectory interface {
	// Announce applies an announcement that the target itself sent. A refusal is a typed error.
	Announce(ctx context.Context, a *model.Announcement) (AnnounceResult, error)
	// SetAnnounceURL sets the URL at which targets reach this VM. It is called while modules are provisioned.
	SetAnnounceURL(url string)
}

// AnnounceResult is the answer to an accepted announcement.
type AnnounceResult struct {
	// Responsible lists the announcement URLs that the target should use from now on. It is empty when this
	// VM cannot determine them.
	Responsible []string
	// NeedLayout requests the shards of the layout with the next announcement.
	NeedLayout bool
}

// TargetStateReport is an event for the control goroutine: a reply carried the state of a target. Only states
// that accept no work change anything; other states are applied only from announcements. It may be posted with
// Control.Post, since a lost report is followed by one with the next reply.
type TargetStateReport struct {
	Target model.TargetKey
	// Incarnation is the incarnation of the lease under which the attempt was sent.
	Incarnation uint64
	State       model.TargetState
}

// ConnectionShareChecker is implemented by the module that holds the connections to targets.
type ConnectionShareChecker interface {
	// WithinShares reports whether the connections to every target are within the shares of a view's seat.
	WithinShares(v *View) bool
}
