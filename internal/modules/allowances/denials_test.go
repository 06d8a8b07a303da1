package allowances

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against a log that many customers far above their limits flood: 40 customers with 25 denials in each 10 ms write 10 lines a second.
func TestDenialsWriteABoundedNumberOfLines(t *testing.T) {
	var lines bytes.Buffer
	now := time.Unix(1000, 0)
	m := &Module{logger: log.NewLogfmtLogger(&lines), owner: allowance.NewOwner(now, "az-0", []model.AvailabilityZone{"az-0"}, rand.New(rand.NewPCG(1, 1)))}
	for range 300 { // 3 s.
		now = now.Add(10 * time.Millisecond)
		var out allowance.Effects
		for i := range 1000 {
			key := allowance.Key{Kind: allowance.KindCustomer, Name: fmt.Sprintf("c-%d", i%40)}
			m.owner.Ask(now, allowance.Ask{ID: uint64(i), Key: key, Limit: allowance.Limit{Rate: 0.001, Version: 1}, N: 1}, false, &out)
		}
		m.owner.Tick(now, &out)
		m.logDenials(m.denialsToLog(now))
	}
	require.LessOrEqual(t, strings.Count(lines.String(), "\n"), 4*maxDenialLines)
	require.GreaterOrEqual(t, strings.Count(lines.String(), "\n"), 2*maxDenialLines)
	require.Contains(t, lines.String(), "lines_left_out=30")
}
