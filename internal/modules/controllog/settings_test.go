package controllog

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// deployedOptions returns the options of the deploy file that bear on a replacement.
func deployedOptions(t *testing.T) options {
	text, err := os.ReadFile("../../../deploy/control.ini")
	require.NoError(t, err)
	o := options{heartbeatTicks: 2, maxVoters: 3, retry: 500 * time.Millisecond, segmentBytes: 1 << 30, maxMessage: 1 << 18}
	durations := map[string]*time.Duration{"tick = %s": &o.tick, "replace_after = %s": &o.replaceAfter}
	for line := range strings.Lines(string(text)) {
		_, _ = fmt.Sscanf(line, "election_ticks = %d", &o.electionTicks) // It leaves the value as it is for other lines.
		for format, d := range durations {
			var value string
			if n, _ := fmt.Sscanf(line, format, &value); n == 1 {
				*d, err = time.ParseDuration(value)
				require.NoError(t, err)
			}
		}
	}
	require.Positive(t, o.electionTicks)
	require.Positive(t, o.replaceAfter)
	return o
}

// Guards against settings with which a lost voter still counts when the next loss may come, and against an error that does not name the
// settings to change.
func TestReplacementFitsIntoItsTime(t *testing.T) {
	deployed := deployedOptions(t)
	deployed.replaceWithin = 4 * time.Second
	require.NoError(t, deployed.check())
	for name, c := range map[string]struct {
		change  func(*options)
		setting string
	}{
		"late replacement":     {func(o *options) { o.replaceAfter = 3600 * time.Millisecond }, "replace_after"},
		"long elections":       {func(o *options) { o.electionTicks = 40 }, "election_ticks"},
		"little time":          {func(o *options) { o.replaceWithin = 2 * time.Second }, "replace_after"},
		"three losses at once": {func(o *options) { o.maxVoters, o.replaceWithin = 7, 3*time.Second }, "replace_after"},
	} {
		o := deployed
		c.change(&o)
		err := o.check()
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
		require.Contains(t, err.Error(), "[control] "+c.setting, name)
		require.Contains(t, err.Error(), "replace_within", name)
		o.replaceWithin = 0
		require.NoError(t, o.check(), "%s: without a limit nothing is checked", name)
	}
}
