package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that reached a leaf and that the leaf began to work on.
type run struct {
	id, method, path, body string
	at                     time.Time
}

// leaf is a stand-in leaf. It answers requests that name it, sends heartbeats to the control node that acknowledged the
// last one, and to the next one where a call fails.
type leaf struct {
	rec                       *recorder
	system                    *system
	id, service, zone, listen string
	// address is the one that heartbeats name.
	address string
	born    int64
	link    *leafLink
	server  *http.Server
	work    time.Duration
	// spoil answers a request in place of the leaf if it returns true.
	spoil func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	home     int
	leaving  bool
	quit     chan struct{}
	runs     []run
}

func startLeaf(s *system, id, service, zone, listen string, home int) (*leaf, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &leaf{
		rec: s.rec, system: s, id: id, service: service, zone: zone, listen: ln.Addr().String(), born: time.Now().UnixMilli(), home: home,
		quit: make(chan struct{}), work: 5 * time.Millisecond,
	}
	l.address = l.listen
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// ServeHTTP answers a request of an entry node.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.mu.Lock()
	leaving, spoil := l.leaving, l.spoil
	l.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", l.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.Header.Get("Expect-Instance") != l.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	l.runs = append(l.runs, run{id, r.Method, r.RequestURI, string(body), time.Now()})
	l.mu.Unlock()
	l.rec.logf("leaf %s: runs %s %s, attempt %s, deadline %s ms, leaving %v", l.id, r.Method, r.RequestURI, id, r.Header.Get("Deadline-Ms"), leaving)
	if spoil != nil && spoil(w, r) {
		return
	}
	time.Sleep(l.work)
	w.Header().Set("Server-Stamp", l.stamp(id))
	_, _ = io.WriteString(w, l.content(id))
}

func (l *leaf) stamp(id string) string { return l.id + "." + id }

// content returns the body of the answer to a request: two records of 16 bytes.
func (l *leaf) content(id string) string {
	return fmt.Sprintf("%-16.16s%-16.16s", l.id, id)
}

func (l *leaf) runsSince(t time.Time) (out []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// beat sends heartbeats until the leaf leaves or ends.
func (l *leaf) beat() {
	for {
		l.mu.Lock()
		leaving := l.leaving
		if !leaving {
			l.sequence++
		}
		body := toJSON(map[string]any{
			"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "concurrencyLimit": 8, "state": "ready",
			"warmupLeftMs": 0, "sequence": l.sequence, "born": l.born,
		})
		l.mu.Unlock()
		if leaving {
			return
		}
		l.callControl(http.MethodPut, body, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.leaving })
		select {
		case <-l.quit:
			return
		case <-time.After(beatInterval):
		}
	}
}

// callControl calls the control node that answered the last call, and then the next ones until one acknowledges or givenUp
// reports true. It returns the node and the time of the acknowledgement.
func (l *leaf) callControl(method string, body []byte, givenUp func() bool) (*node, time.Time) {
	l.mu.Lock()
	first := l.home
	l.mu.Unlock()
	for i := first; !givenUp(); i++ {
		k := i % len(l.system.control)
		n := l.system.control[k]
		status, err := l.callNode(n, method, body)
		l.rec.logf("leaf %s: %s to control node %s: status %d, error %v; sent %s", l.id, method, n.ip, status, err != nil, strings.TrimSpace(string(body)))
		if status >= 200 && status < 300 {
			l.mu.Lock()
			l.home = k
			l.mu.Unlock()
			return n, time.Now()
		}
		if status >= 400 && status < 500 {
			return nil, time.Time{}
		}
		select {
		case <-l.quit:
			return nil, time.Time{}
		default:
		}
	}
	return nil, time.Time{}
}

func (l *leaf) callNode(n *node, method string, body []byte) (int, error) {
	address := n.ip + ":" + portControl
	if l.link != nil {
		address = l.link.toControl[n]
	}
	status, _, err := call(method, "http://"+address+"/-/instances/"+l.id, body, answerTime)
	return status, err
}

// leave lets the leaf deregister without reporting that it drains, and returns when that was acknowledged.
func (l *leaf) leave() (*node, time.Time) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.callControl(http.MethodDelete, toJSON(map[string]any{"born": l.born}), func() bool { return false })
}

func (l *leaf) end() {
	select {
	case <-l.quit:
	default:
		close(l.quit)
	}
	_ = l.server.Close()
}

// leafLink is the network between a leaf and all nodes. While it is cut, it passes nothing on and connections that are
// opened do not reach the other side.
type leafLink struct {
	mu        sync.Mutex
	healed    *sync.Cond
	cut       bool
	toControl map[*node]string
	listeners []net.Listener
}

// newLeafLink places proxies before the leaf and, for its calls, before the control nodes.
func newLeafLink(l *leaf, ip string) (*leafLink, error) {
	k := &leafLink{toControl: map[*node]string{}}
	k.healed = sync.NewCond(&k.mu)
	address, err := k.proxy(ip, l.listen)
	if err != nil {
		return nil, err
	}
	l.address, l.link = address, k
	for _, n := range l.system.control {
		if k.toControl[n], err = k.proxy(ip, n.ip+":"+portControl); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func (k *leafLink) setCut(cut bool) {
	k.mu.Lock()
	k.cut = cut
	k.mu.Unlock()
	k.healed.Broadcast()
}

// pass waits until the network is whole.
func (k *leafLink) pass() {
	k.mu.Lock()
	for k.cut {
		k.healed.Wait()
	}
	k.mu.Unlock()
}

func (k *leafLink) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

func (k *leafLink) proxy(ip, upstream string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	k.listeners = append(k.listeners, ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.serve(c, upstream)
		}
	}()
	return ln.Addr().String(), nil
}

func (k *leafLink) serve(c net.Conn, upstream string) {
	defer c.Close()
	if k.isCut() {
		// The opening packet is lost. The one who sent it gives up.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	u, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	defer u.Close()
	done := make(chan struct{})
	copyTo := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			k.pass()
			if n > 0 {
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = dst.Close()
		_ = src.Close()
		done <- struct{}{}
	}
	go copyTo(u, c)
	go copyTo(c, u)
	<-done
	<-done
}

func (k *leafLink) close() {
	for _, ln := range k.listeners {
		_ = ln.Close()
	}
	k.setCut(false)
}
