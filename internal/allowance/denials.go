package allowance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Denial describes the asks for one allowance that an owner has denied since the last report.
type Denial struct {
	Key   Key
	Limit Limit
	// Count is the number of denied asks.
	Count int
	// Units is what the bucket held when the last ask was denied, and Depth what it holds at most.
	Units, Depth float64
	// Lenders states for each zone that could lend units why it did not help when the first ask was denied.
	Lenders string
}

// recordDenial is called before a waiting ask is denied.
func (o *Owner) recordDenial(now time.Time, key Key, b *bucket) {
	d := o.denials[key]
	if d == nil {
		d = &Denial{Key: key, Lenders: o.describeLenders(now, b)}
		o.denials[key] = d
	}
	d.Count++
	d.Limit, d.Units, d.Depth = b.limit, b.tokens, o.depth(b.limit)
}

func (o *Owner) describeLenders(now time.Time, b *bucket) string {
	var list []string
	for i, zone := range o.zones {
		if i == 0 && !b.standIn {
			continue
		}
		state := "is not asked"
		switch s := &b.lenders[i]; {
		case now.Before(o.unreachable[i]):
			state = "does not answer"
		case s.asked:
			state = "has not answered yet"
		case now.Before(s.notBefore):
			state = "has too few"
		}
		list = append(list, fmt.Sprintf("%s %s", zone, state))
	}
	return strings.Join(list, ", ")
}

// TakeDenials returns what was denied since its last call: allowances of customers first, and of each kind the most denied ones first.
func (o *Owner) TakeDenials() []Denial {
	if len(o.denials) == 0 {
		return nil
	}
	list := make([]Denial, 0, len(o.denials))
	for _, d := range o.denials {
		list = append(list, *d)
	}
	clear(o.denials)
	slices.SortFunc(list, func(a, b Denial) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(b.Count, a.Count), compareKeys(a.Key, b.Key))
	})
	return list
}
