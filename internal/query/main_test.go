package query

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets the seed of the property tests, so that each run gives the same result, and the number of checks:
// with the default of 100, the tests often missed that a rule was removed from the state machines.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}
