package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/inifile"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func checkSize(files model.ConfigFiles) error {
	total := len(files.Base)
	for _, text := range files.Overlays {
		total += len(text)
	}
	if total > MaxTotalBytes {
		return errs.New(errs.KindTooLarge, fmt.Sprintf("keep base file and overlays below %d bytes in total", MaxTotalBytes),
			"the configuration has %d bytes", total)
	}
	return nil
}

func parseBase(text string) (*base, error) {
	f, err := inifile.Parse(BaseName, []byte(text))
	if err != nil {
		return nil, err
	}
	b := &base{
		config:   &model.Config{Sites: map[model.SiteName]*model.SiteConfig{}},
		services: map[model.ServiceName]values{},
		sites:    map[model.SiteName]*site{},
	}
	systemAt := location{BaseName, 1}
	var system []inifile.Key
	for _, sec := range f.Sections {
		at := location{BaseName, sec.Line}
		kind, name, err := splitSection(at, sec.Name)
		if err != nil {
			return nil, err
		}
		switch kind {
		case sectionSystem:
			systemAt, system = at, sec.Keys
		case sectionDefaults:
			b.defaults, err = checkServiceSection(at, sec)
		case sectionSite:
			err = b.addSite(at, model.SiteName(name), sec)
		case sectionService:
			err = addService(b.services, at, model.ServiceName(name), sec)
		}
		if err != nil {
			return nil, err
		}
	}
	return b, b.readSystem(systemAt, system)
}

// splitSection splits a section name into its kind and the name that follows it. The name is empty for [system] and
// [defaults].
func splitSection(at location, full string) (kind, name string, err error) {
	fields := strings.Fields(full)
	if len(fields) == 0 {
		return "", "", at.err("name the section", "a section has no name")
	}
	kind = fields[0]
	switch kind {
	case sectionSystem, sectionDefaults:
		if len(fields) != 1 {
			return "", "", at.err("write ["+kind+"]", "section [%s] takes no name", full)
		}
		return kind, "", nil
	case sectionSite, sectionService:
		if len(fields) != 2 {
			return "", "", at.err("write ["+kind+" NAME]", "section [%s] needs one name", full)
		}
		if err := checkName(fields[1]); err != nil {
			return "", "", at.err(errs.RemedyOf(err), "section [%s]: %s", full, errs.MessageOf(err))
		}
		return kind, fields[1], nil
	}
	if reason := automationReason(full); reason != "" {
		return "", "", at.err("remove the section", "section [%s] is a decision of the system: %s", full, reason)
	}
	return "", "", at.err("use [system], [defaults], [site NAME] or [service NAME]", "section [%s] is not known", full)
}

func unknownKey(at location, section, key string, known []string) error {
	if reason := automationReason(key); reason != "" {
		return at.err("remove the key", "key %q of [%s] is a decision of the system: %s", key, section, reason)
	}
	return at.err("use one of "+strings.Join(known, ", "), "key %q of [%s] is not known", key, section)
}

func (b *base) readSystem(at location, keys []inifile.Key) error {
	seen := map[string]inifile.Key{}
	for _, kv := range keys {
		seen[kv.Name] = kv
	}
	var known []string
	for _, k := range systemKeys {
		known = append(known, k.name)
		kv, ok := seen[k.name]
		if !ok && k.defaultValue == "" {
			return at.err("add the key: "+k.help, "[system] %s is missing", k.name)
		}
		if !ok {
			kv = inifile.Key{Name: k.name, Value: k.defaultValue, Line: at.line}
		}
		if err := k.set(b.config, kv.Value); err != nil {
			return location{at.file, kv.Line}.err(errs.RemedyOf(err), "[system] %s: %s", k.name, errs.MessageOf(err))
		}
	}
	for _, kv := range keys {
		if !slices.Contains(known, kv.Name) {
			return unknownKey(location{at.file, kv.Line}, sectionSystem, kv.Name, known)
		}
	}
	return nil
}

func (b *base) addSite(at location, name model.SiteName, sec inifile.Section) error {
	if len(b.sites) == MaxSites {
		return at.err("merge sites", "there are more than %d sites", MaxSites)
	}
	if _, ok := b.sites[name]; ok {
		return at.err("keep one of the two", "site %q stands twice", name)
	}
	s := &site{at: at}
	var known []string
	for _, k := range siteKeys {
		known = append(known, k.name)
	}
	for _, kv := range sec.Keys {
		keyAt := location{at.file, kv.Line}
		if !slices.Contains(known, kv.Name) {
			return unknownKey(keyAt, sec.Name, kv.Name, known)
		}
		items, err := splitNames(keyAt, sec.Name, kv)
		if err != nil {
			return err
		}
		if kv.Name == "services" {
			s.services, s.servicesAt = convert[model.ServiceName](items), keyAt
		} else {
			s.zones = convert[model.AvailabilityZone](items)
		}
	}
	for i, list := range []int{len(s.zones), len(s.services)} {
		if list == 0 {
			return at.err("add the key: "+siteKeys[i].help, "[%s] %s is missing or empty", sec.Name, siteKeys[i].name)
		}
	}
	b.sites[name] = s
	return nil
}

// splitNames reads a comma-separated list of names and refuses duplicates.
func splitNames(at location, section string, kv inifile.Key) ([]string, error) {
	var out []string
	for _, item := range strings.Split(kv.Value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		if item != allServices || kv.Name != "services" {
			if err := checkName(item); err != nil {
				return nil, at.err(errs.RemedyOf(err), "[%s] %s: %s", section, kv.Name, errs.MessageOf(err))
			}
		}
		if slices.Contains(out, item) {
			return nil, at.err("keep one of the two", "[%s] %s lists %q twice", section, kv.Name, item)
		}
		out = append(out, item)
	}
	return out, nil
}

func addService(into map[model.ServiceName]values, at location, name model.ServiceName, sec inifile.Section) error {
	if len(into) == MaxServices {
		return at.err("merge services", "there are more than %d services", MaxServices)
	}
	if _, ok := into[name]; ok {
		return at.err("keep one of the two", "service %q stands twice", name)
	}
	v, err := checkServiceSection(at, sec)
	if err != nil {
		return err
	}
	into[name] = v
	return nil
}

// checkServiceSection checks each key of a [defaults] or [service NAME] section on its own.
func checkServiceSection(at location, sec inifile.Section) (values, error) {
	var unused model.ServiceConfig
	v := values{at: at, keys: sec.Keys}
	for _, kv := range sec.Keys {
		keyAt := location{at.file, kv.Line}
		k, ok := serviceKeysByName[kv.Name]
		if !ok {
			var known []string
			for _, k := range serviceKeys {
				known = append(known, k.name)
			}
			return values{}, unknownKey(keyAt, sec.Name, kv.Name, known)
		}
		if err := k.set(&unused, kv.Value); err != nil {
			return values{}, keyAt.err(errs.RemedyOf(err), "[%s] %s: %s", sec.Name, kv.Name, errs.MessageOf(err))
		}
	}
	return v, nil
}

func parseOverlays(texts map[model.SiteName]string, b *base) (map[model.SiteName]*overlay, error) {
	out := map[model.SiteName]*overlay{}
	for _, name := range sortedKeys(texts) {
		file := string(name) + OverlaySuffix
		s, ok := b.sites[name]
		if !ok {
			return nil, errs.New(errs.KindInvalid, "rename the overlay, or add [site "+string(name)+"] to "+BaseName,
				"%s:1: the overlay is for site %q, which %s does not name", file, name, BaseName)
		}
		o, err := parseOverlay(file, texts[name])
		if err != nil {
			return nil, err
		}
		for _, service := range sortedKeys(o.services) {
			if _, ok := b.services[service]; !ok {
				return nil, o.services[service].at.err("add the service to "+BaseName+" or remove the section",
					"service %q is not in %s", service, BaseName)
			}
			if !s.serves(service) {
				return nil, o.services[service].at.err("add the service to the site's list or remove the section",
					"site %q does not serve service %q", name, service)
			}
		}
		out[name] = o
	}
	return out, nil
}

func parseOverlay(file, text string) (*overlay, error) {
	f, err := inifile.Parse(file, []byte(text))
	if err != nil {
		return nil, err
	}
	o := &overlay{file: file, services: map[model.ServiceName]values{}}
	for _, sec := range f.Sections {
		at := location{file, sec.Line}
		kind, name, err := splitSection(at, sec.Name)
		if err != nil {
			return nil, err
		}
		switch kind {
		case sectionDefaults:
			o.defaults, err = checkServiceSection(at, sec)
		case sectionService:
			err = addService(o.services, at, model.ServiceName(name), sec)
		default:
			err = at.err("move the section to "+BaseName, "an overlay holds [defaults] and [service NAME] only, not [%s]", sec.Name)
		}
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}
