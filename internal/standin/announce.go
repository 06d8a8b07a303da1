package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// announcer is the part of the control state that sends announcements to renew the lease.
type announcer struct {
	seeds    []string
	urls     []string
	sequence uint64
	// layoutSent holds, by URL, the layout that the VM there already has, so that its shards are not sent again.
	layoutSent map[string]model.LayoutNumber
	// inFlight holds the URLs with an unanswered announcement. The value is true when another one has to follow the
	// response.
	inFlight     map[string]bool
	lastAccepted time.Time
	samples      []loadSample
}

type loadSample struct {
	at   time.Time
	load model.Load
}

func newAnnouncer(cfg Config) announcer {
	return announcer{
		seeds: cfg.AnnounceURLs, urls: slices.Clone(cfg.AnnounceURLs), lastAccepted: time.Now(),
		layoutSent: map[string]model.LayoutNumber{}, inFlight: map[string]bool{},
	}
}

// announce sends one announcement to each URL. A URL that has not responded to the last one gets the new one after its
// response.
func (t *Target) announce(s *controlState) {
	a := &s.announcer
	if time.Since(a.lastAccepted) > t.cfg.Lease {
		a.addSeeds()
	}
	a.sequence++
	load := t.reportedLoad(s)
	for _, url := range a.urls {
		if _, waiting := a.inFlight[url]; waiting {
			a.inFlight[url] = true
			continue
		}
		t.announceTo(s, url, load)
	}
}

// addSeeds adds the configured URLs again. It is used when none of the responsible VMs has accepted a renewal within the
// lease.
func (a *announcer) addSeeds() {
	for _, u := range a.seeds {
		if !slices.Contains(a.urls, u) {
			a.urls = append(a.urls, u)
		}
	}
}

func (t *Target) announceTo(s *controlState, url string, load model.Load) {
	a := &s.announcer
	announcement := model.Announcement{
		Service: t.cfg.Service, ID: t.cfg.ID, AvailabilityZone: t.cfg.AvailabilityZone, Addr: t.addr,
		Incarnation: t.cfg.Incarnation, Sequence: a.sequence, State: s.state,
		Shards: s.shards, IndexVersions: s.versions, Slots: t.cfg.Slots, ConnectionLimit: t.cfg.ConnectionLimit,
		Load: load, Lease: t.cfg.Lease,
	}
	if t.cfg.Advertise != "" {
		announcement.Addr = t.cfg.Advertise
	}
	layout := model.Layout{Service: t.cfg.Service, Number: s.layout, Shards: s.layoutShards}
	announcement.Layout = layout.Ref()
	if a.layoutSent[url] != s.layout {
		announcement.LayoutShards = s.layoutShards
	}
	a.inFlight[url] = false
	layoutNumber := s.layout
	go func() { t.postCommand(t.sendAnnouncement(url, layoutNumber, targetapi.Encode(&announcement))) }()
}

// sendAnnouncement sends an announcement and returns the command that processes the response.
func (t *Target) sendAnnouncement(url string, layout model.LayoutNumber, announcement targetapi.Announcement) func(s *controlState) {
	response, refusal, err := t.postAnnouncement(url, announcement)
	return func(s *controlState) {
		t.recorder.update(func(c *Counts) {
			c.Announced++
			if refusal != "" {
				c.AnnounceRefused++
				c.LastRefusal = refusal
			}
		})
		a := &s.announcer
		resend := a.inFlight[url]
		delete(a.inFlight, url)
		if err == nil && refusal == "" {
			a.applyResponse(url, layout, response)
			resend = resend || (response.NeedLayout && len(announcement.Layout.Shards) == 0)
		}
		if resend && slices.Contains(a.urls, url) {
			a.sequence++
			t.announceTo(s, url, t.reportedLoad(s))
		}
	}
}

// applyResponse records an accepted announcement: whether the layout has to be sent again, and the URLs of the VMs that are
// responsible from now on.
func (a *announcer) applyResponse(url string, layout model.LayoutNumber, response targetapi.AnnounceResponse) {
	a.lastAccepted = time.Now()
	a.layoutSent[url] = layout
	if response.NeedLayout {
		delete(a.layoutSent, url)
	}
	if len(response.Responsible) > 0 {
		a.urls = slices.Clone(response.Responsible)
	}
}

// postAnnouncement posts one announcement. The refusal is empty when the announcement was accepted.
func (t *Target) postAnnouncement(url string, announcement targetapi.Announcement) (response targetapi.AnnounceResponse, refusal string, err error) {
	select {
	case <-t.gate.opened():
	case <-t.done:
		return response, "", context.Canceled
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return response, "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.Lease/3)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.client.Do(req)
	if err != nil {
		return response, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, targetapi.MaxAnnouncementBytes))
	if err != nil {
		return response, "", err
	}
	if res.StatusCode != http.StatusOK {
		return response, res.Status + " " + string(text), nil
	}
	return response, "", json.Unmarshal(text, &response)
}

// reportedLoad returns the load that the target reports: delayed by the load lag and multiplied by the load factor.
func (t *Target) reportedLoad(s *controlState) model.Load {
	now := time.Now()
	a := &s.announcer
	a.samples = append(a.samples, loadSample{now, model.Load{InFlight: int(t.slots.inUse.Load()), Queued: int(t.slots.waiting.Load())}})
	var out model.Load
	for len(a.samples) > 0 && !a.samples[0].at.After(now.Add(-s.loadLag)) {
		out = a.samples[0].load
		if len(a.samples) == 1 || a.samples[1].at.After(now.Add(-s.loadLag)) {
			break
		}
		a.samples = a.samples[1:]
	}
	return model.Load{InFlight: int(float64(out.InFlight) * s.loadFactor), Queued: int(float64(out.Queued) * s.loadFactor)}
}
