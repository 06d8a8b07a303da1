package membership

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

func longReply(leaves int) *membershippb.WatchReply {
	r := &membershippb.WatchReply{Incarnation: 7, Position: 9, Complete: true}
	for i := range leaves {
		r.Leaves = append(r.Leaves, listedLeaf(fmt.Sprintf("i-%010x", i*2654435761), fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), 5))
	}
	return r
}

// Guards against replies that other VMs cannot read, are changed on the way, or are compressed once for each of many VMs.
func TestLongRepliesAreCompressed(t *testing.T) {
	var e replyEncoder
	reply := longReply(340)
	plain, err := e.encode(reply, false)
	require.NoError(t, err)
	compressed, err := e.encode(reply, true)
	require.NoError(t, err)
	require.Less(t, len(compressed), len(plain)/2)
	again, err := e.encode(reply, true)
	require.NoError(t, err)
	require.Same(t, &compressed[0], &again[0], "it is compressed once")
	want, err := decodeUpdate(plain)
	require.NoError(t, err)
	got, err := decodeUpdate(compressed)
	require.NoError(t, err)
	require.Equal(t, want, got)
	for i := range 2 * keptReplies {
		reply.Position = uint64(i)
		data, err := e.encode(reply, true)
		require.NoError(t, err)
		u, err := decodeUpdate(data)
		require.NoError(t, err)
		require.EqualValues(t, i, u.tableVersion, "another reply is not mistaken for a kept one")
	}
	short, err := e.encode(longReply(1), true)
	require.NoError(t, err)
	var decoded membershippb.WatchReply
	require.NoError(t, proto.Unmarshal(short, &decoded))
	require.Empty(t, decoded.GetCompressed())
}

// Guards against a compressed reply that uses up the memory of its receiver, or ends it.
func TestDamagedRepliesAreRefused(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	require.NoError(t, err)
	for range maxReplyBytes/(1<<20) + 1 {
		_, err = w.Write(make([]byte, 1<<20))
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	for _, body := range [][]byte{bomb.Bytes(), []byte("no deflate"), {0}} {
		data, err := proto.Marshal(&membershippb.WatchReply{Compressed: body})
		require.NoError(t, err)
		_, err = decodeUpdate(data)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	}
}

// heldPeers holds each call until its context ends, and stores the requests.
type heldPeers struct {
	fakePeers
	requests chan *membershippb.WatchRequest
}

func (x heldPeers) Call(ctx context.Context, _ model.VMName, msg kernel.PeerMessage) ([]byte, error) {
	var req membershippb.WatchRequest
	if err := proto.Unmarshal(msg.Payload, &req); err != nil {
		return nil, err
	}
	x.requests <- &req
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a VM that lacks leaves and routes for as long as a control VM may hold a request for neither, after the one that it
// took them from was lost.
func TestChosenControlVMIsAskedAtOnce(t *testing.T) {
	m := newModule()
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	defer m.cancel()
	x := heldPeers{requests: make(chan *membershippb.WatchRequest, 100)}
	m.peers = x
	s := &source{}
	go m.watch(m.runCtx, "a", s)
	first := <-x.requests
	require.True(t, first.GetLight())
	require.EqualValues(t, lightHoldTime.Milliseconds(), first.GetHoldMs())
	s.full.Store(true)
	s.interrupt()
	select {
	case second := <-x.requests:
		require.False(t, second.GetLight())
		require.EqualValues(t, holdTime.Milliseconds(), second.GetHoldMs())
	case <-time.After(lightHoldTime):
		t.Fatal("the request was not ended")
	}
}

// Guards against requests that are held for longer than an entry VM counts after its last request, or than their sender waits.
func TestHoldTimesAreLimited(t *testing.T) {
	require.Less(t, lightHoldTime+watchMargin, entryVMExpiry)
	require.LessOrEqual(t, lightHoldTime, maxHoldTime)
}

// Guards against a crash, or an impossible leaf, after an answer or a copy on disk that is damaged.
func FuzzDecodeUpdate(f *testing.F) {
	var e replyEncoder
	for _, compressed := range []bool{false, true} {
		data, err := e.encode(longReply(20), compressed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := decodeUpdate(data)
		for i := range u.leaves {
			if err == nil && u.leaves[i].Check() != nil {
				t.Fatalf("leaf %+v is not valid", u.leaves[i])
			}
		}
	})
}

// answeringPeers fails the first call, answers the others, and stores the requests.
type answeringPeers struct {
	fakePeers
	requests chan *membershippb.WatchRequest
}

func (x answeringPeers) Call(ctx context.Context, _ model.VMName, msg kernel.PeerMessage) ([]byte, error) {
	var req membershippb.WatchRequest
	if err := proto.Unmarshal(msg.Payload, &req); err != nil {
		return nil, err
	}
	x.requests <- &req
	if len(x.requests) == 2 {

		return nil, context.DeadlineExceeded
	}
	if len(x.requests) > 3 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return proto.Marshal(&membershippb.WatchReply{Incarnation: 7})
}

// Guards against a control VM that counts as lost for as long as it may hold a request, after its connection was lost and restored, so
// that a VM follows control VMs that are lost instead.
func TestRequestAfterAFailureIsAnsweredAtOnce(t *testing.T) {
	m := newModule()
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	defer m.cancel()
	x := answeringPeers{requests: make(chan *membershippb.WatchRequest, 10)}
	m.peers = x
	go m.watch(m.runCtx, "a", &source{})
	require.Eventually(t, func() bool { return len(x.requests) == 4 }, 5*time.Second, time.Millisecond)
	var incarnations []uint64
	for range 4 {
		incarnations = append(incarnations, (<-x.requests).GetIncarnation())
	}
	require.Equal(t, []uint64{0, 7, 0, 7}, incarnations, "a control VM answers incarnation 0 at once")
}

// Guards against a VM that takes leaves and routes from control VMs that it cannot reach, while it is connected to others that have not
// answered since their connections were restored.
func TestConnectedControlVMsAreChosenFirst(t *testing.T) {
	m := newModule()
	m.zone = "elsewhere"
	var peers fakePeers
	for _, p := range m.peers.(fakePeers) {
		p.Connected = p.VM == "c" || p.VM == "d"
		peers = append(peers, p)
	}
	m.peers = peers
	for _, s := range m.sources {
		s.answered, s.lastContact = true, start
	}
	m.chooseSources(start.Add(time.Minute))
	require.Equal(t, map[model.VMName]bool{"c": true, "d": true}, m.fullSourceVMs())
	m.sources["d"].failing.Store(true)
	m.sources["c"].lastContact = start.Add(time.Minute)
	m.chooseSources(start.Add(time.Minute))
	require.True(t, m.fullSourceVMs()["c"])
}

// Guards against a VM that keeps old routes and leaves because both control VMs that it takes them from are cut off from the others,
// although it reaches all of them.
func TestControlVMsInAMinorityAreNotChosen(t *testing.T) {
	m := newModule()
	m.sources["e5"] = &source{}
	m.peers = append(m.peers.(fakePeers), kernel.PeerStatus{VM: "e5", AvailabilityZone: "z5", Connected: true, Control: true})
	connectedTo := map[model.VMName]int{"a": 2, "b": 1, "c": 2, "d": 1, "e5": 2}
	m.chooseSources(start)
	require.True(t, m.fullSourceVMs()["b"], "that of the own zone")
	for vm, s := range m.sources {
		s.answered, s.lastContact, s.controlVMs = true, start, connectedTo[vm]
	}
	m.chooseSources(start)
	require.False(t, m.fullSourceVMs()["b"])
	require.False(t, m.fullSourceVMs()["d"])
	require.Len(t, m.fullSourceVMs(), fullSources)
	for _, s := range m.sources {
		s.controlVMs = 1
	}
	m.chooseSources(start)
	require.True(t, m.fullSourceVMs()["b"], "no control VM reaches a majority")
}
