package config

import (
	"fmt"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Change is one value that differs between two configurations. Before or After is empty where the value does not
// exist.
type Change struct {
	Service model.ServiceName `json:"service,omitempty"`
	Key     string            `json:"key"`
	Before  string            `json:"before"`
	After   string            `json:"after"`
}

// String returns the change on one line.
func (c Change) String() string {
	name := c.Key
	if c.Service != "" {
		name = string(c.Service) + "." + c.Key
	}
	return fmt.Sprintf("%s: %s -> %s", name, orNone(c.Before), orNone(c.After))
}

func orNone(v string) string {
	if v == "" {
		return "(none)"
	}
	return v
}

// SiteDifference lists the changes at one site.
type SiteDifference struct {
	Site    model.SiteName `json:"site"`
	Changes []Change       `json:"changes"`
}

// Difference lists the values that differ between two configurations: for the whole system and for each site.
type Difference struct {
	System []Change         `json:"system,omitempty"`
	Sites  []SiteDifference `json:"sites,omitempty"`
}

// Empty reports whether both configurations have the same values.
func (d Difference) Empty() bool { return len(d.System) == 0 && len(d.Sites) == 0 }

// Summary returns up to limit lines that describe the difference, for the history.
func (d Difference) Summary(limit int) []string {
	var lines []string
	for _, c := range d.System {
		lines = append(lines, "system "+c.String())
	}
	for _, s := range d.Sites {
		for _, c := range s.Changes {
			lines = append(lines, "site "+string(s.Site)+" "+c.String())
		}
	}
	if len(lines) > limit {
		more := len(lines) - limit + 1
		lines = append(lines[:limit-1], fmt.Sprintf("and %d more changes", more))
	}
	return lines
}

// Diff compares the values of two configurations. Either may be nil.
func Diff(before, after *model.Config) Difference {
	if before == nil {
		before = &model.Config{}
	}
	if after == nil {
		after = &model.Config{}
	}
	var d Difference
	for _, k := range systemKeys {
		d.System = appendChange(d.System, "", k.name, valueOf(before.Name != "", k.get, before), valueOf(after.Name != "", k.get, after))
	}
	for _, name := range union(before.Sites, after.Sites) {
		if changes := diffSite(before.Sites[name], after.Sites[name]); len(changes) > 0 {
			d.Sites = append(d.Sites, SiteDifference{Site: name, Changes: changes})
		}
	}
	return d
}

func diffSite(before, after *model.SiteConfig) []Change {
	var out []Change
	zones := func(s *model.SiteConfig) string {
		var names []string
		for _, z := range s.AvailabilityZones {
			names = append(names, string(z))
		}
		return strings.Join(names, ", ")
	}
	out = appendChange(out, "", "availability_zones", valueOf(before != nil, zones, before), valueOf(after != nil, zones, after))
	if before == nil {
		before = &model.SiteConfig{}
	}
	if after == nil {
		after = &model.SiteConfig{}
	}
	for _, name := range union(before.Services, after.Services) {
		out = append(out, diffService(name, before.Services[name], after.Services[name])...)
	}
	return out
}

// servicePresent is the value in a change that adds or removes a whole service. Listing each key of the service would
// hide the other changes: a first configuration of 27 services at 3 sites has 1,380 keys.
const servicePresent = "present"

func diffService(name model.ServiceName, before, after *model.ServiceConfig) []Change {
	switch {
	case before == nil:
		return []Change{{Service: name, Key: "service", After: servicePresent}}
	case after == nil:
		return []Change{{Service: name, Key: "service", Before: servicePresent}}
	}
	var out []Change
	for _, k := range serviceKeys {
		out = appendChange(out, name, k.name, k.get(before), k.get(after))
	}
	return out
}

func appendChange(out []Change, service model.ServiceName, key, before, after string) []Change {
	if before == after {
		return out
	}
	return append(out, Change{Service: service, Key: key, Before: before, After: after})
}

func valueOf[T any](exists bool, get func(*T) string, of *T) string {
	if !exists {
		return ""
	}
	return get(of)
}

func union[K ~string, V any](a, b map[K]V) []K {
	all := map[K]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return sortedKeys(all)
}
