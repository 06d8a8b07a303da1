package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["ran-and-503"] = ranAndRefused }

const routesConfig = `{"version":%d,"routes":[{"name":"order","host":"orders.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"desk","maxAttempts":2},` +
	`{"name":"look","host":"orders.example","pathPrefix":"/look/","type":"safe","timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"desk","maxAttempts":2}],` +
	`"services":[{"name":"desk","healthPath":"/health","maxConnections":31,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startSmall starts three core machines, one front machine and the leafs of one service, and waits until the front machine is ready.
func startSmall(d *deployment, leafs int, answer func(*leaf, http.ResponseWriter, *http.Request) bool) (front *machine, core []*machine, err error) {
	var seeds []string
	for i, zone := range zoneNames {
		m := d.add(fmt.Sprintf("core-%d", i+1), "core", zone)
		core, seeds = append(core, m), append(seeds, m.control())
	}
	front = d.add("front-1", "front", zoneNames[0])
	for _, m := range append(core[:3:3], front) {
		if err := m.start(seeds, true); err != nil {
			return nil, nil, err
		}
	}
	if !d.publish(fmt.Sprintf(routesConfig, 10), core, 15*time.Second) {
		return nil, nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	for i := range leafs {
		if _, err := d.startLeaf(fmt.Sprintf("i-%d", i+1), "desk", zoneNames[i%len(zoneNames)], core, answer); err != nil {
			return nil, nil, err
		}
	}
	ready := eventually(15*time.Second, func() bool {
		status, _ := call(http.MethodGet, front.ready(), "/-/ready", nil)
		return status == http.StatusOK
	})
	if !ready {
		return nil, nil, fmt.Errorf("the front machine is not ready")
	}
	time.Sleep(settleWindow)
	return front, core, nil
}

type reply struct {
	status int
	header http.Header
	body   string
}

// request sends one client attempt on a new connection. One without an answer has the status 0.
func (d *deployment) request(front *machine, method, path, id, body string) reply {
	req, err := http.NewRequest(method, "http://"+front.front()+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	req.Host = "orders.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "6000")
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.record("client: attempt %s ends without an answer: %v", id, err)
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.record("client: the answer to attempt %s is incomplete: %v", id, err)
		return reply{}
	}
	d.record("client: attempt %s gets %d, Server-Stamp %q, Retry-After %q, body %q", id, resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Retry-After"), data)
	return reply{resp.StatusCode, resp.Header, string(data)}
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

const (
	// greyShare is the share of its requests that a leaf in trouble fails, as in the entry srv_grey of the site file.
	greyShare = 0.45
	orders    = 100
)

// inTrouble decides evenly which requests of one leaf are affected.
type inTrouble struct {
	mu    sync.Mutex
	share float64
	sum   float64
}

func (t *inTrouble) next() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sum += t.share; t.sum < 1 {
		return false
	}
	t.sum--
	return true
}

// ranAndRefused lets one of three leafs run orders and fail a share of them afterwards with 503, without Not-Executed. The client sends an
// order again, once, and only after a promise that it has not run.
func ranAndRefused(d *deployment, trouble bool) (bool, error) {
	grey := inTrouble{share: greyShare}
	front, _, err := startSmall(d, 3, func(l *leaf, w http.ResponseWriter, r *http.Request) bool {
		if !trouble || l != d.leafs[0] || !grey.next() {
			return false
		}
		w.Header().Set("Server-Stamp", l.stamp(r))
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "the order was stored; its confirmation failed\n")
		return true
	})
	if err != nil {
		return false, err
	}
	refusedAndRan, doubled := 0, 0
	for i := range orders {
		total := 0
		for try := range 2 {
			id := fmt.Sprintf("%08x%08x", i+1, try+1)
			status := d.request(front, http.MethodPost, "/order/new", id, "one pallet of butter").status
			runs := d.runs(id)
			total += runs
			if !promises(status) {
				break
			}
			if runs > 0 {
				refusedAndRan++
			}
		}
		if total > 1 {
			doubled++
		}
	}
	d.record("%d orders: %d attempts were answered with a promise that they have not run, and have run; %d orders have run twice", orders, refusedAndRan, doubled)
	return refusedAndRan > 0, nil
}
