package leaves

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// RemoteTable holds the leaves that this VM received from one control VM.
type RemoteTable struct {
	Leaves map[string]Leaf
}

// Apply replaces all leaves if the list is complete, and only the listed leaves otherwise.
func (t *RemoteTable) Apply(list []Leaf, complete bool) {
	if complete || t.Leaves == nil {
		t.Leaves = make(map[string]Leaf, len(list))
	}
	for _, l := range list {
		t.Leaves[l.ID] = l
	}
}

// Member is a leaf that requests may be sent to.
type Member struct {
	Leaf
	// WarmAt is when the warm-up of the leaf ends, by this VM's clock.
	WarmAt time.Time
	// considered is the highest sequence number whose warm-up was compared with WarmAt. Only BuildIndex uses it.
	considered uint64
}

// Incarnation identifies one start of a leaf.
type Incarnation struct {
	ID     string
	BornMS int64
}

// Key identifies one incarnation of a leaf at one address.
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

// Newest returns the newest record of each leaf in the tables of several control VMs. previous holds the records that were the
// newest before: a leaf that has left does not return with an older record, which a control VM that was restarted may list.
func Newest(tables []*RemoteTable, previous map[string]Leaf) map[string]Leaf {
	newest := map[string]Leaf{}
	for _, t := range tables {
		for id, l := range t.Leaves {
			old, ok := newest[id]
			// Of records of the same age, one that has ended takes precedence, and an expired one comes last: expiry is the view
			// of a single control VM.
			if !ok || cmp.Or(compareAge(&l, &old), cmp.Compare(precedence(l.State), precedence(old.State))) > 0 {
				newest[id] = l
			}
		}
	}
	for id, l := range newest {
		old, ok := previous[id]
		if ok && old.State.departing() && cmp.Or(compareAge(&old, &l), cmp.Compare(precedence(old.State), precedence(l.State))) > 0 {
			newest[id] = old
		}
	}
	return newest
}

// warmUpSkew is by how much the end of a warm-up may seem to move, since records arrive up to about a second after their heartbeats.
const warmUpSkew = time.Second

// isColdAgain reports whether a record states a warm-up that ends later than that of the member.
func (m *Member) isColdAgain(now time.Time, l *Leaf) bool {
	return l.Sequence > m.considered && l.WarmUpLeft > 0 && now.Add(l.WarmUpLeft).After(m.WarmAt.Add(warmUpSkew))
}

// BuildIndex builds the index from the newest records of the leaves, without the incarnations that are leaving. A member of the
// previous index is reused while its incarnation, address and service are the same and it is not cold again.
func BuildIndex(now time.Time, newest map[string]Leaf, leaving func(Key) bool, previous *Index) *Index {
	members := map[string]*Member{}
	if previous != nil {
		for _, list := range previous.Services {
			for _, m := range list {
				members[m.ID] = m
			}
		}
	}
	out := &Index{Services: map[model.ServiceName][]*Member{}}
	expired := map[model.ServiceName][]*Member{}
	for id, l := range newest {
		if l.State != Ready && l.State != Expired {
			continue
		}
		m := members[id]
		if m == nil || m.BornMS != l.BornMS || m.Address != l.Address || m.Service != l.Service || m.isColdAgain(now, &l) {
			m = &Member{Leaf: l, WarmAt: now.Add(l.WarmUpLeft)}
		}
		m.considered = max(m.considered, l.Sequence) // The warm-up of a record counts from when it arrives.
		if leaving(m.Key()) {
			continue
		}
		if l.State == Ready {
			out.Services[l.Service] = append(out.Services[l.Service], m)
		} else {
			expired[l.Service] = append(expired[l.Service], m)
		}
	}
	for service, list := range expired {
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

// precedence ranks the states of records of the same age.
func precedence(s State) int {
	return [...]int{Ready: 2, Draining: 3, Deregistered: 4, Expired: 1}[s]
}
