package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// leaf is a stand-in for a leaf. It sends heartbeats and answers requests as the pages of the platform say.
type leaf struct {
	d           *deployment
	id, service string
	zone        string
	address     string
	born        int64
	server      *http.Server
	stop        chan struct{}
	stopOnce    sync.Once
	// answer, unless it is nil, answers a request that the leaf has run in place of the ordinary answer, and reports whether it did.
	answer func(l *leaf, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	runs     map[string]int
}

// startLeaf starts a leaf that sends heartbeats to the control addresses.
func (d *deployment) startLeaf(id, service, zone string, controls []*machine, answer func(*leaf, http.ResponseWriter, *http.Request) bool) (*leaf, error) {
	n, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.prefix, 100+len(d.leafs)))
	if err != nil {
		return nil, err
	}
	l := &leaf{d: d, id: id, service: service, zone: zone, address: n.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}), answer: answer, runs: map[string]int{}}
	l.server = &http.Server{Handler: l}
	d.leafs = append(d.leafs, l)
	go l.server.Serve(n)
	go l.sendHeartbeats(controls)
	d.record("leaf %s of service %s starts at %s", id, service, l.address)
	return l, nil
}

func (l *leaf) close() {
	l.stopOnce.Do(func() {
		close(l.stop)
		l.server.Close()
	})
}

func (l *leaf) sendHeartbeats(controls []*machine) {
	for at := 0; ; {
		l.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "concurrencyLimit": 4, "state": "ready",
			"warmupLeftMs": 0, "sequence": l.sequence, "born": l.born,
		})
		for range controls {
			if status, _ := call(http.MethodPut, controls[at%len(controls)].control(), "/-/instances/"+l.id, body); status == http.StatusOK {
				break
			}
			at++
		}
		select {
		case <-l.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", l.id)
		return
	}
	if r.Header.Get("Expect-Instance") != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	l.runs[id]++
	n := l.runs[id]
	l.mu.Unlock()
	l.d.record("leaf %s runs %s %s, attempt %s, run %d", l.id, r.Method, r.URL.Path, id, n)
	if l.answer != nil && l.answer(l, w, r) {
		return
	}
	w.Header().Set("Server-Stamp", l.stamp(r))
	fmt.Fprintf(w, "answer of %s to %s\n", l.id, id)
}

// stamp returns the signature of the answer to a request.
func (l *leaf) stamp(r *http.Request) string {
	return "stamp." + l.id + "." + r.Header.Get("Attempt-Id")
}

// runs returns how often all leafs together have run an attempt.
func (d *deployment) runs(id string) (n int) {
	for _, l := range d.leafs {
		l.mu.Lock()
		n += l.runs[id]
		l.mu.Unlock()
	}
	return n
}
