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

// callers is the name of the one node that represents all callers.
const callers = "callers"

// mesh connects the nodes of a scenario. Each pair of nodes has its own proxy, so that any set of nodes can be cut off
// from any other.
type mesh struct {
	server *toxiproxy.ApiServer
	ip     string

	mu       sync.Mutex
	links    map[linkKey]*toxiproxy.Proxy
	cuts     []cut
	nodes    map[string]string // names of nodes by IP address
	gateways []net.Listener
	flows    map[*flow]bool
}

// linkKey identifies the connections from one node to an address of another.
type linkKey struct{ from, to, upstream string }

// cut separates two sets of nodes. A blackhole drops data and leaves connections open; any other cut closes connections.
type cut struct {
	a, b      map[string]bool
	blackhole bool
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

func (m *mesh) recordNode(ip, node string) {
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
	return listen, m.applyCutsToLink(k, p)
}

// gateway returns an address through which every node reaches an address of one node. It identifies the connecting node
// by its IP address.
func (m *mesh) gateway(to, upstream string) (string, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	m.gateways = append(m.gateways, l)
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

// forward forwards one connection of a gateway to its target. It does not use a proxy of the library, because such a proxy
// closes both directions when one has ended: a VM would see the end of a connection that the target still counts.
func (m *mesh) forward(c net.Conn, to, upstream string) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	u, err := net.Dial("tcp", upstream)
	if err != nil {
		resetConn(c)
		return
	}
	m.mu.Lock()
	f := &flow{key: linkKey{m.nodes[host], to, upstream}, ends: [2]net.Conn{c, u}}
	m.flows[f] = true
	m.applyCutsToFlow(f)
	m.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { f.relay(u, c) })
	directions.Go(func() { f.relay(c, u) })
	directions.Wait()
	f.close()
	m.mu.Lock()
	delete(m.flows, f)
	m.mu.Unlock()
}

// flow is one connection through a gateway.
type flow struct {
	key  linkKey
	ends [2]net.Conn
	// blackhole reports whether data is dropped while the connection stays open.
	blackhole atomic.Bool
}

// relay copies the data of one direction until the source closes it, and then closes it at the destination too.
func (f *flow) relay(dst, src net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 && !f.blackhole.Load() {
			if _, err := dst.Write(b[:n]); err != nil {
				f.close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.(*net.TCPConn).CloseWrite() // It fails if dst has ended, and then the other direction ends too.
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

// applyCutsToFlow applies the current cuts to one connection of a gateway. The caller holds the lock.
func (m *mesh) applyCutsToFlow(f *flow) {
	blackhole, severed := m.cutKinds(f.key)
	f.blackhole.Store(blackhole)
	if severed {
		f.close()
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut separates two sets of nodes, on current and on later links.
func (m *mesh) cut(a, b map[string]bool, blackhole bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts = append(m.cuts, cut{a, b, blackhole})
	return m.applyAllCuts()
}

// heal removes all cuts.
func (m *mesh) heal() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts = nil
	return m.applyAllCuts()
}

// applyAllCuts applies the current cuts to all links and connections. The caller holds the lock.
func (m *mesh) applyAllCuts() error {
	for f := range m.flows {
		m.applyCutsToFlow(f)
	}
	for k, p := range m.links {
		if err := m.applyCutsToLink(k, p); err != nil {
			return err
		}
	}
	return nil
}

// cutKinds returns which kinds of cuts apply to a link. The caller holds the lock.
func (m *mesh) cutKinds(k linkKey) (blackhole, severed bool) {
	for _, c := range m.cuts {
		if c.covers(k) {
			blackhole, severed = blackhole || c.blackhole, severed || !c.blackhole
		}
	}
	return blackhole, severed
}

// applyCutsToLink applies the current cuts to one link. The caller holds the lock.
func (m *mesh) applyCutsToLink(k linkKey, p *toxiproxy.Proxy) error {
	blackhole, severed := m.cutKinds(k)
	for _, stream := range []string{"upstream", "downstream"} {
		name := "blackhole_" + stream
		active := p.Toxics.GetToxic(name) != nil
		if blackhole && !active {
			spec := fmt.Sprintf(`{"name": %q, "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`, name, stream)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
				return err
			}
		}
		if !blackhole && active {
			if err := p.Toxics.RemoveToxic(context.Background(), name); err != nil {
				return err
			}
		}
	}
	return p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: p.Upstream, Enabled: !severed})
}

// close stops all proxies and gateways.
func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.gateways {
		_ = g.Close()
	}
	for _, p := range m.links {
		p.Stop()
	}
	for f := range m.flows {
		f.close()
	}
}
