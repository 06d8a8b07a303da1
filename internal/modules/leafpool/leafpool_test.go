package leafpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/readlimit"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// lineProtocol sends the ID of a request as a line, and expects the same line as the reply.
type lineProtocol struct{}

func (lineProtocol) AppendRequest(dst []byte, req *forward.LeafRequest) []byte {
	return append(append(dst, req.ID...), '\n')
}

func (lineProtocol) ReadReply(r *bufio.Reader, req *forward.LeafRequest) (*forward.LeafReply, bool, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, false, err
	}
	if line = strings.TrimSpace(line); line != req.ID {
		return nil, false, errors.New("the reply of another request")
	}
	return &forward.LeafReply{Status: 200, Signature: "s", Body: []byte(line), Identified: true}, true, nil
}

// startLeaf starts a leaf that handles each connection with serve, and returns it with the number of its connections.
func startLeaf(t *testing.T, serve func(net.Conn, *bufio.Reader)) (*leaves.Member, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return &leaves.Member{Leaf: leaves.Leaf{ID: "i", Service: "s", Address: l.Addr().String()}}, &count
}

func echo(c net.Conn, r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(line)) // The other side detects a failure.
	}
}

func newModule(t *testing.T, l *leaves.Member, connections int) *Module {
	table, err := routes.Build(&routes.Table{Services: []routes.Service{{Name: "s", MaxConnections: connections}}})
	require.NoError(t, err)
	control := kernel.NewTestControl()
	control.SetTestView(&kernel.View{Routes: table, EntryVMs: 1, Leaves: &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"s": {l}}}})
	m := &Module{control: control, protocol: lineProtocol{}, logger: log.NewNopLogger(), now: time.Now, pools: map[leaves.Key]*pool{}, requestedAt: map[model.ServiceName]time.Time{}, recheck: make(chan struct{}, 1), metrics: newMetrics(tally.NoopScope), replyMemory: readlimit.ForVM(0, uncountedReplyBytes)}
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m
}

func send(m *Module, l *leaves.Member, id string) (chan forward.AttemptResult, func()) {
	done := make(chan forward.AttemptResult, 1)
	req := &forward.LeafRequest{Request: &forward.Request{ID: id}, Until: time.Now().Add(5 * time.Second), Repeatable: true}
	return done, m.Send(l, req, func(e forward.AttemptResult) { done <- e }).Cancel
}

// Guards against a new connection for each request, and against more connections than the VM's limit.
func TestConnectionsAreReusedAndLimited(t *testing.T) {
	l, count := startLeaf(t, echo)
	m := newModule(t, l, 3) // The VMs use 0.6 of the connections, which is two.
	for range 20 {
		done, _ := send(m, l, "a")
		require.Equal(t, "a", string((<-done).Reply.Body))
	}
	require.EqualValues(t, 1, count.Load())
	hung, hungCount := startLeaf(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString(0) })
	require.Equal(t, 2, m.AvailableConnections(hung))
	for range 2 {
		send(m, hung, "a")
	}
	require.Equal(t, 0, m.AvailableConnections(hung))
	done, _ := send(m, hung, "a")
	e := <-done
	require.Error(t, e.Err)
	require.False(t, e.Sent)
	require.Eventually(t, func() bool { return hungCount.Load() == 2 }, 5*time.Second, time.Millisecond)
}

// Guards against bytes that belong to no request, or to an earlier one, and are read as the next reply.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	l, count := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = c.Write([]byte(line + line)) // One reply too many.
		}
	})
	m := newModule(t, l, 10)
	for _, id := range []string{"a", "b", "c"} {
		done, _ := send(m, l, id)
		if e := <-done; e.Reply != nil {
			require.Equal(t, id, string(e.Reply.Body))
		} else {
			require.True(t, e.Sent, "the leaf may have run it")
		}
	}
	require.Greater(t, count.Load(), int32(1))
}

// Guards against an attempt without a result, whatever happens to its connection.
func TestEveryAttemptHasAResult(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *bufio.Reader){
		"closed at once": func(net.Conn, *bufio.Reader) {},
		"closed after the request": func(_ net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
		},
		"closed within the reply": func(c net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			_, _ = c.Write([]byte("hal"))
		},
	} {
		l, _ := startLeaf(t, serve)
		m := newModule(t, l, 10)
		for range 10 {
			done, _ := send(m, l, "a")
			e := <-done
			require.Error(t, e.Err, name)
			require.Nil(t, e.Reply, name)
		}
		require.Eventually(t, func() bool { return m.AvailableConnections(l) == 6 }, 5*time.Second, time.Millisecond, "%s: no connection is counted any more", name)
	}
	m := newModule(t, &leaves.Member{}, 10)
	closed := &leaves.Member{Leaf: leaves.Leaf{ID: "x", Service: "s", Address: "127.0.0.1:1"}}
	done, _ := send(m, closed, "a")
	e := <-done
	require.True(t, e.Refused)
	require.False(t, e.Sent)
}

// Guards against a cancelled attempt on which its leaf continues to work, and against a late cancel that ends another attempt.
func TestCancelClosesOnlyItsConnection(t *testing.T) {
	closed := make(chan struct{})
	l, _ := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		if line == "slow\n" {
			_, _ = r.ReadString('\n') // It returns when the connection is closed.
			close(closed)
			return
		}
		_, _ = c.Write([]byte(line))
		echo(c, r)
	})
	m := newModule(t, l, 10)
	done, cancel := send(m, l, "slow")
	time.AfterFunc(20*time.Millisecond, cancel)
	require.Error(t, (<-done).Err)
	<-closed
	first, late := send(m, l, "a")
	<-first
	second, _ := send(m, l, "b")
	late()
	require.Equal(t, "b", string((<-second).Reply.Body))
}

// Guards against requests that wait for a connection to a leaf that has been listed for long, and against a leaf that stays
// without a connection after it has closed an idle one.
func TestConnectionsAreOpenedInAdvance(t *testing.T) {
	closing := make(chan struct{})
	l, count := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		go func() {
			<-closing
			_ = c.Close()
		}()
		echo(c, r)
	})
	m := newModule(t, l, 4)
	m.choosePreferred(m.control.View())
	go m.preconnect(m.runCtx)
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.poolOf(l).idle) == 1
	}, 5*time.Second, time.Millisecond)
	done, _ := send(m, l, "a")
	require.NoError(t, (<-done).Err)
	require.EqualValues(t, 1, count.Load(), "the request uses the connection that was opened in advance")
	close(closing)
	require.Eventually(t, func() bool { return count.Load() >= 2 }, 5*time.Second, time.Millisecond)
}

// Guards against a VM without requests that connects to a leaf each time that the leaf closes the idle connection, and against a
// VM with requests that does not.
func TestIdleConnectionsAreOpenedAgainOnlyWithRequests(t *testing.T) {
	l, count := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		time.AfterFunc(2*preconnectInterval, func() { _ = c.Close() })
		echo(c, r)
	})
	m := newModule(t, l, 4)
	m.choosePreferred(m.control.View())
	go m.preconnect(m.runCtx)
	require.Eventually(t, func() bool { return count.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return count.Load() > 1 }, preconnectRetry+8*preconnectInterval, time.Millisecond)
	done, _ := send(m, l, "a")
	require.NoError(t, (<-done).Err)
	require.Eventually(t, func() bool { return count.Load() >= 3 }, 5*time.Second, time.Millisecond, "the request's own connection, and one in advance")
}

// Guards against requests that wait for connections to all shards of a new index at the same time, although its leaves
// are listed seconds before a route table names them.
func TestConnectionsAreOpenedBeforeARouteNamesTheLeaf(t *testing.T) {
	l, count := startLeaf(t, echo)
	m := newModule(t, l, 4)
	v := *m.control.View()
	v.Routes = &routes.Table{}
	m.control.SetTestView(&v)
	m.choosePreferred(&v)
	go m.preconnect(m.runCtx)
	require.Eventually(t, func() bool { return count.Load() == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against connecting again and again to a leaf that closes each connection immediately, as leaves do above their
// limit.
func TestRefusedConnectionsInAdvanceAreRetriedLater(t *testing.T) {
	l, count := startLeaf(t, func(net.Conn, *bufio.Reader) {})
	m := newModule(t, l, 4)
	m.choosePreferred(m.control.View())
	go m.preconnect(m.runCtx)
	require.Eventually(t, func() bool { return count.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return count.Load() > 1 }, 16*preconnectInterval, time.Millisecond)
}

// Guards against a request that is refused because a connection that is being opened in advance counts towards the limit.
func TestRequestsDoNotWaitForConnectionsInAdvance(t *testing.T) {
	l, _ := startLeaf(t, echo)
	m := newModule(t, l, 1)
	m.mu.Lock()
	p := m.poolOf(l)
	p.open, p.preconnecting = 1, 1
	m.mu.Unlock()
	require.Equal(t, 1, m.AvailableConnections(l))
	done, _ := send(m, l, "a")
	require.NoError(t, (<-done).Err)
}

// Guards against connections in advance from all VMs to all leaves while the number of entry VMs is unknown.
func TestNoConnectionsInAdvanceForAnUnknownNumberOfVMs(t *testing.T) {
	l, count := startLeaf(t, echo)
	m := newModule(t, l, 4)
	original := m.control.View()
	v := *original
	v.EntryVMs = 0
	m.control.SetTestView(&v)
	go m.preconnect(m.runCtx)
	require.Never(t, func() bool { return count.Load() > 0 }, 8*preconnectInterval, time.Millisecond)
	m.control.SetTestView(original)
	m.recheckPreferred()
	require.Eventually(t, func() bool { return count.Load() == 1 }, 5*time.Second, time.Millisecond)
}

// newScarceModule returns a module with the listed leaves, of which the first is in the VM's zone, where vms entry VMs share the
// accepted connections of each leaf.
func newScarceModule(t *testing.T, accepts, vms int, list ...*leaves.Member) *Module {
	m := newModule(t, list[0], accepts)
	m.zone = "own"
	v := *m.control.View()
	v.EntryVMs = vms
	v.Leaves = &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"s": list}}
	for i, l := range list {
		l.ID = string(rune('a' + i))
	}
	list[0].AvailabilityZone = "own"
	m.control.SetTestView(&v)
	m.choosePreferred(&v)
	return m
}

func (m *Module) isConnected(l *leaves.Member) func() bool {
	return func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.poolOf(l).open == 1
	}
}

// Guards against connections to leaves that are not preferred which stay open until a leaf accepts no more.
func TestConnectionsToLeavesThatAreNotPreferredExpire(t *testing.T) {
	first, _ := startLeaf(t, echo)
	second, _ := startLeaf(t, echo)
	m := newScarceModule(t, 10, 10, first, second)
	require.True(t, m.Prefers(first))
	require.False(t, m.Prefers(second))
	for _, l := range []*leaves.Member{second, first, second} {
		done, _ := send(m, l, "a")
		require.NoError(t, (<-done).Err)
	}
	require.True(t, m.isConnected(second)(), "the connection is kept for a short time")
	require.Eventually(t, func() bool { return !m.isConnected(second)() }, 5*time.Second, time.Millisecond)
	require.True(t, m.isConnected(first)())
}

// Guards against a VM without a connection to a service because its preferred leaf accepts no more, as after a power loss of all
// VMs.
func TestAnotherLeafReplacesAFullOne(t *testing.T) {
	full, _ := startLeaf(t, func(net.Conn, *bufio.Reader) {})
	other, _ := startLeaf(t, echo)
	m := newScarceModule(t, 10, 10, full, other)
	require.True(t, m.Prefers(full))
	go m.preconnect(m.runCtx)
	require.Eventually(t, m.isConnected(other), 5*time.Second, time.Millisecond)
	require.True(t, m.Prefers(other))
	require.False(t, m.Prefers(full))
}

// Guards against VMs that have just started and use up the remaining connections of leaves.
func TestNewlyStartedVMOpensOneConnection(t *testing.T) {
	var list []*leaves.Member
	for range 4 {
		l, _ := startLeaf(t, echo)
		list = append(list, l)
	}
	m := newScarceModule(t, 10, 10, list...)
	require.Len(t, *m.preferred.Load(), 2)
	m.started = m.now()
	m.choosePreferred(m.control.View())
	require.Len(t, *m.preferred.Load(), 1)
}

// Guards against a leaf that resets connections above its limit only after the first request, and is therefore tried by one
// request after the other.
func TestClosedNewConnectionCountsAsRefused(t *testing.T) {
	l, _ := startLeaf(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n') })
	m := newModule(t, l, 10)
	done, _ := send(m, l, "a")
	e := <-done
	require.True(t, e.Refused)
	require.True(t, e.Sent, "the leaf may have run it")
	hung, _ := startLeaf(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString(0) })
	done, cancel := send(m, hung, "a")
	time.AfterFunc(20*time.Millisecond, cancel)
	require.False(t, (<-done).Refused, "the leaf did not close the connection")
}

// Guards against a leaf whose malformed replies on new connections are taken for refused connections, so that they are no evidence
// about it at other VMs.
func TestMalformedReplyOnANewConnectionIsNotRefused(t *testing.T) {
	for _, bytes := range []string{"HTTP/1.1 799 X\r\n", "hal"} {
		l, _ := startLeaf(t, func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n'); _, _ = c.Write([]byte(bytes)) })
		done, _ := send(newModule(t, l, 10), l, "a")
		e := <-done
		require.Error(t, e.Err)
		require.False(t, e.Refused, bytes)
		require.True(t, e.MayHaveRun(), bytes)
		tracker, now := forward.NewTracker(forward.TrackerOptions{}, rand.New(rand.NewPCG(1, 2))), time.Unix(1000, 0)
		tracker.AttemptStarted(now, "r", l)
		tracker.AttemptEnded(now, "r", l, now, &e, false)
		evidence := tracker.TakeEvidence()
		require.Len(t, evidence, 1, bytes)
		require.Equal(t, 1.0, evidence[0].Bad, bytes)
	}
}

// onceProtocol is a protocol whose connections are not used again after a reply.
type onceProtocol struct{ lineProtocol }

func (x onceProtocol) ReadReply(r *bufio.Reader, req *forward.LeafRequest) (*forward.LeafReply, bool, error) {
	reply, _, err := x.lineProtocol.ReadReply(r, req)
	return reply, false, err
}

// Guards against a request that waits for a connection, is woken by the result of another one whose connection still counts, and
// then waits although a connection can be opened.
func TestEndedConnectionIsNotCountedWhenItsResultIsReported(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *bufio.Reader){
		"closed after the reply":  echo,
		"closed without a reply":  func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n') },
		"closed within the reply": func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadString('\n'); _, _ = c.Write([]byte("hal")) },
	} {
		l, _ := startLeaf(t, serve)
		m := newModule(t, l, 1)
		m.protocol = onceProtocol{}
		for range 10 {
			available := make(chan int, 1)
			req := &forward.LeafRequest{Request: &forward.Request{ID: "a"}, Until: time.Now().Add(5 * time.Second)}
			m.Send(l, req, func(forward.AttemptResult) { available <- m.AvailableConnections(l) })
			require.Equal(t, 1, <-available, name)
		}
	}
	l, _ := startLeaf(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString(0) })
	m := newModule(t, l, 1)
	available := make(chan int, 1)
	req := &forward.LeafRequest{Request: &forward.Request{ID: "a"}, Until: time.Now().Add(5 * time.Second)}
	sent := m.Send(l, req, func(forward.AttemptResult) { available <- m.AvailableConnections(l) })
	require.Eventually(t, func() bool { return m.AvailableConnections(l) == 0 }, 5*time.Second, time.Millisecond)
	sent.Cancel()
	require.Equal(t, 1, <-available, "cancelled")
}

// Guards against a request that waits for a connection, is woken by an attempt that was not sent on a connection that still counts, and
// then waits although a connection can be opened.
func TestEndedConnectionIsNotCountedWhenAnUnsentAttemptIsReported(t *testing.T) {
	for name, prepare := range map[string]func(*conn, *attempt){
		"cancelled":          func(_ *conn, a *attempt) { a.cancelled = true },
		"withdrawn":          func(_ *conn, a *attempt) { require.True(t, a.Withdraw()) },
		"closed by the leaf": func(c *conn, _ *attempt) { c.fail(io.EOF)() },
	} {
		l, _ := startLeaf(t, echo)
		m := newModule(t, l, 1)
		n, err := m.connect(context.Background(), l)
		require.NoError(t, err)
		m.mu.Lock()
		p := m.poolOf(l)
		p.open++
		m.mu.Unlock()
		c := newConn(p, n)
		available := make(chan int, 1)
		req := &forward.LeafRequest{Request: &forward.Request{ID: "a"}, Until: time.Now().Add(5 * time.Second)}
		a := &attempt{module: m, req: req, started: time.Now(), done: func(r forward.AttemptResult) {
			require.False(t, r.Sent)
			available <- m.AvailableConnections(l)
		}}
		prepare(c, a)
		c.start(a)
		_ = n.Close() // It may be closed already.
		c.read()
		require.Equal(t, 1, <-available, name)
	}
}

// Guards against a request that is written after it was withdrawn as not sent, and against one that is withdrawn although it may have
// been written.
func TestWithdrawnAttemptIsNotWritten(t *testing.T) {
	received := make(chan string, 1)
	l, _ := startLeaf(t, func(_ net.Conn, r *bufio.Reader) {
		line, err := r.ReadString('\n')
		if err == nil {
			received <- line
		}
	})
	outcomes := map[bool]int{}
	for i := range 400 {
		m := newModule(t, l, 1)
		opening, open := make(chan struct{}), make(chan struct{})
		m.dialer.Control = func(string, string, syscall.RawConn) error {
			close(opening)
			<-open
			return nil
		}
		done := make(chan forward.AttemptResult, 1)
		req := &forward.LeafRequest{Request: &forward.Request{ID: "a"}, Until: time.Now().Add(5 * time.Second)}
		a := m.Send(l, req, func(r forward.AttemptResult) { done <- r })
		<-opening
		if i%2 == 0 {
			require.True(t, a.Withdraw(), "the connection is still being opened")
			close(open)
		} else {
			close(open)
			time.Sleep(time.Duration(i) * time.Microsecond)
		}
		withdrawn := a.Withdraw()
		outcomes[withdrawn]++
		require.Equal(t, !withdrawn, (<-done).Sent)
		if !withdrawn {
			require.Equal(t, "a\n", <-received)
			require.False(t, a.Withdraw(), "the leaf has the request")
		}
		require.Empty(t, received)
	}
	require.Positive(t, outcomes[false])
	require.Positive(t, outcomes[true])
}

// writeFailure is how the writes on a connection fail.
type writeFailure struct {
	// accepted is how many bytes are written before the failure.
	accepted int
	// resetDuringWrite lets reads fail before the write returns. closedBeforeWrite lets setting the deadline fail.
	resetDuringWrite, closedBeforeWrite bool
}

// failingNet is a connection on which nothing is read.
type failingNet struct {
	net.Conn
	writeFailure
	written       atomic.Int32
	reset, closed chan struct{}
	closing       sync.Once
}

func (n *failingNet) SetDeadline(time.Time) error {
	if n.closedBeforeWrite {
		_ = n.Close() // It does not fail.
		return net.ErrClosed
	}
	return nil
}

func (n *failingNet) Read([]byte) (int, error) {
	select {
	case <-n.reset:
		return 0, syscall.ECONNRESET
	case <-n.closed:
		return 0, net.ErrClosed
	}
}

func (n *failingNet) Write([]byte) (int, error) {
	if n.resetDuringWrite {
		close(n.reset)
		time.Sleep(10 * time.Millisecond) // The reading goroutine notices the reset.
	}
	n.written.Add(int32(n.accepted))
	return n.accepted, syscall.EPIPE
}

func (n *failingNet) Close() error {
	n.closing.Do(func() { close(n.closed) })
	return nil
}

// Guards against 502 for a request that may run only once and of which no byte was written, because its connection had been reset or
// closed, and against one that counts as not sent although a part of it was written.
func TestRequestIsUnsentIfNoByteWasWritten(t *testing.T) {
	for _, failure := range []writeFailure{
		{}, {accepted: 1}, {closedBeforeWrite: true}, {resetDuringWrite: true}, {resetDuringWrite: true, accepted: 1},
	} {
		for _, id := range []string{"a", strings.Repeat("a", 2*maxInlineBytes)} {
			l, _ := startLeaf(t, echo)
			m := newModule(t, l, 1)
			m.mu.Lock()
			p := m.poolOf(l)
			p.open++
			m.mu.Unlock()
			n := &failingNet{writeFailure: failure, reset: make(chan struct{}), closed: make(chan struct{})}
			c := newConn(p, n)
			go c.read()
			done := make(chan forward.AttemptResult, 1)
			req := &forward.LeafRequest{Request: &forward.Request{ID: id}, Until: time.Now().Add(5 * time.Second)}
			c.start(&attempt{module: m, req: req, started: time.Now(), done: func(r forward.AttemptResult) { done <- r }})
			r := <-done
			require.Error(t, r.Err)
			require.Equal(t, failure.accepted > 0, r.Sent, "%d bytes, %+v", len(id), failure)
			require.EqualValues(t, failure.accepted, n.written.Load())
		}
	}
}

// refusingProtocol is lineProtocol with replies that begin with a minus sign and state that the request was not run.
type refusingProtocol struct{ lineProtocol }

func (refusingProtocol) ReadReply(r *bufio.Reader, req *forward.LeafRequest) (*forward.LeafReply, bool, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, false, err
	}
	id, notRun := strings.CutPrefix(strings.TrimSpace(line), "-")
	return &forward.LeafReply{Status: 200, Signature: "s", NotRun: notRun, Identified: id == req.ID}, true, nil
}

// Guards against 503 for a repeatable request that has run, because a second copy of "not run" on the connection of an earlier attempt
// was taken for the reply to a later one; and against connections of other requests that are closed to prevent it.
func TestSecondCopyOfARefusalDoesNotAnswerARepeatedRequest(t *testing.T) {
	for _, others := range []int{0, 1} {
		var ran, refused atomic.Int32
		l, count := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
			copied := ""
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				switch {
				case line == "b\n":
					time.Sleep(20 * time.Millisecond) // The other request gets a connection of its own.
				case refused.Add(1) == 1:
					copied = "-" + line
					line = copied
				default:
					ran.Add(1)
					line = copied + line
				}
				_, _ = c.Write([]byte(line)) // The test detects a missing reply.
			}
		})
		m := newModule(t, l, 10)
		m.protocol = refusingProtocol{}
		var done []chan forward.AttemptResult
		for range others {
			d, _ := send(m, l, "b")
			done = append(done, d)
		}
		d, _ := send(m, l, "a")
		require.True(t, (<-d).Reply.NotRun)
		for _, d := range done {
			require.NotNil(t, (<-d).Reply)
		}
		d, _ = send(m, l, "a")
		r := <-d
		require.EqualValues(t, 1, ran.Load())
		require.True(t, r.MayHaveRun(), "the leaf has run it")
		require.EqualValues(t, 2, count.Load())
	}
}

// Guards against a request that is told that all connections to a leaf are busy, although none is: the only one is idle and too old to
// be used, and the number of available connections includes it.
func TestIdleConnectionThatIsTooOldIsReplaced(t *testing.T) {
	l, _ := startLeaf(t, echo)
	m := newModule(t, l, 1)
	results, _ := send(m, l, "a")
	require.NoError(t, (<-results).Err)
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		idle := m.pools[l.Key()].idle
		if len(idle) == 0 {
			return false
		}
		idle[0].usableUntil = time.Now().Add(-time.Millisecond)
		return true
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, m.AvailableConnections(l))
	results, _ = send(m, l, "b")
	require.NoError(t, (<-results).Err)
}

// Guards against a request that waits beside a place for a new connection, because connections that were too old are still being
// closed.
func TestIdleConnectionsThatAreBeingClosedTakeNoPlace(t *testing.T) {
	l, _ := startLeaf(t, echo)
	m := newModule(t, l, 3) // The VMs use 0.6 of the connections, which is two.
	p := m.poolOf(l)
	idle := func() (c *conn) {
		near, far := net.Pipe() // Nothing reads from the connection, so that its end is noticed only when the test says so.
		t.Cleanup(func() { _ = far.Close() })
		c = newConn(p, near)
		c.usableUntil = time.Now().Add(-time.Millisecond)
		m.mu.Lock()
		defer m.mu.Unlock()
		p.open, p.idle = p.open+1, append(p.idle, c)
		return c
	}
	old := []*conn{idle(), idle()}
	require.Equal(t, 2, m.AvailableConnections(l))
	p.expire(old[0])
	require.Equal(t, 2, m.AvailableConnections(l))
	first, _ := send(m, l, "a")
	require.NoError(t, (<-first).Err)
	require.Equal(t, 2, m.AvailableConnections(l))
	for _, c := range old {
		p.closed(c)
	}
	require.Equal(t, 2, m.AvailableConnections(l))
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Equal(t, 1, p.open)
	require.Len(t, p.idle, 1)
}

// Guards against a request that waits beside a place for a new connection, because one that was opened in advance took it for a moment
// before it became idle or after it could not be opened.
func TestConnectionInAdvanceNeverTakesAPlace(t *testing.T) {
	reachable, _ := startLeaf(t, echo)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := &leaves.Member{Leaf: leaves.Leaf{ID: "i", Service: "s", Address: closed.Addr().String()}}
	require.NoError(t, closed.Close())
	for _, l := range []*leaves.Member{reachable, unreachable} {
		for range 100 {
			m := newModule(t, l, 1)
			stop, least := make(chan struct{}), make(chan int)
			go func() {
				n := 1
				for {
					select {
					case <-stop:
						least <- n
						return
					default:
						n = min(n, m.AvailableConnections(l))
					}
				}
			}()
			go m.preconnectTo(l)
			require.Eventually(t, func() bool {
				m.mu.Lock()
				defer m.mu.Unlock()
				p := m.pools[l.Key()]
				return p != nil && (len(p.idle) > 0 || !p.unreachableUntil.IsZero())
			}, 5*time.Second, 200*time.Microsecond)
			close(stop)
			require.Equal(t, 1, <-least)
			require.NoError(t, m.Stop(context.Background()))
		}
	}
}

// misdirectedProtocol is lineProtocol with replies that another leaf, which is leaving, has sent.
type misdirectedProtocol struct{ lineProtocol }

func (p misdirectedProtocol) ReadReply(r *bufio.Reader, req *forward.LeafRequest) (*forward.LeafReply, bool, error) {
	reply, reusable, err := p.lineProtocol.ReadReply(r, req)
	if err == nil {
		reply.Status, reply.WrongLeaf, reply.NotRun, reply.Leaving = 421, true, true, true
	}
	return reply, reusable, err
}

// Guards against requests that wait for a leaf that takes requests, because another leaf that had its address for a while has replied
// that it is leaving.
func TestReplyOfAnotherLeafDoesNotRetireThePool(t *testing.T) {
	l, _ := startLeaf(t, echo)
	m := newModule(t, l, 1)
	m.protocol = misdirectedProtocol{}
	results, _ := send(m, l, "a")
	require.NoError(t, (<-results).Err)
	require.Equal(t, 1, m.AvailableConnections(l))
	results, _ = send(m, l, "b")
	require.NoError(t, (<-results).Err)
}

// Guards against a request that is reset, possibly after it was sent, because its connection was opened before the leaf had closed the one
// that it replaces, at a leaf that accepts no more.
func TestReplacedConnectionIsClosedByTheLeafFirst(t *testing.T) {
	var open, resets atomic.Int32
	l, _ := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		if open.Add(1) > 1 {
			resets.Add(1)
			_ = c.(*net.TCPConn).SetLinger(0) // The close resets the connection.
		} else {
			echo(c, r)
			time.Sleep(time.Millisecond)
		}
		open.Add(-1)
	})
	m := newModule(t, l, 1)
	for i := range 300 {
		results, _ := send(m, l, fmt.Sprint(i))
		require.NoError(t, (<-results).Err)
		require.Eventually(t, func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			idle := m.pools[l.Key()].idle
			if len(idle) == 1 {
				idle[0].usableUntil = time.Now().Add(-time.Millisecond)
			}
			return len(idle) == 1
		}, 5*time.Second, 50*time.Microsecond)
	}
	require.Zero(t, resets.Load())
}

// Guards against a request that waits for a leaf that does not close its side of a connection that it replaces.
func TestReplacedConnectionIsNotAwaitedForLong(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	l, _ := startLeaf(t, func(c net.Conn, r *bufio.Reader) {
		echo(c, r)
		<-hold
	})
	m := newModule(t, l, 1)
	results, _ := send(m, l, "a")
	require.NoError(t, (<-results).Err)
	m.mu.Lock()
	m.pools[l.Key()].idle[0].usableUntil = time.Now().Add(-time.Millisecond)
	m.mu.Unlock()
	started := time.Now()
	results, _ = send(m, l, "b")
	require.NoError(t, (<-results).Err)
	require.Less(t, time.Since(started), 10*closeTimeout)
}
