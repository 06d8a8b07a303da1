package directory

import "github.com/chestnuttiller/chestnuttiller/internal/model"

// maxProposals limits the layouts that wait to be committed, since each takes memory for all its shards.
const maxProposals = 1024

// Proposal is a complete layout that waits to be committed by the control VMs.
type Proposal struct {
	Layout model.Layout
	Digest uint64
	// From is the target that announced the layout first.
	From model.TargetKey
}

// Propose records the layout of an accepted announcement as a proposal. It returns nil when the announcement
// omits the shards, when the layout is committed or proposed already, or when there are too many proposals.
func (d *Directory) Propose(a *model.Announcement, r ReplicatedState) *Proposal {
	k := LayoutKey{a.Service, a.Layout.Number}
	if len(a.LayoutShards) == 0 || r.layout(k.Service, k.Number) != nil || d.proposals[k] != nil || len(d.proposals) >= maxProposals {
		return nil
	}
	p := &Proposal{
		Layout: model.Layout{Service: a.Service, Number: a.Layout.Number, Shards: a.LayoutShards},
		Digest: a.Layout.Digest, From: a.Key(),
	}
	d.proposals[k] = p
	return p
}

// NeedsLayout reports whether this VM lacks the shards of an announced layout.
func (d *Directory) NeedsLayout(a *model.Announcement, r ReplicatedState) bool {
	return len(a.LayoutShards) == 0 && r.layout(a.Service, a.Layout.Number) == nil &&
		d.proposals[LayoutKey{a.Service, a.Layout.Number}] == nil
}

// Proposal returns the layout that waits to be committed under a number, or nil.
func (d *Directory) Proposal(s model.ServiceName, n model.LayoutNumber) *Proposal {
	return d.proposals[LayoutKey{s, n}]
}

// DropProposal drops a proposal that was committed or refused, or that no target needs.
func (d *Directory) DropProposal(s model.ServiceName, n model.LayoutNumber) {
	delete(d.proposals, LayoutKey{s, n})
}

// ProposalNeeded reports whether a target with a live lease still uses the proposed layout.
func (d *Directory) ProposalNeeded(p *Proposal) bool {
	for _, l := range d.leases {
		if l.target.Service == p.Layout.Service && l.target.Layout == (model.LayoutRef{Number: p.Layout.Number, Digest: p.Digest}) {
			return true
		}
	}
	return false
}

// LayoutKey identifies a layout across services.
type LayoutKey struct {
	Service model.ServiceName
	Number  model.LayoutNumber
}

// LayoutsInUse returns the layouts of the targets with live leases.
func (d *Directory) LayoutsInUse() []LayoutKey {
	seen := map[LayoutKey]bool{}
	var out []LayoutKey
	for _, l := range d.leases {
		k := LayoutKey{l.target.Service, l.target.Layout.Number}
		if !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}
