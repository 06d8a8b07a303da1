package announce_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/httperr"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/all"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

const wait = 10 * time.Second

// startVM starts an entry VM without control VMs and returns its kernel and announcement URL. announceSettings are further
// lines of its section announce.
func startVM(t *testing.T, announceSettings string) (*kernel.Kernel, string) {
	t.Helper()
	addr := peertest.FreeAddress()
	text := fmt.Sprintf("[vm]\ncluster = test\nname = vm-1\navailability_zone = az-1\n[log]\nlevel = error\n"+
		"[announce]\nlisten = %s\n%s\n[dissemination]\nservices = depot\n", addr, announceSettings)
	s, err := settings.Parse("test.ini", []byte(text), kernel.SettingsKeys())
	require.NoError(t, err)
	k, err := kernel.New(s)
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	return k, "http://" + addr + targetapi.PathAnnounce
}

func announcement() targetapi.Announcement {
	return targetapi.Announcement{
		Service: "depot", ID: "leaf-1", AvailabilityZone: "az-1", Address: "127.0.0.1:9001", Incarnation: 1, Sequence: 1,
		State: "serving", Layout: targetapi.Layout{Number: 1, Shards: []targetapi.Shard{{ID: 0, Share: 0.5}, {ID: 1, Share: 0.5}}},
		Shards: []uint32{0, 1}, IndexVersions: []uint64{7}, Slots: 2, ConnectionLimit: 25, LeaseMS: 60_000,
	}
}

func post(t *testing.T, url string, body any) (int, targetapi.AnnounceResponse, httperr.Body) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer resp.Body.Close()
	var ok targetapi.AnnounceResponse
	var refused httperr.Body
	if resp.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&ok))
	} else {
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&refused))
	}
	return resp.StatusCode, ok, refused
}

// shardHolders returns how many targets hold shard 1.
func shardHolders(k *kernel.Kernel) int {
	s := k.Context().Control.View().Targets("depot")
	if s == nil {
		return 0
	}
	return len(s.Holders[model.Snapshot{Layout: 1, Index: 7}][1])
}

// Guards against a target whose announcement is accepted but that never becomes a holder of its shards.
func TestAnnouncedTargetBecomesHolder(t *testing.T) {
	k, url := startVM(t, "")
	status, _, _ := post(t, url, announcement())
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return shardHolders(k) == 1 }, wait, time.Millisecond)

	leaving := announcement()
	leaving.Sequence, leaving.State = 2, "leaving"
	status, _, _ = post(t, url, leaving)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return shardHolders(k) == 0 }, wait, time.Millisecond)
}

// Guards against refusals without a kind, a remedy or the right status.
func TestRefusalsAreTyped(t *testing.T) {
	_, url := startVM(t, "")
	unknown := announcement()
	unknown.Service = "nowhere"
	malformed := announcement()
	malformed.Layout.Shards[0].Share = 0.9
	for _, c := range []struct {
		body   any
		status int
		kind   string
	}{
		{unknown, http.StatusNotFound, "not_found"},
		{malformed, http.StatusBadRequest, "invalid"},
		{map[string]int{"surprise": 1}, http.StatusBadRequest, "invalid"},
		{strings.Repeat("x", targetapi.MaxAnnouncementBytes+1), http.StatusRequestEntityTooLarge, "too_large"},
	} {
		status, _, refused := post(t, url, c.body)
		require.Equal(t, c.status, status, refused)
		require.Equal(t, c.kind, refused.Kind)
		require.NotEmpty(t, refused.Remedy)
	}
}

// Guards against slow clients that hold connections and memory without limit.
func TestSlowClientIsDisconnected(t *testing.T) {
	_, url := startVM(t, "read_timeout = 200ms")
	addr := strings.TrimSuffix(strings.TrimPrefix(url, "http://"), targetapi.PathAnnounce)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	data := make([]byte, 4096)
	for err == nil {
		_, err = conn.Read(data)
	}
	var timeout net.Error
	require.False(t, (errors.As(err, &timeout) && timeout.Timeout()), "the server kept a slow connection open")
}
