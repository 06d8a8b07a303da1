package membership

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func listedLeaf(id, address string, born int64) *membershippb.Leaf {
	return &membershippb.Leaf{Id: id, Service: "s", Address: address, State: uint32(leaves.Ready), BornMs: born, Sequence: 1}
}

// answerWith returns an answer of a control VM that lists the leaves, as it is decoded.
func answerWith(t *testing.T, list ...*membershippb.Leaf) update {
	data, err := proto.Marshal(&membershippb.WatchReply{Incarnation: 7, Position: 1, Complete: true, Leaves: list})
	require.NoError(t, err)
	u, err := decodeUpdate(data)
	require.NoError(t, err)
	return u
}

func (m *Module) listedIDs() (out []string) {
	for _, l := range m.index.Services["s"] {
		out = append(out, l.ID)
	}
	return out
}

// Guards against a VM that stops following the leaves because a control VM lists one impossible record among them.
func TestImpossibleRecordsAreIgnored(t *testing.T) {
	m := newModule()
	m.applyUpdate(start, updateEvent{"a", answerWith(t,
		listedLeaf("a", "10.0.0.1:80", 5), listedLeaf("b", "10.0.0.1:0", 5), listedLeaf("c", "10.0.0.1:80", math.MaxInt64),
		listedLeaf("", "10.0.0.1:80", 5), listedLeaf("d\n", "10.0.0.1:80", 5), &membershippb.Leaf{Id: "e", State: math.MaxUint32}, &membershippb.Leaf{Id: "f", State: 7, Service: "s", Address: "10.0.0.1:80"},
		&membershippb.Leaf{Id: "g", Service: "s", Address: "10.0.0.2:80", State: uint32(leaves.Ready), BornMs: 5, Sequence: math.MaxUint64},
		&membershippb.Leaf{Id: "h", Service: "s", Address: "10.0.0.3:80", State: uint32(leaves.Ready), BornMs: 5, Slots: math.MaxUint32},
		&membershippb.Leaf{Id: "i", Service: "s", Address: "10.0.0.4:80", State: uint32(leaves.Ready), BornMs: 5, WarmUpLeftMs: math.MaxInt64},
	)})
	require.Equal(t, []string{"a", "i"}, m.listedIDs())
	require.LessOrEqual(t, m.index.Services["s"][1].WarmUpLeft, time.Hour)
}

// Guards against an incarnation that is listed again after it has replied that it is leaving, when the VM takes the leaves from
// another control VM; and against markers that are kept for ever.
func TestLeavingLeafStaysOut(t *testing.T) {
	m := newModule()
	m.leaving = map[leaves.Key]time.Time{}
	parsed, err := settings.Parse("test.ini", []byte("[vm]\ncluster = c\nname = 10.0.0.1\navailability_zone = z\ntraffic = routes\n"), kernel.SettingsKeys())
	require.NoError(t, err)
	m.settings = parsed
	list := []*membershippb.Leaf{listedLeaf("i", "10.0.0.1:80", 5), listedLeaf("j", "10.0.0.2:80", 5)}
	m.applyUpdate(start, updateEvent{"a", answerWith(t, list...)})
	require.Equal(t, []string{"i", "j"}, m.listedIDs())
	key := m.index.Services["s"][0].Key()
	for range 2 {
		m.HandleEvent(start, leavingEvent{key})
		require.Equal(t, []string{"j"}, m.listedIDs())
	}
	m.applyUpdate(start, updateEvent{"c", answerWith(t, list...)})
	require.Equal(t, []string{"j"}, m.listedIDs(), "another control VM lists it as ready")
	m.applyUpdate(start, updateEvent{"a", answerWith(t, list[1])})
	later := start.Add(time.Hour)
	m.pruneLeaving(later)
	require.NotEmpty(t, m.leaving, "it is still listed")
	m.applyUpdate(later, updateEvent{"c", answerWith(t, list[1])})
	m.pruneLeaving(later.Add(9 * time.Minute))
	require.NotEmpty(t, m.leaving)
	m.pruneLeaving(later.Add(11 * time.Minute))
	require.Empty(t, m.leaving)
}

// lineCounter counts log lines by message.
type lineCounter map[string]int

func (c lineCounter) Log(fields ...any) error {
	for i := 0; i+1 < len(fields); i += 2 {
		if text, ok := fields[i+1].(string); ok && fields[i] == "msg" {
			c[text]++
		}
	}
	return nil
}

// Guards against a log line for each control VM that lists the same leaf, and against changes without a line.
func TestEachChangeOfALeafIsLoggedOnce(t *testing.T) {
	m := newModule()
	lines := lineCounter{}
	m.logger = lines
	apply := func(from string, l *membershippb.Leaf) {
		m.applyUpdate(start, updateEvent{model.VMName(from), answerWith(t, l)})
	}
	for _, from := range []string{"a", "b", "c"} {
		apply(from, listedLeaf("i", "10.0.0.1:80", 5))
	}
	require.Equal(t, 1, lines["leaf changed"])
	renewed := listedLeaf("i", "10.0.0.1:80", 5)
	renewed.Sequence, renewed.Origin = 8, "c"
	apply("a", renewed)
	require.Equal(t, 1, lines["leaf changed"], "a renewal changes nothing")
	renewed.State = uint32(leaves.Draining)
	for _, from := range []string{"b", "a", "c"} {
		apply(from, renewed)
	}
	require.Equal(t, 2, lines["leaf changed"])
	for _, from := range []string{"a", "b", "c"} {
		m.applyUpdate(start, updateEvent{model.VMName(from), answerWith(t)})
	}
	require.Equal(t, 1, lines["leaf is no longer listed"])
}
