package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// withChange sends orders, then a configuration in which one value has changed, then orders again.
func withChange(c *caseRun, from, to string, judge func(s *system, cl *client, leaves []*leaf) []string) ([]string, error) {
	s, err := newSystem(c.rec, c.root, 2)
	if err != nil {
		return nil, err
	}
	c.system = s
	if err := s.start(ordersConfig); err != nil {
		return nil, fmt.Errorf("no control node acknowledged the configuration: %w", err)
	}
	var leaves []*leaf
	for i := range 2 {
		l, err := startLeaf(s, fmt.Sprintf("i-orders-%d", i), "orders", zones[i], fmt.Sprintf("%s.%d:0", s.prefix, 31+i), i)
		if err != nil {
			return nil, err
		}
		defer l.end()
		leaves = append(leaves, l)
		go l.beat()
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	cl := newClient(c.rec, "dairy.example")
	if breaks := judge(s, cl, leaves); len(breaks) > 0 {
		return nil, fmt.Errorf("the rule was broken before the change: %s", breaks[0])
	}
	changed := strings.Replace(ordersConfig, `"version":3`, `"version":8`, 1)
	if c.trouble {
		changed = strings.Replace(changed, from, to, 1)
		c.rec.logf("disruption: the configuration changes %s to %s", from, to)
	}
	if err := s.putConfig(changed, 10*time.Second); err != nil {
		return nil, fmt.Errorf("no control node acknowledged the change: %w", err)
	}
	time.Sleep(3 * time.Second)
	return judge(s, cl, leaves), nil
}

// largeBodies sets no limit for the bodies of requests.
func largeBodies(c *caseRun) ([]string, error) {
	return withChange(c, `"maxBodyBytes":262144`, `"maxBodyBytes":9223372036854775807`, func(s *system, cl *client, leaves []*leaf) (breaks []string) {
		for i := range 20 {
			a := cl.request(s.entry[i%2], http.MethodPost, fmt.Sprintf("/orders/%d", i), "butter, 40 kg", 3*time.Second)
			for _, l := range leaves {
				for _, r := range l.runsSince(a.sent) {
					if r.id == a.id && r.body != "butter, 40 kg" {
						breaks = append(breaks, fmt.Sprintf("UNASKED: leaf %s ran attempt %s with the body %q; the client sent %q and got status %d", l.id, a.id, r.body, "butter, 40 kg", a.status))
					}
				}
			}
		}
		return breaks
	})
}

// manyAttempts sets no limit for the attempts at leaves.
func manyAttempts(c *caseRun) ([]string, error) {
	return withChange(c, `"maxAttempts":2`, `"maxAttempts":2147483647`, func(s *system, cl *client, _ []*leaf) (breaks []string) {
		for i := range 20 {
			n := s.entry[i%2]
			a := cl.request(n, http.MethodPost, fmt.Sprintf("/orders/%d", i), "butter", 3*time.Second)
			select {
			case <-n.ended:
				breaks = append(breaks, fmt.Sprintf("Fault: the process of entry node %s has ended by itself during attempt %s, which got status %d, error %v", n.ip, a.id, a.status, a.err))
				_ = n.start(false)
				time.Sleep(1500 * time.Millisecond)
			default:
			}
		}
		return breaks
	})
}
