package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// callers is the name of the node that all callers share.
const callers = "callers"

// mesh connects the nodes of a scenario. Each pair of nodes has its own proxy, so that any set of nodes can be cut off
// from any other.
type mesh struct {
	server *toxiproxy.ApiServer
	ip     string

	mu    sync.Mutex
	links map[linkKey]*toxiproxy.Proxy
	cuts  []cut
	nodes map[string]string // IP address to name of node
	gates []net.Listener
	flows map[*flow]bool
}

// linkKey names a direction of connections and where they lead.
type linkKey struct{ from, to, upstream string }

// cut separates two sets of nodes. A silent one drops data and leaves connections open.
type cut struct {
	a, b   map[string]bool
	silent bool
}

func (c cut) covers(k linkKey) bool {
	return c.a[k.from] && c.b[k.to] || c.b[k.from] && c.a[k.to]
}

func newMesh(ip string) *mesh {
	return &mesh{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		ip:     ip, links: map[linkKey]*toxiproxy.Proxy{}, nodes: map[string]string{}, flows: map[*flow]bool{},
	}
}

// name records which node connects from an IP address.
func (m *mesh) name(ip, node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[ip] = node
}

// link returns the address through which one node reaches an address of another.
func (m *mesh) link(from, to, upstream string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := linkKey{from, to, upstream}
	if p, ok := m.links[k]; ok {
		return p.Listen, nil
	}
	p := toxiproxy.NewProxy(m.server, from+"-"+to, m.ip+":0", upstream)
	if err := p.Start(); err != nil {
		return "", err
	}
	m.links[k] = p
	listen := p.Listen
	return listen, m.applyCuts(k, p)
}

// gate returns an address through which every node reaches an address of one node. It tells the nodes apart by the
// address that they connect from.
func (m *mesh) gate(to, upstream string) (string, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	m.gates = append(m.gates, l)
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.forward(c, to, upstream)
		}
	}()
	return l.Addr().String(), nil
}

// forward passes one connection on. It is no proxy of the library, because those close both directions when one has ended,
// so that a VM would see the end of a connection that the target still counts.
func (m *mesh) forward(c net.Conn, to, upstream string) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	u, err := net.Dial("tcp", upstream)
	if err != nil {
		reset(c)
		return
	}
	m.mu.Lock()
	f := &flow{key: linkKey{m.nodes[host], to, upstream}, ends: [2]net.Conn{c, u}}
	m.flows[f] = true
	m.cutFlow(f)
	m.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { f.pass(u, c) })
	both.Go(func() { f.pass(c, u) })
	both.Wait()
	f.close()
	m.mu.Lock()
	delete(m.flows, f)
	m.mu.Unlock()
}

// flow is one connection through a gate.
type flow struct {
	key  linkKey
	ends [2]net.Conn
	// silent says that data is dropped.
	silent atomic.Bool
}

// pass copies one direction, and then its end.
func (f *flow) pass(dst, src net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 && !f.silent.Load() {
			if _, err := dst.Write(b[:n]); err != nil {
				f.close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.(*net.TCPConn).CloseWrite() // The other direction shows a connection that has ended.
			return
		}
		if err != nil {
			f.close()
			return
		}
	}
}

func (f *flow) close() {
	for _, c := range f.ends {
		_ = c.Close()
	}
}

// cutFlow brings one connection in line with the cuts. The lock is held.
func (m *mesh) cutFlow(f *flow) {
	silent, hard := m.covering(f.key)
	f.silent.Store(silent)
	if hard {
		f.close()
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut separates two sets of nodes, on existing and on new links.
func (m *mesh) cut(a, b map[string]bool, silent bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts = append(m.cuts, cut{a, b, silent})
	return m.applyAll()
}

// heal removes all cuts.
func (m *mesh) heal() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts = nil
	return m.applyAll()
}

// applyAll brings all links and connections in line with the cuts. The lock is held.
func (m *mesh) applyAll() error {
	for f := range m.flows {
		m.cutFlow(f)
	}
	for k, p := range m.links {
		if err := m.applyCuts(k, p); err != nil {
			return err
		}
	}
	return nil
}

// covering returns which kinds of cuts lie on a link. The lock is held.
func (m *mesh) covering(k linkKey) (silent, hard bool) {
	for _, c := range m.cuts {
		if c.covers(k) {
			silent, hard = silent || c.silent, hard || !c.silent
		}
	}
	return silent, hard
}

// applyCuts brings one link in line with the cuts. The lock is held.
func (m *mesh) applyCuts(k linkKey, p *toxiproxy.Proxy) error {
	silent, hard := m.covering(k)
	for _, stream := range []string{"upstream", "downstream"} {
		name := "silence_" + stream
		present := p.Toxics.GetToxic(name) != nil
		if silent && !present {
			spec := fmt.Sprintf(`{"name": %q, "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`, name, stream)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
				return err
			}
		}
		if !silent && present {
			if err := p.Toxics.RemoveToxic(context.Background(), name); err != nil {
				return err
			}
		}
	}
	return p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: p.Upstream, Enabled: !hard})
}

// close stops all proxies and gates.
func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.gates {
		_ = g.Close()
	}
	for _, p := range m.links {
		p.Stop()
	}
	for f := range m.flows {
		f.close()
	}
}
