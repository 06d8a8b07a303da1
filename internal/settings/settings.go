// Package settings reads the settings of one process: its addresses, VM name, availability zone, roles, peers
// and data folder. Settings are separate from the operators' configuration, which applies to the whole system.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/inifile"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// The kinds of traffic that a system serves.
const (
	// TrafficQueries means queries and orders over the product's own protocols.
	TrafficQueries = "queries"
	// TrafficRoutes means requests that are routed to leaves by host and path.
	TrafficRoutes = "routes"
)

// ValueKind is the type of a setting's value.
type ValueKind int

// The types of values.
const (
	KindString ValueKind = iota
	KindInt
	KindFloat
	KindBool
	KindDuration
	KindAddress
	KindList
)

var kindRemedies = map[ValueKind]string{
	KindInt:      "write a whole number",
	KindFloat:    "write a number such as 0.5",
	KindBool:     "write true or false",
	KindDuration: "write a duration with its unit, such as 250ms or 5s",
	KindAddress:  "write an IP address and port, such as 10.0.0.1:7400",
}

// Key describes one setting. Modules register their keys with the kernel, so that unknown keys can be refused.
type Key struct {
	Section string
	Name    string
	Kind    ValueKind
	Default string
	// Min and Max are the limits of a number, or of a duration in seconds. If both are zero, there are none.
	Min, Max float64
	Choices  []string
	Required bool
	Help     string
}

// Peer is another VM of the system.
type Peer struct {
	Name             model.VMName
	Addr             string
	AvailabilityZone model.AvailabilityZone
	Roles            []string
}

// HasRole reports whether the peer has a role.
func (p Peer) HasRole(role string) bool { return slices.Contains(p.Roles, role) }

// Settings holds the validated settings of a process.
type Settings struct {
	Cluster          string
	VM               model.VMName
	AvailabilityZone model.AvailabilityZone
	Roles            []string
	// Traffic is the kind of traffic that the system serves.
	Traffic    string
	Seed       uint64
	DataFolder string
	DrainDelay time.Duration
	DrainLimit time.Duration
	// ZoneRegions maps the availability zones of the system to their regions. It is empty where the settings do not list them.
	ZoneRegions map[model.AvailabilityZone]string
	Peers       []Peer
	// DiscoversPeers reports whether Peers holds the control VMs at the seeds of the settings, from which further peers
	// are discovered. VMs are then named by their IP addresses.
	DiscoversPeers bool

	values    map[string]string
	seedPeers []Peer
}

const peerPrefix = "peer "

// coreKeys are the settings that the kernel itself reads.
var coreKeys = []Key{
	{Section: "vm", Name: "cluster", Required: true, Help: "name of the system that this VM belongs to"},
	{Section: "vm", Name: "name", Required: true, Help: "name of this VM"},
	{Section: "vm", Name: "availability_zone", Required: true, Help: "availability zone of this VM"},
	{Section: "vm", Name: "zone_regions", Kind: KindList, Help: "all availability zones of the system with their regions, such as az-1:north, az-2:north; needed for quotas, evacuations and allowed regions"},
	{Section: "vm", Name: "roles", Kind: KindList, Default: RoleEntry, Choices: []string{RoleEntry, RoleControl}, Help: "roles of this process"},
	{Section: "vm", Name: "traffic", Default: TrafficQueries, Choices: []string{TrafficQueries, TrafficRoutes}, Help: "queries: the product's own protocols; routes: requests routed by host and path"},
	{Section: "vm", Name: "cpu_share", Kind: KindFloat, Default: "1", Min: 0.001, Max: 1024, Help: "cores that the process may use"},
	{Section: "vm", Name: "memory_limit_mb", Kind: KindInt, Default: "0", Max: 1 << 20, Help: "memory that the runtime tries to stay below; 0 is no limit"},
	{Section: "vm", Name: "seed", Kind: KindInt, Default: "0", Help: "seed of random choices; 0 selects a random seed"},
	{Section: "discovery", Name: "seeds", Kind: KindList, Help: "addresses of control VMs, such as 10.0.0.1:8080; only the IP addresses are used"},
	{Section: "discovery", Name: "peer_port", Kind: KindInt, Default: "7400", Min: 1, Max: 65535, Help: "port on which every VM accepts connections of other VMs"},
	{Section: "data", Name: "folder", Help: "folder for durable state; required on control VMs"},
	{Section: "shutdown", Name: "drain_delay", Kind: KindDuration, Default: "5s", Max: 600, Help: "time to continue serving after readiness fails"},
	{Section: "shutdown", Name: "drain_limit", Kind: KindDuration, Default: "30s", Min: 0.01, Max: 3600, Help: "time limit of the whole shutdown"},
}

var peerKeys = []Key{
	{Name: "address", Kind: KindAddress, Required: true, Help: "address of the peer for other VMs"},
	{Name: "availability_zone", Required: true, Help: "availability zone of the peer"},
	{Name: "roles", Kind: KindList, Default: RoleEntry, Choices: []string{RoleEntry, RoleControl}, Help: "roles of the peer"},
}

// Keys returns the keys of the kernel, the keys of a [peer NAME] section and those of the modules.
func Keys(moduleKeys []Key) []Key {
	out := slices.Clone(coreKeys)
	for _, k := range peerKeys {
		k.Section = peerPrefix + "NAME"
		out = append(out, k)
	}
	return append(out, moduleKeys...)
}

// Load reads a settings file and validates it against the core keys and those of the modules.
func Load(path string, moduleKeys []Key) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "name a readable settings file", "cannot read the settings file")
	}
	return Parse(path, data, moduleKeys)
}

// Parse is like Load for a file that has been read already.
func Parse(name string, data []byte, moduleKeys []Key) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	schema := append(slices.Clone(coreKeys), moduleKeys...)
	s := &Settings{values: map[string]string{}}
	for _, k := range schema {
		s.values[k.Section+"."+k.Name] = k.Default
	}
	for _, sec := range f.Sections {
		if err := s.readSection(f.Name, sec, schema); err != nil {
			return nil, err
		}
	}
	for _, k := range schema {
		if k.Required && s.values[k.Section+"."+k.Name] == "" {
			return nil, errs.New(errs.KindInvalid, "add the key: "+k.Help, "%s: [%s] %s is missing", f.Name, k.Section, k.Name)
		}
	}
	return s, s.loadCoreFields(f.Name)
}

func (s *Settings) readSection(file string, sec inifile.Section, schema []Key) error {
	if strings.HasPrefix(sec.Name, peerPrefix) {
		return s.readPeer(file, sec)
	}
	known := map[string]Key{}
	for _, k := range schema {
		if k.Section == sec.Name {
			known[k.Name] = k
		}
	}
	if len(known) == 0 {
		return errs.New(errs.KindInvalid, "remove it, or see `chestnuttiller check --list-settings`", "%s:%d: section [%s] is not known", file, sec.Line, sec.Name)
	}
	for _, kv := range sec.Keys {
		if err := checkKey(file, sec.Name, kv, known); err != nil {
			return err
		}
		s.values[sec.Name+"."+kv.Name] = kv.Value
	}
	return nil
}

func checkKey(file, section string, kv inifile.Key, known map[string]Key) error {
	k, ok := known[kv.Name]
	if !ok {
		names := make([]string, 0, len(known))
		for n := range known {
			names = append(names, n)
		}
		slices.Sort(names)
		return errs.New(errs.KindInvalid, "use one of "+strings.Join(names, ", "), "%s:%d: key %q of [%s] is not known", file, kv.Line, kv.Name, section)
	}
	if err := k.check(kv.Value); err != nil {
		return errs.Wrap(err, errs.KindInvalid, errs.RemedyOf(err), "%s:%d: [%s] %s", file, kv.Line, section, kv.Name)
	}
	return nil
}

func (s *Settings) readPeer(file string, sec inifile.Section) error {
	known := map[string]Key{}
	values := map[string]string{}
	for _, k := range peerKeys {
		known[k.Name] = k
		values[k.Name] = k.Default
	}
	for _, kv := range sec.Keys {
		if err := checkKey(file, sec.Name, kv, known); err != nil {
			return err
		}
		values[kv.Name] = kv.Value
	}
	for _, k := range peerKeys {
		if k.Required && values[k.Name] == "" {
			return errs.New(errs.KindInvalid, "add the key", "%s:%d: [%s] %s is missing", file, sec.Line, sec.Name, k.Name)
		}
	}
	s.Peers = append(s.Peers, Peer{
		Name: model.VMName(strings.TrimSpace(strings.TrimPrefix(sec.Name, peerPrefix))), Addr: values["address"],
		AvailabilityZone: model.AvailabilityZone(values["availability_zone"]), Roles: splitList(values["roles"]),
	})
	return nil
}

// loadCoreFields sets the fields of the core keys and validates the rules that concern several keys.
func (s *Settings) loadCoreFields(file string) error {
	s.Cluster = s.String("vm", "cluster")
	s.VM = model.VMName(s.String("vm", "name"))
	s.AvailabilityZone = model.AvailabilityZone(s.String("vm", "availability_zone"))
	s.Roles = s.List("vm", "roles")
	s.Traffic = s.String("vm", "traffic")
	s.Seed = uint64(s.Int("vm", "seed"))
	s.DataFolder = s.String("data", "folder")
	s.DrainDelay = s.Duration("shutdown", "drain_delay")
	s.DrainLimit = s.Duration("shutdown", "drain_limit")
	s.ZoneRegions = map[model.AvailabilityZone]string{}
	for _, entry := range s.List("vm", "zone_regions") {
		zone, region, ok := strings.Cut(entry, ":")
		zone, region = strings.TrimSpace(zone), strings.TrimSpace(region)
		if !ok || zone == "" {
			return errs.New(errs.KindInvalid, "write each availability zone with its region, such as az-1:north", "%s: [vm] zone_regions has %q", file, entry)
		}
		s.ZoneRegions[model.AvailabilityZone(zone)] = region
	}
	if s.HasRole(RoleControl) && s.DataFolder == "" {
		return errs.New(errs.KindInvalid, "add [data] folder", "%s: a control VM needs a data folder", file)
	}
	if s.DrainDelay > s.DrainLimit {
		return errs.New(errs.KindInvalid, "raise drain_limit", "%s: [shutdown] drain_delay %s is above drain_limit %s", file, s.DrainDelay, s.DrainLimit)
	}
	if err := s.addSeeds(file); err != nil {
		return err
	}
	// The VM may be in its own list of peers, so that all VMs of a system can share one list.
	s.Peers = slices.DeleteFunc(s.Peers, func(p Peer) bool { return p.Name == s.VM })
	return nil
}

// addSeeds adds the control VMs at the seeds as peers.
func (s *Settings) addSeeds(file string) error {
	seeds := s.List("discovery", "seeds")
	if len(seeds) == 0 {
		return nil
	}
	s.DiscoversPeers = true
	if len(s.Peers) > 0 {
		return errs.New(errs.KindInvalid, "remove the [peer ...] sections or [discovery] seeds", "%s: the settings have both [peer ...] sections and [discovery] seeds", file)
	}
	if _, err := netip.ParseAddr(string(s.VM)); err != nil {
		return errs.New(errs.KindInvalid, "name the VM by its IP address", "%s: [vm] name %q is not an IP address, but other VMs discover this VM by its name", file, s.VM)
	}
	for _, seed := range seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			return errs.New(errs.KindInvalid, "write an IP address and port, such as 10.0.0.1:8080", "%s: [discovery] seeds has %q, which is not an IP address and port", file, seed)
		}
		s.seedPeers = append(s.seedPeers, s.ControlPeer(model.VMName(a.Addr().String())))
	}
	s.Peers = slices.Clone(s.seedPeers)
	return nil
}

// PoolZones is the value of [forward] repeat_pool with which the owners of allowances in the availability zones grant extra attempts.
const PoolZones = "zones"

// PoolsExtrasInZones reports whether the owners of allowances grant extra attempts.
func (s *Settings) PoolsExtrasInZones() bool { return s.values["forward.repeat_pool"] == PoolZones }

// SeedPeers returns the control VMs at the seeds, this VM included if it is one of them.
func (s *Settings) SeedPeers() []Peer { return s.seedPeers }

// ControlPeer returns the peer of a discovered control VM.
func (s *Settings) ControlPeer(vm model.VMName) Peer {
	return Peer{Name: vm, Addr: net.JoinHostPort(string(vm), s.String("discovery", "peer_port")), Roles: []string{RoleControl}}
}

// EntryPeer returns the peer of a discovered entry VM.
func (s *Settings) EntryPeer(vm model.VMName) Peer {
	p := s.ControlPeer(vm)
	p.Roles = []string{RoleEntry}
	return p
}

// check returns an error if a value does not fit the key.
func (k Key) check(v string) error {
	var number float64
	var err error
	switch k.Kind {
	case KindInt:
		var n int64
		n, err = strconv.ParseInt(v, 10, 64)
		number = float64(n)
	case KindFloat:
		number, err = strconv.ParseFloat(v, 64)
	case KindBool:
		_, err = strconv.ParseBool(v)
	case KindDuration:
		var d time.Duration
		d, err = time.ParseDuration(v)
		number = d.Seconds()
	case KindAddress:
		_, err = netip.ParseAddrPort(v)
	}
	if err != nil {
		return errs.New(errs.KindInvalid, kindRemedies[k.Kind], "value %q has the wrong form", v)
	}
	if (k.Min != 0 || k.Max != 0) && (number < k.Min || number > k.Max) {
		unit := ""
		if k.Kind == KindDuration {
			unit = " seconds"
		}
		return errs.New(errs.KindInvalid, fmt.Sprintf("use a value from %v to %v%s", k.Min, k.Max, unit), "value %q is out of range", v)
	}
	return k.checkChoices(v)
}

func (k Key) checkChoices(v string) error {
	if len(k.Choices) == 0 {
		return nil
	}
	parts := []string{v}
	if k.Kind == KindList {
		parts = splitList(v)
	}
	for _, p := range parts {
		if !slices.Contains(k.Choices, p) {
			return errs.New(errs.KindInvalid, "use "+strings.Join(k.Choices, " or "), "value %q is not allowed", p)
		}
	}
	return nil
}

// HasRole reports whether the process has a role.
func (s *Settings) HasRole(role string) bool { return slices.Contains(s.Roles, role) }

// String returns the value of a key, or its default. It panics if no schema lists the key, which is a programming
// error.
func (s *Settings) String(section, key string) string {
	v, ok := s.values[section+"."+key]
	if !ok {
		panic(fmt.Sprintf("settings: key [%s] %s is in no schema", section, key))
	}
	return v
}

// Int returns a validated whole number.
func (s *Settings) Int(section, key string) int {
	n, _ := strconv.Atoi(s.String(section, key))
	return n
}

// Float returns a validated number.
func (s *Settings) Float(section, key string) float64 {
	f, _ := strconv.ParseFloat(s.String(section, key), 64)
	return f
}

// Bool returns a validated boolean.
func (s *Settings) Bool(section, key string) bool {
	b, _ := strconv.ParseBool(s.String(section, key))
	return b
}

// Duration returns a validated duration.
func (s *Settings) Duration(section, key string) time.Duration {
	d, _ := time.ParseDuration(s.String(section, key))
	return d
}

// List returns the elements of a comma-separated list.
func (s *Settings) List(section, key string) []string { return splitList(s.String(section, key)) }

func splitList(v string) []string {
	var out []string
	for _, p := range strings.Split(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}
