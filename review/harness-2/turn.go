package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["replaced-in-turn"] = replacedInTurn }

const (
	// turnDeployments run at the same time, independently of each other, and turnReplacements is how many core machines are replaced
	// in each of them.
	turnDeployments  = 10
	turnReplacements = 18
	// turnMargin is how much longer than catchUpS a successor runs before the next machine is lost.
	turnMargin = 100 * time.Millisecond
)

// replacedInTurn loses the leading core machine of a small deployment for good, again and again. An empty one takes its place at another
// address at once, and the next one is lost only when that successor has had catchUpS.
func replacedInTurn(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	broken := make([]bool, turnDeployments)
	failures := make([]error, turnDeployments)
	for i := range turnDeployments {
		all.Go(func() {
			broken[i], failures[i] = replaceOneByOne(ctx, d, fmt.Sprintf("deployment %d: ", i+1), trouble)
			if broken[i] {
				cancel() // One is enough.
			}
		})
	}
	all.Wait()
	if slices.Contains(broken, true) {
		return true, nil
	}
	for _, err := range failures {
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

func replaceOneByOne(ctx context.Context, parent *deployment, label string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(parent.repository, label, parent.recorder)
	if err != nil {
		return false, err
	}
	defer d.close()
	var core []*machine
	for i, zone := range zoneNames {
		core = append(core, d.add(fmt.Sprintf("core-%d", i+1), "core", zone))
	}
	for _, m := range core {
		if err := m.start(controls(core), true); err != nil {
			return false, err
		}
	}
	if !d.publish(fmt.Sprintf(emptyConfig, 10), core, 15*time.Second) {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(settleWindow)
	last := ""
	for i := range turnReplacements {
		if ctx.Err() != nil {
			return false, nil
		}
		next := fmt.Sprintf(emptyConfig, 11+i)
		if !d.publish(next, core, 5*time.Second) {
			// All three machines have run for longer than catchUpS. The operator reads back what was acknowledged.
			return !d.readsBack(core, last, recovery+settleWindow), nil
		}
		last = next
		if trouble {
			if core, err = d.replaceLeader(core); err != nil {
				return false, err
			}
		}
		time.Sleep(catchUp + turnMargin)
	}
	return !d.readsBack(core, last, recovery+settleWindow), nil
}

// replaceLeader loses the leading machine for good and starts its successor at the next address. The successor gets the operator's list
// of before, which lags.
func (d *deployment) replaceLeader(core []*machine) ([]*machine, error) {
	lost := d.leader(core)
	seeds := controls(core)
	core[lost].kill()
	successor := d.add(fmt.Sprintf("core-%d", len(d.machines)+1), "core", core[lost].zone)
	d.record("%s is lost for good, %s takes its place", core[lost].name, successor.name)
	core = slices.Clone(core)
	core[lost] = successor
	return core, successor.start(seeds, false)
}

// leader returns the index of the machine that was elected last, by the logs, and 0 if none was.
func (d *deployment) leader(core []*machine) (leader int) {
	newest := ""
	for i, m := range core {
		log, err := os.ReadFile(filepath.Join(m.dir, "log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			if !strings.Contains(line, "elected leader") {
				continue
			}
			if _, at, ok := strings.Cut(line, "ts="); ok && at > newest {
				leader, newest = i, at
			}
		}
	}
	return leader
}

// readsBack reports whether a machine answers a read of the configuration with the newest acknowledged one within the limit.
func (d *deployment) readsBack(core []*machine, want string, limit time.Duration) bool {
	d.record("the operator reads the configuration back for up to %v", limit)
	counts := map[string]int{}
	var mu sync.Mutex
	ok := eventually(limit, func() bool {
		found := false
		var all sync.WaitGroup
		for _, m := range core {
			all.Go(func() {
				status, answer := callWithin(readTimeout, http.MethodGet, m.control(), "/-/config", nil)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("%s %d", m.name, status)]++
				found = found || status == http.StatusOK && strings.TrimSpace(string(answer)) == want
			})
		}
		all.Wait()
		return found
	})
	d.record("answers to the reads: %v, the newest acknowledged configuration among them: %v", counts, ok)
	return ok
}

// controls returns the control addresses of machines.
func controls(machines []*machine) (list []string) {
	for _, m := range machines {
		list = append(list, m.control())
	}
	return list
}
