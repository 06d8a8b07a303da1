package main

import (
	"fmt"
	"sync"
	"time"
)

const departureConfig = `{"version":3,"routes":[{"name":"status","host":"dairy.example","pathPrefix":"/status/","type":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"orders","maxAttempts":2}],
"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// departure cuts one leaf off for a second, which is when it deregisters: the control node that it calls does not answer,
// and the next one acknowledges. Later, requests come in again.
func departure(c *caseRun) ([]string, error) {
	s, err := newSystem(c.rec, c.root, 3)
	if err != nil {
		return nil, err
	}
	c.system = s
	if err := s.start(departureConfig); err != nil {
		return nil, fmt.Errorf("no control node acknowledged the configuration: %w", err)
	}
	var leaves []*leaf
	for i := range 6 {
		l, err := startLeaf(s, fmt.Sprintf("i-orders-%d", i), "orders", zones[i%3], fmt.Sprintf("%s.%d:0", s.prefix, 31+i), i%3)
		if err != nil {
			return nil, err
		}
		defer l.end()
		leaves = append(leaves, l)
	}
	leaving := leaves[1]
	link, err := newLeafLink(leaving, fmt.Sprintf("%s.%d", s.prefix, 41))
	if err != nil {
		return nil, err
	}
	defer link.close()
	for _, l := range leaves {
		go l.beat()
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	cl := newClient(c.rec, "dairy.example")
	traffic := func(d time.Duration) {
		var wg sync.WaitGroup
		for _, n := range s.entry {
			wg.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					cl.request(n, "GET", "/status/4711", "", 2*time.Second)
				}
			})
		}
		wg.Wait()
	}
	traffic(10 * time.Second)

	// The leaf is cut off, and deregisters.
	if c.trouble {
		c.rec.logf("disruption: leaf %s is cut off from all nodes", leaving.id)
		link.setCut(true)
		time.AfterFunc(900*time.Millisecond, func() {
			link.setCut(false)
			c.rec.logf("disruption: leaf %s is connected again", leaving.id)
		})
	}
	healed := time.Now().Add(900 * time.Millisecond)
	by, acked := leaving.leave()
	if by == nil {
		return nil, fmt.Errorf("no control node acknowledged that the leaf leaves")
	}
	c.rec.logf("control node %s has acknowledged that leaf %s is gone", by.ip, leaving.id)
	// Nobody asks for some seconds. The link between the leaf and the entry nodes was cut, so requests count only once it has
	// been whole for the settle window.
	from := acked.Add(drainTime)
	if t := healed.Add(settleWindow); t.After(from) {
		from = t
	}
	from = from.Add(100 * time.Millisecond)
	time.Sleep(time.Until(from))
	traffic(2500 * time.Millisecond)
	var breaks []string
	for _, r := range leaving.runsSince(from) {
		breaks = append(breaks, fmt.Sprintf("DRAIN: leaf %s ran attempt %s, which reached it %.2f s after control node %s had acknowledged that it is gone", leaving.id, r.id, r.at.Sub(acked).Seconds(), by.ip))
	}
	return breaks, nil
}
