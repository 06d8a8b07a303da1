package integration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// targetLease is short, so that scenarios in which leases expire do not take long.
const targetLease = "1500ms"

// cmdTarget starts and changes stand-in targets:
//
//	target start SERVICE/ID zone=a [option=value ...]
//	target fault SERVICE/ID [NAME share=1 [delay=DISTRIBUTION]]
//	target index|layout|leave|misreport|freeze|thaw|stop SERVICE/ID [option=value ...]
func (s *scenario) cmdTarget(args []string) error {
	if len(args) < 2 {
		return errors.New("use target ACTION SERVICE/ID [option=value ...]")
	}
	positional, named := options(args[2:])
	for _, name := range strings.Split(args[1], ",") {
		if err := s.runTargetAction(args[0], name, positional, cloneOptions(named)); err != nil {
			return err
		}
	}
	return nil
}

func cloneOptions(in map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range in {
		out[k] = v
	}
	return out
}

func (s *scenario) runTargetAction(action, name string, positional []string, named map[string]string) error {
	if action == "start" {
		return s.startTarget(name, named)
	}
	t, err := s.target(name)
	if err != nil {
		return err
	}
	switch action {
	case "fault":
		return setFault(t, positional, named)
	case "index":
		return s.changeIndex(t, named)
	case "layout":
		return s.changeLayout(t, named)
	case "misreport":
		return misreportLoad(t, named)
	case "leave":
		drain, err := time.ParseDuration(popOption(named, "drain", "1s"))
		if err != nil {
			return err
		}
		t.Leave(drain)
	case "freeze":
		t.Freeze()
	case "thaw":
		t.Thaw()
	case "stop":
		t.Stop()
	default:
		return fmt.Errorf("unknown target action %q", action)
	}
	return checkNoOptionsLeft(named)
}

// startTarget starts a target on its own IP address. Entry VMs reach it through a gateway, and it reaches them through
// links.
func (s *scenario) startTarget(name string, named map[string]string) error {
	service, id, ok := strings.Cut(name, "/")
	if !ok {
		return fmt.Errorf("target %q is not of the form SERVICE/ID", name)
	}
	zone := popOption(named, "zone", "a")
	ip := fmt.Sprintf("%s%d", s.ipBase, 100+len(s.targetZones))
	if previous := s.targets[name]; previous != nil {
		previous.Close()
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	started := false
	defer func() {
		if !started {
			_ = listener.Close()
		}
	}()
	advertise, err := s.mesh.gateway(name, listener.Addr().String())
	if err != nil {
		return err
	}
	s.mesh.recordNode(ip, name)
	s.targetZones[name] = zone
	cfg := standin.Config{Service: model.ServiceName(service), ID: model.TargetID(id), AvailabilityZone: model.AvailabilityZone(zone), Listener: listener, Advertise: advertise, Seed: uint64(s.number)}
	if cfg.AnnounceURLs, err = s.announceURLs(name, zone); err != nil {
		return err
	}
	if named["lease"] == "" {
		named["lease"] = targetLease
	}
	for _, o := range standin.Options() {
		if v, ok := named[o.Name]; ok {
			if err := o.Set(&cfg, v); err != nil {
				return err
			}
			delete(named, o.Name)
		}
	}
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	t, err := standin.Start(cfg)
	if err != nil {
		return err
	}
	started = true
	s.targets[name] = t
	if len(cfg.LayoutShards) == 0 {
		cfg.LayoutShards = standin.EvenShards(1)
	}
	s.recordLayout(cfg.Service, max(cfg.Layout, 1), cfg.LayoutShards)
	return nil
}

// announceURLs returns the announcement URLs of the entry VMs in the target's availability zone.
func (s *scenario) announceURLs(name, zone string) ([]string, error) {
	var urls []string
	for _, v := range s.vms {
		if v.zone != zone || !v.hasRole("entry") {
			continue
		}
		addr, err := s.mesh.link(name, v.name, v.addr(portAnnounce))
		if err != nil {
			return nil, err
		}
		urls = append(urls, "http://"+addr+targetapi.PathAnnounce)
	}
	return urls, nil
}

// recordLayout records the shards of a layout for the checker. The shards that are recorded first for a number are kept.
func (s *scenario) recordLayout(service model.ServiceName, n model.LayoutNumber, shards []model.Shard) {
	s.layoutsLock.Lock()
	defer s.layoutsLock.Unlock()
	if s.layouts[service] == nil {
		s.layouts[service] = map[model.LayoutNumber]*model.Layout{}
	}
	if s.layouts[service][n] == nil {
		s.layouts[service][n] = &model.Layout{Service: service, Number: n, Shards: shards}
	}
}

// setFault sets the one fault of a target, or removes all faults when none is named.
func setFault(t *standin.Target, positional []string, named map[string]string) error {
	if len(positional) == 0 {
		return t.SetFaults(nil)
	}
	share, err := strconv.ParseFloat(popOption(named, "share", "1"), 64)
	if err != nil {
		return err
	}
	delay, err := standin.ParseDistribution(popOption(named, "delay", ""))
	if err != nil {
		return err
	}
	if err := checkNoOptionsLeft(named); err != nil {
		return err
	}
	return t.SetFaults([]standin.FaultSpec{{Name: positional[0], Share: share, Delay: delay}})
}

func (s *scenario) changeIndex(t *standin.Target, named map[string]string) error {
	var c standin.Config
	if err := setOption(&c, "index_versions", popOption(named, "versions", "")); err != nil {
		return err
	}
	t.SetIndexVersions(c.IndexVersions)
	return checkNoOptionsLeft(named)
}

func (s *scenario) changeLayout(t *standin.Target, named map[string]string) error {
	var c standin.Config
	for option, key := range map[string]string{"layout": "number", "layout_shards": "layout_shards", "shards": "shards"} {
		if err := setOption(&c, option, popOption(named, key, "")); err != nil {
			return err
		}
	}
	s.recordLayout(t.Key().Service, c.Layout, c.LayoutShards)
	if err := t.SetLayout(c.Layout, c.LayoutShards, c.Shards); err != nil {
		return err
	}
	return checkNoOptionsLeft(named)
}

// misreportLoad makes the target report an old load or a multiple of its load.
func misreportLoad(t *standin.Target, named map[string]string) error {
	lag, err := time.ParseDuration(popOption(named, "lag", "0s"))
	if err != nil {
		return err
	}
	factor, err := strconv.ParseFloat(popOption(named, "factor", "1"), 64)
	if err != nil {
		return err
	}
	t.SetLoadReport(lag, factor)
	return checkNoOptionsLeft(named)
}

func setOption(c *standin.Config, name, value string) error {
	for _, o := range standin.Options() {
		if o.Name == name {
			return o.Set(c, value)
		}
	}
	return fmt.Errorf("unknown option %q", name)
}

// countsByName returns the counts of a target by their JSON names.
func countsByName(t *standin.Target) (map[string]float64, error) {
	data, err := json.Marshal(t.Counts())
	if err != nil {
		return nil, err
	}
	var raw map[string]any
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for k, v := range raw {
		if n, ok := v.(float64); ok {
			out[k] = n
		}
	}
	if m, ok := raw["not_run"].(map[string]any); ok {
		for k, v := range m {
			out["not_run."+k] = v.(float64)
		}
	}
	return out, nil
}
