package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const ordersConfig = `{"version":3,"routes":[{"name":"orders","host":"dairy.example","pathPrefix":"/orders/","type":"unsafe","timeoutMs":4000,"targetLatencyMs":600,"priority":1,"service":"orders","maxAttempts":2}],
"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// ordersUnder sends orders through a system of eight leaves, the first of which answers one request in so many with spoil. check
// judges each answer.
func ordersUnder(c *caseRun, every int, spoil func(l *leaf, w http.ResponseWriter, id string), check func(a answer, ran int) string) ([]string, error) {
	s, err := newSystem(c.rec, c.root, 2)
	if err != nil {
		return nil, err
	}
	c.system = s
	if err := s.start(ordersConfig); err != nil {
		return nil, fmt.Errorf("no control node acknowledged the configuration: %w", err)
	}
	var leaves []*leaf
	for i := range 8 {
		l, err := startLeaf(s, fmt.Sprintf("i-orders-%d", i), "orders", zones[i%3], fmt.Sprintf("%s.%d:0", s.prefix, 31+i), i%3)
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
	faulty := leaves[0]
	if c.trouble {
		count := 0
		faulty.mu.Lock()
		faulty.spoil = func(w http.ResponseWriter, r *http.Request) bool {
			faulty.mu.Lock()
			count++
			hit := count%every == 0
			faulty.mu.Unlock()
			if hit {
				id := r.Header.Get("Attempt-Id")
				c.rec.logf("disruption: leaf %s has run attempt %s and spoils the answer", faulty.id, id)
				spoil(faulty, w, id)
			}
			return hit
		}
		faulty.mu.Unlock()
	}
	var mu sync.Mutex
	var breaks []string
	var wg sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for k := range 4 {
		wg.Go(func() {
			cl := newClient(c.rec, "dairy.example")
			for i := 0; time.Now().Before(end); i++ {
				a := cl.request(s.entry[k%len(s.entry)], "POST", fmt.Sprintf("/orders/%d-%d", k, i), "butter", 3*time.Second)
				ran := 0
				for _, l := range leaves {
					for _, r := range l.runsSince(a.sent) {
						if r.id == a.id {
							ran++
						}
					}
				}
				if b := check(a, ran); b != "" {
					mu.Lock()
					breaks = append(breaks, b)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return breaks, nil
}

// unstamped lets a leaf spoil the name of the header with its signature.
func unstamped(c *caseRun) ([]string, error) {
	return ordersUnder(c, 25, func(l *leaf, w http.ResponseWriter, id string) {
		w.Header().Set("Server-Stamq", l.stamp(id))
		_, _ = io.WriteString(w, l.content(id))
	}, func(a answer, ran int) string {
		if a.status < 200 || a.status > 299 || a.header.Get("Server-Stamp") != "" {
			return ""
		}
		return fmt.Sprintf("MIXED: the client got status %d without a Server-Stamp for attempt %s, which ran %d times", a.status, a.id, ran)
	})
}
