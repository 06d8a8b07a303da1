package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got. A status of 0 means that there was no complete answer.
type answer struct {
	id     string
	sent   time.Time
	status int
	header http.Header
	body   string
	err    error
}

var attempts atomic.Int64

func newID() string {
	return fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&0xffffffffffff, attempts.Add(1)&0xffff)
}

// client keeps its connections open, as most clients do.
type client struct {
	rec  *recorder
	http *http.Client
	host string
}

func newClient(rec *recorder, host string) *client {
	return &client{rec: rec, host: host, http: &http.Client{
		Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// request sends one client attempt to an entry node.
func (c *client) request(n *node, method, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":"+portFront+path, reader)
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.header, a.body = resp.Header, string(data)
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err = err
	c.rec.logf("client: %s %s to %s, attempt %s: status %d, stamp %q, body of %d bytes, error %v", method, path, n.ip, a.id, a.status, a.header.Get("Server-Stamp"), len(a.body), err)
	return a
}
