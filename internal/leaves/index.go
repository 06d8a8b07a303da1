package leaves

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Copy is what one control VM told this VM.
type Copy struct {
	Leaves map[string]Leaf
}

// Apply replaces the copy, or the changed leaves in it.
func (c *Copy) Apply(list []Leaf, complete bool) {
	if complete || c.Leaves == nil {
		c.Leaves = make(map[string]Leaf, len(list))
	}
	for _, l := range list {
		c.Leaves[l.ID] = l
	}
}

// Member is a leaf that requests may be sent to.
type Member struct {
	Leaf
	// WarmAt is when the leaf reaches its full speed, by this VM's clock.
	WarmAt time.Time
}

// Incarnation names one start of a leaf.
type Incarnation struct {
	ID     string
	BornMS int64
}

// Key names one incarnation of a leaf at one address.
type Key struct {
	Incarnation
	Address string
}

// Key returns the key of the incarnation.
func (m *Member) Key() Key { return Key{Incarnation{m.ID, m.BornMS}, m.Address} }

// Index is the immutable set of leaves that requests may be sent to, by service and in the order of their IDs.
type Index struct {
	Services map[model.ServiceName][]*Member
	Count    int
}

// Join builds the index from the copies of several control VMs. Members of the index before keep their identity
// while their incarnation and address are the same.
func Join(now time.Time, copies []*Copy, before *Index) *Index {
	newest := map[string]Leaf{}
	for _, c := range copies {
		for id, l := range c.Leaves {
			old, ok := newest[id]
			// Of equal news, an end goes first, and a lapse goes last: it is the view of one control VM only.
			if !ok || cmp.Or(compare(&l, &old), cmp.Compare(weight(l.State), weight(old.State))) > 0 {
				newest[id] = l
			}
		}
	}
	kept := map[string]*Member{}
	if before != nil {
		for _, list := range before.Services {
			for _, m := range list {
				kept[m.ID] = m
			}
		}
	}
	out := &Index{Services: map[model.ServiceName][]*Member{}}
	lapsed := map[model.ServiceName][]*Member{}
	for id, l := range newest {
		if l.State != Ready && l.State != Lapsed {
			continue
		}
		m := kept[id]
		if m == nil || m.BornMS != l.BornMS || m.Address != l.Address || m.Service != l.Service {
			m = &Member{Leaf: l, WarmAt: now.Add(l.WarmUpLeft)}
		}
		if l.State == Ready {
			out.Services[l.Service] = append(out.Services[l.Service], m)
		} else {
			lapsed[l.Service] = append(lapsed[l.Service], m)
		}
	}
	for service, list := range lapsed {
		if len(out.Services[service]) == 0 {
			out.Services[service] = list
		}
	}
	for _, list := range out.Services {
		slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
		out.Count += len(list)
	}
	return out
}

func weight(s State) int {
	return [...]int{Ready: 2, Draining: 3, Gone: 4, Lapsed: 1}[s]
}
