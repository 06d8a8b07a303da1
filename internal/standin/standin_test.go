package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

func startTarget(t *testing.T, change func(*Config)) *Target {
	t.Helper()
	cfg := Config{Service: "billing", ID: "b1", AvailabilityZone: "a", Seed: 1, Control: "127.0.0.1:0"}
	if change != nil {
		change(&cfg)
	}
	target, err := Start(cfg)
	require.NoError(t, err)
	t.Cleanup(target.Close)
	return target
}

func newSubRequest(t *testing.T, target *Target, attempt string, change func(h http.Header)) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+target.Addr()+targetapi.PathShard, strings.NewReader("body of "+attempt))
	require.NoError(t, err)
	for name, value := range map[string]string{
		targetapi.HeaderAttempt: attempt, targetapi.HeaderService: "billing", targetapi.HeaderShard: "1",
		targetapi.HeaderSnapshot: "1.1", targetapi.HeaderPriority: "normal", targetapi.HeaderTimeoutMS: "5000",
	} {
		req.Header.Set(name, value)
	}
	if change != nil {
		change(req.Header)
	}
	return req
}

func sendSubRequest(t *testing.T, target *Target, attempt string, change func(h http.Header)) (*http.Response, []byte, error) {
	t.Helper()
	res, err := http.DefaultClient.Do(newSubRequest(t, target, attempt, change))
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

// Guards against a stand-in target whose replies violate the protocol, since other tests rely
// on them.
func TestReplyFollowsProtocol(t *testing.T) {
	target := startTarget(t, nil)
	res, body, err := sendSubRequest(t, target, "a1", func(h http.Header) { h.Set(targetapi.HeaderOrderKey, "k1") })
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, "a1", res.Header.Get(targetapi.HeaderAttempt))
	require.Equal(t, "1.1", res.Header.Get(targetapi.HeaderSnapshot))
	require.Equal(t, targetapi.Checksum(body), res.Header.Get(targetapi.HeaderChecksum))
	var p Payload
	require.NoError(t, json.Unmarshal(body, &p))
	require.Equal(t, targetapi.Checksum([]byte("body of a1")), p.Request)
	require.Equal(t, 1, target.Executions("a1"))
	require.Equal(t, 1, target.OrderExecutions("k1"))
}

// Guards against a refusal that is counted as an execution. Tests could then not detect a
// false not_run.
func TestRefusalsAreNotExecuted(t *testing.T) {
	target := startTarget(t, nil)
	for reason, change := range map[string]func(http.Header){
		targetapi.NotRunNoSnapshot: func(h http.Header) { h.Set(targetapi.HeaderSnapshot, "1.2") },
		targetapi.NotRunDeadline:   func(h http.Header) { h.Set(targetapi.HeaderTimeoutMS, "0") },
	} {
		res, _, err := sendSubRequest(t, target, reason, change)
		require.NoError(t, err)
		require.Equal(t, reason, res.Header.Get(targetapi.HeaderNotRun))
		require.Equal(t, refusalStatus[reason], res.StatusCode)
		require.Zero(t, target.Executions(model.AttemptID(reason)))
	}
}

// Guards against a stand-in target without limits: sub-requests beyond the slots and
// the queue have to be shed.
func TestShedsWhenSlotsAndQueueAreFull(t *testing.T) {
	target := startTarget(t, func(c *Config) {
		c.Slots, c.Queue = 1, 1
		c.ServiceTime = Distribution{Kind: "fixed", Value: 200 * time.Millisecond}
	})
	var wg sync.WaitGroup
	statuses := make(chan int, 6)
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := http.DefaultClient.Do(newSubRequest(t, target, string(rune('a'+i)), nil))
			if err == nil {
				statuses <- res.StatusCode
				_ = res.Body.Close()
			}
		}()
	}
	wg.Wait()
	close(statuses)
	seen := map[int]int{}
	for s := range statuses {
		seen[s]++
	}
	require.Positive(t, seen[http.StatusTooManyRequests])
	require.Equal(t, 1, target.Counts().HighestInFlight)
	require.Equal(t, target.Counts().Executed, seen[http.StatusOK])
}

// Guards against a connection limit that is announced but not enforced.
func TestRefusesConnectionsBeyondLimit(t *testing.T) {
	target := startTarget(t, func(c *Config) {
		c.ConnectionLimit, c.Slots = 1, 5
		c.ServiceTime = Distribution{Kind: "fixed", Value: 200 * time.Millisecond}
	})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if res, err := http.DefaultClient.Do(newSubRequest(t, target, string(rune('a'+i)), nil)); err == nil {
				_ = res.Body.Close()
			}
		}()
	}
	wg.Wait()
	require.Equal(t, 1, target.Counts().HighestConnections)
	require.Positive(t, target.Counts().RefusedConnections)
}

// Guards against faults that a test enables but that are not injected.
func TestFaults(t *testing.T) {
	target := startTarget(t, nil)
	_, _, err := sendSubRequest(t, target, "first", nil)
	require.NoError(t, err)
	setFault := func(name string) {
		body, err := json.Marshal([]FaultSpec{{Name: name, Share: 1}})
		require.NoError(t, err)
		res, err := http.Post("http://"+target.ControlAddr()+PathFaults, "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.NoError(t, res.Body.Close())
	}
	setFault("crossed")
	res, _, err := sendSubRequest(t, target, "second", nil)
	require.NoError(t, err)
	require.Equal(t, "first", res.Header.Get(targetapi.HeaderAttempt))
	setFault("truncated")
	_, _, err = sendSubRequest(t, target, "third", nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	setFault("damaged")
	res, body, err := sendSubRequest(t, target, "fourth", nil)
	require.NoError(t, err)
	require.NotEqual(t, targetapi.Checksum(body), res.Header.Get(targetapi.HeaderChecksum))
	setFault("error")
	res, _, err = sendSubRequest(t, target, "fifth", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, res.StatusCode)
	require.Equal(t, 4, target.Counts().Faulty)
}

// Guards against a stand-in target that still announces itself to VMs that are no longer
// responsible, or that never sends its layout.
func TestAnnouncesToResponsibleVMs(t *testing.T) {
	announcements := make(chan targetapi.Announcement, 64)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := targetapi.Decode(r.Body)
		if err == nil {
			announcements <- targetapi.Encode(a)
		}
		writeJSON(w, targetapi.AnnounceResponse{NeedLayout: err == nil && len(a.LayoutShards) == 0})
	}))
	defer second.Close()
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, targetapi.AnnounceResponse{Responsible: []string{second.URL + targetapi.PathAnnounce}})
	}))
	defer first.Close()
	target := startTarget(t, func(c *Config) {
		c.AnnounceURLs = []string{first.URL + targetapi.PathAnnounce}
		c.Lease = 500 * time.Millisecond
	})
	a := <-announcements
	require.NotEmpty(t, a.Layout.Shards, "the first announcement to a VM carries the layout")
	next := <-announcements
	require.Empty(t, next.Layout.Shards)
	require.Greater(t, next.Sequence, a.Sequence)
	target.SetIndexVersions([]model.IndexVersion{1, 2})
	for len((<-announcements).IndexVersions) != 2 {
	}
	target.Leave(time.Minute)
	for (<-announcements).State != string(model.TargetDraining) {
	}
}

// Guards against a frozen target that replies, and against a target that stays frozen after Thaw.
func TestFreezeAndThaw(t *testing.T) {
	target := startTarget(t, nil)
	target.Freeze()
	client := &http.Client{Timeout: 100 * time.Millisecond}
	_, err := client.Do(newSubRequest(t, target, "a1", nil))
	require.Error(t, err)
	target.Thaw()
	res, _, err := sendSubRequest(t, target, "a2", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// Guards against a key that a file or flag accepts but does not set, and against unknown keys that are
// accepted.
func TestParseFile(t *testing.T) {
	configs, err := ParseFile("t.ini", []byte("[target b1]\nservice = billing\navailability_zone = a\nlayout_shards = 1:0.25,2:0.75\nshards = 2\nservice_time = lognormal:2ms:0.5\nconnect_time = 6ms\n[target b2]\nlayout_shards = 4\n"))
	require.NoError(t, err)
	require.Len(t, configs, 2)
	require.Equal(t, []model.Shard{{ID: 1, Share: 0.25}, {ID: 2, Share: 0.75}}, configs[0].LayoutShards)
	require.Equal(t, []model.ShardID{2}, configs[0].Shards)
	require.Equal(t, "lognormal:2ms:0.5", configs[0].ServiceTime.String())
	require.Equal(t, 6*time.Millisecond, configs[0].ConnectTime)
	require.Len(t, configs[1].LayoutShards, 4)
	for _, bad := range []string{"[target b1]\nslot = 3\n", "[b1]\nslots = 3\n", "[target b1]\nservice_time = 3\n", "[target b1]\nslots = x\n"} {
		_, err := ParseFile("t.ini", []byte(bad))
		require.Error(t, err, bad)
	}
}

// Guards against targets that fail to listen while processes are started. A process that is
// forked while a listener is open holds its port until it executes its program, so closing the listener and listening
// again fails at times.
func TestStartWhileProcessesFork(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 3 {
		starters.Add(1)
		go func() {
			defer starters.Done()
			for {
				select {
				case <-stop:
					return
				default:
					if err := exec.Command("true").Run(); err != nil {
						t.Error(err)
						return
					}
				}
			}
		}()
	}
	defer starters.Wait()
	defer close(stop)
	for range 500 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		target, err := Start(Config{Service: "billing", ID: "b1", AvailabilityZone: "a", Listener: l})
		require.NoError(t, err)
		require.Equal(t, l.Addr().String(), target.Addr())
		target.Close()
	}
}
