// Package config reads the operators' configuration: one base file and one overlay for each site. It checks the files
// as a whole, merges them for each site and compares two configurations. It does no I/O: files are passed as text.
//
// Values are merged from the general to the specific: built-in defaults, [defaults] of the base file,
// [defaults] of the overlay, [service NAME] of the base file, [service NAME] of the overlay.
package config

import (
	"fmt"
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/inifile"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	sectionSystem   = "system"
	sectionDefaults = "defaults"
	sectionSite     = "site"
	sectionService  = "service"
)

const (
	// BaseName is the name of the base file in errors.
	BaseName = "base.ini"
	// OverlaySuffix follows the name of the site in the name of an overlay file.
	OverlaySuffix = ".site.ini"
	// MaxTotalBytes limits all files together. The control group replicates them as one entry of its log, whose size
	// is limited to 1 MiB by default.
	MaxTotalBytes = 512 << 10
	// MaxSites and MaxServices limit the merged configuration that every VM holds.
	MaxSites    = 256
	MaxServices = 4096
	// allServices in the list of a site means every service of the base file.
	allServices = "*"
)

// siteKeys are the keys of [site NAME].
var siteKeys = []struct{ name, help string }{
	{"availability_zones", "availability zones of the site, separated by commas"},
	{"services", "services that the site's entry VMs serve, separated by commas, or * for all"},
}

// location is the file and line of a section or key.
type location struct {
	file string
	line int
}

func (l location) err(remedy, format string, args ...any) error {
	return errs.New(errs.KindInvalid, remedy, "%s:%d: %s", l.file, l.line, fmt.Sprintf(format, args...))
}

// values holds the checked keys of a [defaults] or [service NAME] section.
type values struct {
	at   location
	keys []inifile.Key
}

type site struct {
	at       location
	zones    []model.AvailabilityZone
	services []model.ServiceName
	// servicesAt is the location of the key services, for error messages about its list.
	servicesAt location
}

// base is the base file before the merge.
type base struct {
	config   *model.Config
	defaults values
	services map[model.ServiceName]values
	sites    map[model.SiteName]*site
}

// overlay is the overlay of one site before the merge.
type overlay struct {
	file     string
	defaults values
	services map[model.ServiceName]values
}

// Parse reads, checks and merges the files of a configuration. The revision of the result is 0, since only the control
// group assigns revisions.
func Parse(files model.ConfigFiles) (*model.Config, error) {
	if err := checkSize(files); err != nil {
		return nil, err
	}
	b, err := parseBase(files.Base)
	if err != nil {
		return nil, err
	}
	overlays, err := parseOverlays(files.Overlays, b)
	if err != nil {
		return nil, err
	}
	if err := b.checkSites(); err != nil {
		return nil, err
	}
	for _, name := range sortedKeys(b.sites) {
		merged, err := b.merge(name, overlays[name])
		if err != nil {
			return nil, err
		}
		b.config.Sites[name] = merged
	}
	return b.config, nil
}

func (s *site) serves(name model.ServiceName) bool {
	return slices.Contains(s.services, allServices) || slices.Contains(s.services, name)
}

// checkSites checks the sites against the other sections: the services that they list are configured, and each
// availability zone belongs to one site.
func (b *base) checkSites() error {
	if len(b.sites) == 0 {
		return location{BaseName, 1}.err("add [site NAME] with availability_zones and services", "the configuration has no site")
	}
	owner := map[model.AvailabilityZone]model.SiteName{}
	for _, name := range sortedKeys(b.sites) {
		s := b.sites[name]
		for _, service := range s.services {
			if _, ok := b.services[service]; !ok && service != allServices {
				return s.servicesAt.err("add [service "+string(service)+"] or remove the name from the list",
					"[site %s] services: service %q is not configured", name, service)
			}
		}
		if slices.Contains(s.services, allServices) && len(s.services) > 1 {
			return s.servicesAt.err("write * alone or list the services", "[site %s] services mixes * with names", name)
		}
		for _, zone := range s.zones {
			if other, ok := owner[zone]; ok {
				return s.at.err("keep the availability zone in one of the two sites",
					"[site %s] availability_zones: zone %q belongs to site %q already", name, zone, other)
			}
			owner[zone] = name
		}
	}
	return nil
}

// merge returns the configuration of one site. The overlay may be nil.
func (b *base) merge(name model.SiteName, o *overlay) (*model.SiteConfig, error) {
	s := b.sites[name]
	out := &model.SiteConfig{Name: name, AvailabilityZones: s.zones, Services: map[model.ServiceName]*model.ServiceConfig{}}
	if o == nil {
		o = &overlay{}
	}
	for _, service := range sortedKeys(b.services) {
		if !s.serves(service) {
			continue
		}
		c, err := mergeService(service, b.defaults, o.defaults, b.services[service], o.services[service])
		if err != nil {
			return nil, err
		}
		out.Services[service] = c
	}
	return out, nil
}

// mergeService applies the sections from the general to the specific and checks the merged keys against each other.
func mergeService(name model.ServiceName, sections ...values) (*model.ServiceConfig, error) {
	c := &model.ServiceConfig{Name: name}
	locations := map[string]location{}
	for _, k := range serviceKeys {
		if err := k.set(c, k.defaultValue); err != nil {
			return nil, errs.Wrap(err, errs.KindInternal, "report this fault", "built-in default of %s", k.name)
		}
	}
	for _, v := range sections {
		for _, kv := range v.keys {
			locations[kv.Name] = location{v.at.file, kv.Line}
			if err := serviceKeysByName[kv.Name].set(c, kv.Value); err != nil {
				return nil, locations[kv.Name].err(errs.RemedyOf(err), "%s: %s", kv.Name, errs.MessageOf(err))
			}
		}
	}
	return c, checkService(c, locations, sections)
}

// checkService checks the merged keys of a service against each other.
func checkService(c *model.ServiceConfig, locations map[string]location, sections []values) error {
	if c.Finish == model.FinishEarly && c.FinishAfter >= c.Deadline {
		return locationOf(locations, "finish_after", "finish", "deadline").err("lower finish_after or raise deadline",
			"[service %s] finish_after %s is not below deadline %s", c.Name, c.FinishAfter, c.Deadline)
	}
	if c.Idempotent {
		return nil
	}
	// Orders are never hedged. A hedge in the section of the order service itself is an error; one from [defaults] is
	// meant for the other services and is ignored here.
	for _, v := range sections[len(sections)-2:] {
		for _, kv := range v.keys {
			if kv.Name == "hedge" && kv.Value != "none" {
				return location{v.at.file, kv.Line}.err("remove the key or write hedge = none",
					"[service %s] hedge: requests with idempotent = false are never hedged", c.Name)
			}
		}
	}
	c.Hedge = "none"
	return nil
}

// locationOf returns the location of the first of the keys that the files set, or the start of the base file when none
// of them is set.
func locationOf(locations map[string]location, keys ...string) location {
	for _, k := range keys {
		if at, ok := locations[k]; ok {
			return at
		}
	}
	return location{BaseName, 1}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func convert[T ~string](in []string) []T {
	out := make([]T, 0, len(in))
	for _, s := range in {
		out = append(out, T(s))
	}
	return out
}
