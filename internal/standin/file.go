package standin

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/inifile"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const targetPrefix = "target "

// Option is a named field of a Config that is set from a file or a flag.
type Option struct {
	Name string
	Help string
	set  func(c *Config, value string) error
}

// Set parses a value and sets the option in c.
func (o Option) Set(c *Config, value string) error {
	return errs.Wrap(o.set(c, value), errs.KindInvalid, "write "+o.Help, "%s = %s", o.Name, value)
}

// Options returns all options, sorted by name.
func Options() []Option {
	out := []Option{
		{"service", "the name of the service", func(c *Config, v string) error { c.Service = model.ServiceName(v); return nil }},
		{"id", "the target's name within its service", func(c *Config, v string) error { c.ID = model.TargetID(v); return nil }},
		{"availability_zone", "the availability zone", func(c *Config, v string) error { c.AvailabilityZone = model.AvailabilityZone(v); return nil }},
		{"listen", "the address of the sub-request listener", func(c *Config, v string) error { c.Listen = v; return nil }},
		{"advertise", "the address to announce in place of listen", func(c *Config, v string) error { c.Advertise = v; return nil }},
		{"control", "the address of the control endpoint", func(c *Config, v string) error { c.Control = v; return nil }},
		{"announce", "announcement URLs separated by commas", func(c *Config, v string) error { c.AnnounceURLs = splitList(v); return nil }},
		{"layout", "the number of the partition layout", func(c *Config, v string) error { return parseUint(v, (*uint64)(&c.Layout)) }},
		{"layout_shards", "a number of equal shards, or id:share pairs separated by commas", func(c *Config, v string) (err error) { c.LayoutShards, err = parseLayout(v); return err }},
		{"shards", "the shards held, separated by commas", func(c *Config, v string) error { return parseUints(v, &c.Shards) }},
		{"index_versions", "the index versions held, separated by commas", func(c *Config, v string) error { return parseUints(v, &c.IndexVersions) }},
		{"slots", "the number of sub-requests that run at once", func(c *Config, v string) error { return parseInt(v, &c.Slots) }},
		{"queue", "the number of sub-requests that may wait for a slot", func(c *Config, v string) error { return parseInt(v, &c.Queue) }},
		{"connections", "the limit of open connections", func(c *Config, v string) error { return parseInt(v, &c.ConnectionLimit) }},
		{"connect_time", "the delay before the first byte of a new connection, such as 6ms", func(c *Config, v string) error { return parseDuration(v, &c.ConnectTime) }},
		{"network_delay", "a delay of each reply, such as 1ms", func(c *Config, v string) error { return parseDuration(v, &c.NetworkDelay) }},
		{"service_time", distributionRemedy, func(c *Config, v string) error { return c.ServiceTime.UnmarshalText([]byte(v)) }},
		{"cold_for", "the time for which the target is cold, such as 2s", func(c *Config, v string) error { return parseDuration(v, &c.ColdFor) }},
		{"cold_factor", "the factor on service times of a cold target", func(c *Config, v string) error { return parseFloat(v, &c.ColdFactor) }},
		{"lease", "the lease of an announcement, such as 3s", func(c *Config, v string) error { return parseDuration(v, &c.Lease) }},
		{"load_lag", "the delay of reported load, such as 1s", func(c *Config, v string) error { return parseDuration(v, &c.LoadLag) }},
		{"load_factor", "the factor on reported load", func(c *Config, v string) error { return parseFloat(v, &c.LoadFactor) }},
		{"body_bytes", "the minimum size of a reply's body", func(c *Config, v string) error { return parseInt(v, &c.BodyBytes) }},
		{"seed", "the seed of service times and faults", func(c *Config, v string) error { return parseUint(v, &c.Seed) }},
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ParseFile parses an INI file that has one section [target ID] for each target.
func ParseFile(name string, data []byte) ([]Config, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	options := map[string]Option{}
	for _, o := range Options() {
		options[o.Name] = o
	}
	var out []Config
	for _, sec := range f.Sections {
		if !strings.HasPrefix(sec.Name, targetPrefix) {
			return nil, errs.New(errs.KindInvalid, "write [target ID]", "%s:%d: section [%s] is not known", name, sec.Line, sec.Name)
		}
		c := Config{ID: model.TargetID(strings.TrimSpace(strings.TrimPrefix(sec.Name, targetPrefix)))}
		for _, kv := range sec.Keys {
			o, ok := options[kv.Name]
			if !ok {
				return nil, errs.New(errs.KindInvalid, "see `chestnuttiller target --help`", "%s:%d: key %q is not known", name, kv.Line, kv.Name)
			}
			if err := o.Set(&c, kv.Value); err != nil {
				return nil, errs.Wrap(err, errs.KindInvalid, errs.RemedyOf(err), "%s:%d", name, kv.Line)
			}
		}
		out = append(out, c)
	}
	return out, nil
}

// parseLayout parses the number of equal shards, or id:share pairs.
func parseLayout(text string) ([]model.Shard, error) {
	if n, err := strconv.Atoi(text); err == nil && n > 0 {
		return EvenShards(n), nil
	}
	var out []model.Shard
	for _, pair := range splitList(text) {
		id, share, _ := strings.Cut(pair, ":")
		n, err := strconv.ParseUint(id, 10, 32)
		if err != nil {
			return nil, err
		}
		f, err := strconv.ParseFloat(share, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, model.Shard{ID: model.ShardID(n), Share: f})
	}
	return out, nil
}

func parseUints[T ~uint32 | ~uint64](text string, out *[]T) error {
	*out = nil
	for _, p := range splitList(text) {
		n, err := strconv.ParseUint(p, 10, 64)
		if err != nil {
			return err
		}
		*out = append(*out, T(n))
	}
	return nil
}

func parseUint(text string, out *uint64) (err error) {
	*out, err = strconv.ParseUint(text, 10, 64)
	return err
}

func parseInt(text string, out *int) (err error) {
	*out, err = strconv.Atoi(text)
	return err
}

func parseFloat(text string, out *float64) (err error) {
	*out, err = strconv.ParseFloat(text, 64)
	return err
}

func parseDuration(text string, out *time.Duration) (err error) {
	*out, err = time.ParseDuration(text)
	return err
}

func splitList(text string) []string {
	var out []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}
