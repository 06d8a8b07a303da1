package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() {
	scenarios["replaced-then-wiped"] = replacedThenWiped
	scenarios["lost-at-first-start"] = lostAtFirstStart
}

const emptyConfig = `{"version":%d,"routes":[],"services":[{"name":"a","healthPath":"/health","maxConnections":31}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// readTimeout is longer than the program takes to answer that it can't be sure.
const readTimeout = 4 * time.Second

// gapAfterRemoval is the time from the end of the removed machine's process to the loss of the next one. GAP_MS sets another one for
// trials.
func gapAfterRemoval() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("GAP_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 2 * time.Second
}

// replacedThenWiped replaces a core machine as planned work: the new one first, and SIGTERM for the old one once the new one
// has had catchUpS. After that, one other core machine loses its disk and comes back empty.
func replacedThenWiped(d *deployment, trouble bool) (bool, error) {
	var core []*machine
	var seeds []string
	for i, zone := range zoneNames {
		m := d.add(fmt.Sprintf("core-%d", i+1), "core", zone)
		core, seeds = append(core, m), append(seeds, m.control())
	}
	for _, m := range core {
		if err := m.start(seeds, true); err != nil {
			return false, err
		}
	}
	if !d.publish(fmt.Sprintf(emptyConfig, 10), core, 15*time.Second) {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(settleWindow)
	successor := d.add("core-4", "core", zoneNames[1])
	members := []*machine{core[0], core[2], successor}
	gap, removed := gapAfterRemoval(), time.Now()
	if trouble {
		if err := successor.start(seeds, false); err != nil {
			return false, err
		}
		time.Sleep(catchUp + time.Second)
		d.record("the successor of core-2 has had catchUpS and 1 s more; core-2 is removed for good")
		core[1].stop()
		removed = time.Now()
	} else {
		members = core
		time.Sleep(catchUp + time.Second)
	}
	last := fmt.Sprintf(emptyConfig, 20)
	if !d.publish(last, members, 10*time.Second) {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	if trouble {
		time.Sleep(gap - time.Since(removed))
		d.record("core-3 is lost, the only one, %.1f s after core-2 has ended; its disk does not come back with it", time.Since(removed).Seconds())
		core[2].kill()
		if err := core[2].wipe(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if err := core[2].start(seeds, false); err != nil {
			return false, err
		}
	}
	// The operator reads the configuration back, and sends another change.
	wait := recovery + settleWindow + 14*time.Second
	d.record("the operator reads the configuration back for up to %v", wait)
	statuses := map[string]int{}
	read := eventually(wait, func() bool {
		for _, m := range members {
			status, answer := callWithin(readTimeout, http.MethodGet, m.control(), "/-/config", nil)
			statuses[fmt.Sprintf("%s %d", m.name, status)]++
			if status == http.StatusOK {
				d.record("%s answers the read with %.30s...", m.name, answer)
				if strings.TrimSpace(string(answer)) != last {
					d.record("that is not the newest acknowledged configuration")
					return false
				}
				return true
			}
		}
		return false
	})
	d.record("answers to the reads: %v", statuses)
	changed := d.publish(fmt.Sprintf(emptyConfig, 30), members, 5*time.Second)
	d.record("read back: %v, another change acknowledged: %v", read, changed)
	return !read, nil
}

// lostAtFirstStart starts the whole system for the first time. One core machine is lost for good right after its start, and an empty
// one takes its place at another address.
func lostAtFirstStart(d *deployment, trouble bool) (bool, error) {
	var core []*machine
	var seeds []string
	for i, zone := range zoneNames {
		m := d.add(fmt.Sprintf("core-%d", i+1), "core", zone)
		core, seeds = append(core, m), append(seeds, m.control())
	}
	for _, m := range core {
		if err := m.start(seeds, true); err != nil {
			return false, err
		}
	}
	members := core
	if trouble {
		time.Sleep(lossAfterStart())
		d.record("core-3 is lost for good, the only one; its successor comes 1 s later")
		core[2].kill()
		time.Sleep(time.Second)
		successor := d.add("core-4", "core", zoneNames[2])
		if err := successor.start(seeds, false); err != nil {
			return false, err
		}
		members = []*machine{core[0], core[1], successor}
	}
	wait := catchUp + recovery + settleWindow + 20*time.Second
	d.record("the operator sends the first configuration again and again for up to %v", wait)
	taken := d.publish(fmt.Sprintf(emptyConfig, 10), members, wait)
	for _, m := range members {
		status, answer := callWithin(readTimeout, http.MethodGet, m.control(), "/-/config", nil)
		d.record("%s answers a read of the configuration with %d %.200s", m.name, status, answer)
	}
	return !taken, nil
}

// lossAfterStart is the time from the first start to the loss. GAP_MS sets another one for trials.
func lossAfterStart() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("GAP_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 30 * time.Millisecond
}
