package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/peer"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"google.golang.org/protobuf/proto"
)

const testTimeout = 10 * time.Second

// vm is a kernel with the peer transport.
type vm struct {
	kernel.PeerTransport
	logFile string
}

type vmOptions struct {
	name, cluster, listen, peerAddr, extra string
	handlers                               map[string]kernel.PeerHandler
}

func startVM(t *testing.T, o vmOptions) vm {
	t.Helper()
	logFile := filepath.Join(t.TempDir(), o.name+".log")
	text := fmt.Sprintf("[vm]\ncluster = %s\nname = %s\navailability_zone = az-1\n[log]\nfile = %s\n"+
		"[peer_transport]\nlisten = %s\nkeepalive_interval = 200ms\nkeepalive_timeout = 300ms\nreconnect_min = 10ms\nreconnect_max = 50ms\n%s\n"+
		"[peer other]\naddress = %s\navailability_zone = az-1\n", o.cluster, o.name, logFile, o.listen, o.extra, o.peerAddr)
	s, err := settings.Parse("test.ini", []byte(strings.ReplaceAll(text, "[peer other]", "[peer "+other(o.name)+"]")), kernel.SettingsKeys())
	require.NoError(t, err)
	k, err := kernel.New(s)
	require.NoError(t, err)
	transport, err := kernel.Lookup[kernel.PeerTransport](k.Context())
	require.NoError(t, err)
	for kind, h := range o.handlers {
		transport.Handle(kind, h)
	}
	require.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	return vm{transport, logFile}
}

func other(name string) string { return map[string]string{"vm-1": "vm-2", "vm-2": "vm-1"}[name] }

func (v vm) connected() bool { return v.Peers()[0].Connected }

func (v vm) logs(t *testing.T, text string) func() bool {
	return func() bool {
		data, err := os.ReadFile(v.logFile)
		require.NoError(t, err)
		return strings.Contains(string(data), text)
	}
}

// startPair starts two connected VMs; handlers are the peer handlers of vm-2.
func startPair(t *testing.T, handlers map[string]kernel.PeerHandler) (vm, vm, string) {
	t.Helper()
	a, b := peertest.FreeAddress(), peertest.FreeAddress()
	first := startVM(t, vmOptions{name: "vm-1", cluster: "test", listen: a, peerAddr: b})
	second := startVM(t, vmOptions{name: "vm-2", cluster: "test", listen: b, peerAddr: a, handlers: handlers})
	require.Eventually(t, func() bool { return first.connected() && second.connected() }, testTimeout, time.Millisecond)
	return first, second, b
}

func call(ctx context.Context, v vm, kind string) (string, error) {
	data, err := v.Call(ctx, "vm-2", kernel.PeerMessage{Kind: kind, Payload: []byte("hello")})
	return string(data), err
}

// Guards against errors of a handler that lose their kind or remedy, and against calls that report wrongly whether the
// message may have been handled.
func TestCallReturnsReplyOrTypedError(t *testing.T) {
	entered := make(chan struct{}, 1)
	first, _, _ := startPair(t, map[string]kernel.PeerHandler{
		"echo": func(_ context.Context, from model.VMName, p []byte) ([]byte, error) {
			return []byte(string(from) + " " + string(p)), nil
		},
		"fail": func(context.Context, model.VMName, []byte) ([]byte, error) {
			return nil, errs.New(errs.KindConflict, "read again", "the revision is old")
		},
		"hang": func(ctx context.Context, _ model.VMName, _ []byte) ([]byte, error) {
			entered <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := call(ctx, first, "echo")
	require.NoError(t, err)
	require.Equal(t, "vm-1 hello", reply)

	_, err = call(ctx, first, "fail")
	require.Equal(t, errs.KindConflict, errs.KindOf(err))
	require.Equal(t, "read again", errs.RemedyOf(err))

	_, err = call(ctx, first, "missing")
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))

	hang, stop := context.WithCancel(ctx)
	go func() {
		<-entered
		stop()
	}()
	_, err = call(hang, first, "hang")
	require.Equal(t, errs.KindUnknownOutcome, errs.KindOf(err))

	_, err = call(hang, first, "echo")
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err), "no message is sent once the context is done")
}

// Guards against one-way messages that are lost or reordered on a healthy connection.
func TestSendKeepsOrder(t *testing.T) {
	const n = 500
	got := make(chan string, n)
	first, _, _ := startPair(t, map[string]kernel.PeerHandler{
		"note": func(_ context.Context, _ model.VMName, p []byte) ([]byte, error) {
			got <- string(p)
			return nil, nil
		},
	})
	for i := range n {
		require.True(t, first.Send("vm-2", kernel.PeerMessage{Kind: "note", Payload: fmt.Append(nil, i)}))
	}
	for i := range n {
		select {
		case p := <-got:
			require.Equal(t, fmt.Sprint(i), p)
		case <-time.After(testTimeout):
			t.Fatal("a message was lost")
		}
	}
}

// Guards against connections between VMs of different clusters or of incompatible protocol versions, and against a
// refusal without a remedy in the log.
func TestWrongClusterIsRefused(t *testing.T) {
	a, b := peertest.FreeAddress(), peertest.FreeAddress()
	first := startVM(t, vmOptions{name: "vm-1", cluster: "blue", listen: a, peerAddr: b})
	second := startVM(t, vmOptions{name: "vm-2", cluster: "green", listen: b, peerAddr: a})
	for _, v := range []vm{first, second} {
		require.Eventually(t, v.logs(t, "remedy: correct [vm] cluster"), testTimeout, 5*time.Millisecond)
		require.False(t, v.connected())
	}

	stream, _ := dialRaw(t, a, &peerpb.Hello{Cluster: "blue", Vm: "vm-9", Version: 99, OldestVersion: 98})
	var reply peerpb.HelloReply
	readFrame(t, stream, &reply)
	require.Contains(t, reply.GetRefusal().GetRemedy(), "upgrade")
}

// Guards against a partition that stays undetected because TCP reports no error, and against a VM that does not
// reconnect after it.
func TestPartitionIsDetected(t *testing.T) {
	a, b := peertest.FreeAddress(), peertest.FreeAddress()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "peer", "127.0.0.1:0", b)
	require.NoError(t, proxy.Start())
	defer proxy.Stop()
	first := startVM(t, vmOptions{name: "vm-1", cluster: "test", listen: a, peerAddr: proxy.Listen})
	startVM(t, vmOptions{name: "vm-2", cluster: "test", listen: b, peerAddr: a})
	require.Eventually(t, first.connected, testTimeout, time.Millisecond)

	for _, direction := range []string{"upstream", "downstream"} {
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(`{"name":"` + direction + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`))
		require.NoError(t, err)
	}
	partitioned := time.Now()
	require.Eventually(t, func() bool { return !first.connected() }, testTimeout, time.Millisecond)
	require.Less(t, time.Since(partitioned), 3*time.Second, "the partition has to be detected within a few seconds")

	proxy.Toxics.ResetToxics(context.Background())
	require.Eventually(t, first.connected, testTimeout, time.Millisecond)
}

// Guards against a malformed frame that closes more than the connection on which it arrived.
func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	first, second, addr := startPair(t, map[string]kernel.PeerHandler{
		"echo": func(_ context.Context, _ model.VMName, p []byte) ([]byte, error) { return p, nil },
	})
	for name, garbage := range map[string]string{"length": "\xff\xff\xff\xff", "content": "\x00\x00\x00\x02\xff\xff"} {
		stream, session := dialRaw(t, addr, &peerpb.Hello{Cluster: "test", Vm: "vm-9", Version: 1, OldestVersion: 1})
		var reply peerpb.HelloReply
		readFrame(t, stream, &reply)
		require.Nil(t, reply.GetRefusal())
		bad, err := session.OpenStream()
		require.NoError(t, err)
		// yamux reports a write as failed if the VM has read the data and closed the connection before the write returns.
		if _, err = bad.Write([]byte(garbage)); err != nil {
			require.ErrorIs(t, err, yamux.ErrSessionShutdown)
		}
		select {
		case <-session.CloseChan():
		case <-time.After(testTimeout):
			t.Fatalf("the connection stayed open after a bad %s", name)
		}
	}
	require.Eventually(t, func() bool {
		data, err := os.ReadFile(second.logFile)
		require.NoError(t, err)
		return strings.Count(string(data), "malformed frame") == 2
	}, testTimeout, 5*time.Millisecond, "both connections ended because of their malformed frame")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := call(ctx, first, "echo")
	require.NoError(t, err)
	require.Equal(t, "hello", reply)
	require.True(t, first.connected() && second.connected())
}

// Guards against a send queue that grows without limit or blocks its sender while the other VM reads nothing.
func TestSendQueueIsLimited(t *testing.T) {
	release := make(chan struct{})
	first, _, _ := startPair(t, map[string]kernel.PeerHandler{
		"slow": func(context.Context, model.VMName, []byte) ([]byte, error) {
			<-release
			return nil, nil
		},
	})
	defer close(release)
	require.Eventually(t, func() bool {
		return !first.Send("vm-2", kernel.PeerMessage{Kind: "slow", Payload: make([]byte, 64<<10)})
	}, testTimeout, time.Microsecond)
	require.True(t, first.connected(), "a slow handler must not end the connection")
}

// dialRaw opens a connection without the module and sends a hello over it.
func dialRaw(t *testing.T, addr string, hello *peerpb.Hello) (*yamux.Stream, *yamux.Session) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.OpenStream()
	require.NoError(t, err)
	data, err := proto.Marshal(hello)
	require.NoError(t, err)
	_, err = stream.Write(append([]byte{0, 0, byte(len(data) >> 8), byte(len(data))}, data...))
	require.NoError(t, err)
	return stream, session
}

func readFrame(t *testing.T, r *yamux.Stream, m proto.Message) {
	t.Helper()
	require.NoError(t, r.SetReadDeadline(time.Now().Add(testTimeout)))
	prefix := make([]byte, 4)
	_, err := io.ReadFull(r, prefix)
	require.NoError(t, err)
	body := make([]byte, int(prefix[2])<<8|int(prefix[3]))
	_, err = io.ReadFull(r, body)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(body, m))
}

// Guards against a VM that tries for ever to connect to one that is no longer needed, and against one that cannot be added again.
func TestRemovedPeerIsNotConnectedAgain(t *testing.T) {
	first, second, address := startPair(t, nil)
	first.PeerTransport.(kernel.PeerRemover).RemovePeer("vm-2")
	require.Empty(t, first.Peers())
	require.Eventually(t, first.logs(t, "VM disconnected"), testTimeout, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // Several times the longest wait before a new attempt to connect.
	require.Empty(t, first.Peers())
	require.True(t, second.connected(), "the connection of the other VM is its own")
	first.AddPeer(settings.Peer{Name: "vm-2", Addr: address})
	require.Eventually(t, first.connected, testTimeout, time.Millisecond)
}
