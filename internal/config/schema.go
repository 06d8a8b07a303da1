package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// KeyInfo describes one key for operators.
type KeyInfo struct {
	Section string
	Name    string
	Default string
	Help    string
}

// serviceKey is one key of [defaults] and [service NAME]. The function set checks a value and stores it; get returns
// the stored value in the form that set reads, so that differences are shown as operators write them.
type serviceKey struct {
	name         string
	defaultValue string
	help         string
	set          func(c *model.ServiceConfig, value string) error
	get          func(c *model.ServiceConfig) string
}

// maxDeadline limits deadlines, since a longer one only keeps requests that no caller waits for any more.
const maxDeadline = 10 * time.Minute

// maxBodyBytes limits request and response sizes; each request holds its bodies in memory.
const maxBodyBytes = 64 << 20

// maxConcurrency limits the concurrent requests of one service on one entry VM.
const maxConcurrency = 1_000_000

var serviceKeys = []serviceKey{
	durationKey("deadline", "1s", time.Millisecond, maxDeadline, "longest time a request may take",
		func(c *model.ServiceConfig) *time.Duration { return &c.Deadline }),
	numberKey("minimum_coverage", "1", 0, 1, "minimum share of the data that an answer has to cover",
		func(c *model.ServiceConfig) *float64 { return &c.MinimumCoverage }),
	numberKey("snapshot_tolerance", "0", 0, 1, "how far the coverage of a newer index snapshot may be below the best coverage",
		func(c *model.ServiceConfig) *float64 { return &c.SnapshotTolerance }),
	priorityKey(),
	boolKey("idempotent", "true", "whether a request may run more than once; false for orders",
		func(c *model.ServiceConfig) *bool { return &c.Idempotent }),
	finishKey(),
	durationKey("finish_after", "0s", 0, maxDeadline, "with finish = early, minimum time to wait for the remaining data",
		func(c *model.ServiceConfig) *time.Duration { return &c.FinishAfter }),
	choiceKey("routing", "least_loaded", []string{"random", "least_loaded"}, "how targets are chosen",
		func(c *model.ServiceConfig) *string { return &c.Routing }),
	choiceKey("hedge", "quantile", []string{"none", "quantile"}, "when a hedge, a second attempt at another replica, is sent",
		func(c *model.ServiceConfig) *string { return &c.Hedge }),
	numberKey("hedge_quantile", "0.945", 0.5, 0.9999, "latency quantile after which a hedge is sent",
		func(c *model.ServiceConfig) *float64 { return &c.HedgeQuantile }),
	numberKey("hedge_budget", "0.07", 0, 1, "hedges as a share of first attempts",
		func(c *model.ServiceConfig) *float64 { return &c.HedgeBudget }),
	choiceKey("retry", "budget", []string{"none", "budget"}, "whether failed attempts are retried",
		func(c *model.ServiceConfig) *string { return &c.Retry }),
	numberKey("retry_budget", "0.1", 0, 1, "retries as a share of first attempts",
		func(c *model.ServiceConfig) *float64 { return &c.RetryBudget }),
	intKey("max_concurrency", "512", 1, maxConcurrency, "maximum number of concurrent requests of the service on one entry VM",
		func(c *model.ServiceConfig) *int { return &c.MaxConcurrency }),
	numberKey("caller_share", "0.5", 0.01, 1, "largest share of max_concurrency that one caller may use",
		func(c *model.ServiceConfig) *float64 { return &c.CallerShare }),
	intKey("max_request_bytes", "65536", 1, maxBodyBytes, "largest request body",
		func(c *model.ServiceConfig) *int { return &c.MaxRequestBytes }),
	intKey("max_response_bytes", "1048576", 1, maxBodyBytes, "largest reply body of one target",
		func(c *model.ServiceConfig) *int { return &c.MaxResponseBytes }),
}

var serviceKeysByName = func() map[string]serviceKey {
	m := map[string]serviceKey{}
	for _, k := range serviceKeys {
		m[k.name] = k
	}
	return m
}()

// systemKey is one key of [system].
type systemKey struct {
	name         string
	defaultValue string
	help         string
	set          func(c *model.Config, value string) error
	get          func(c *model.Config) string
}

// maxSeats limits the entry VMs that share the connections of a target. Targets limit connections to about 110, so
// that with more seats most seats would be left without a connection.
const maxSeats = 16384

var systemKeys = []systemKey{
	{
		name: "name", help: "name of the system",
		set: func(c *model.Config, v string) error { c.Name = v; return checkName(v) },
		get: func(c *model.Config) string { return c.Name },
	},
	{
		name: "seats", help: "number of entry VMs that share the connections of each target",
		set: func(c *model.Config, v string) error { return parseInt(v, 1, maxSeats, &c.Seats) },
		get: func(c *model.Config) string { return strconv.Itoa(c.Seats) },
	},
	{
		name: "seat_lease", defaultValue: "24h", help: "how long a VM keeps a seat that it does not renew",
		set: func(c *model.Config, v string) error {
			return parseDuration(v, time.Minute, 24*time.Hour, &c.SeatLease)
		},
		get: func(c *model.Config) string { return c.SeatLease.String() },
	},
	{
		name: "claim_retention", defaultValue: "24h", help: "how long the claim on an order is kept",
		set: func(c *model.Config, v string) error {
			return parseDuration(v, time.Minute, 30*24*time.Hour, &c.ClaimRetention)
		},
		get: func(c *model.Config) string { return c.ClaimRetention.String() },
	},
}

// Keys lists the keys of the base file for `check --list-settings` and documentation.
func Keys() []KeyInfo {
	var out []KeyInfo
	for _, k := range systemKeys {
		out = append(out, KeyInfo{sectionSystem, k.name, k.defaultValue, k.help})
	}
	for _, k := range siteKeys {
		out = append(out, KeyInfo{sectionSite + " NAME", k.name, "", k.help})
	}
	for _, k := range serviceKeys {
		out = append(out, KeyInfo{sectionDefaults + "], [" + sectionService + " NAME", k.name, k.defaultValue, k.help})
	}
	return out
}

func durationKey(name, defaultValue string, lowest, highest time.Duration, help string, field func(*model.ServiceConfig) *time.Duration) serviceKey {
	return serviceKey{
		name: name, defaultValue: defaultValue, help: help,
		set: func(c *model.ServiceConfig, v string) error { return parseDuration(v, lowest, highest, field(c)) },
		get: func(c *model.ServiceConfig) string { return field(c).String() },
	}
}

func numberKey(name, defaultValue string, lowest, highest float64, help string, field func(*model.ServiceConfig) *float64) serviceKey {
	return serviceKey{
		name: name, defaultValue: defaultValue, help: help,
		set: func(c *model.ServiceConfig, v string) error { return parseNumber(v, lowest, highest, field(c)) },
		get: func(c *model.ServiceConfig) string { return strconv.FormatFloat(*field(c), 'g', -1, 64) },
	}
}

func intKey(name, defaultValue string, lowest, highest int, help string, field func(*model.ServiceConfig) *int) serviceKey {
	return serviceKey{
		name: name, defaultValue: defaultValue, help: help,
		set: func(c *model.ServiceConfig, v string) error { return parseInt(v, lowest, highest, field(c)) },
		get: func(c *model.ServiceConfig) string { return strconv.Itoa(*field(c)) },
	}
}

func boolKey(name, defaultValue, help string, field func(*model.ServiceConfig) *bool) serviceKey {
	return serviceKey{
		name: name, defaultValue: defaultValue, help: help,
		set: func(c *model.ServiceConfig, v string) error {
			if v != "true" && v != "false" {
				return valueError("write true or false", "value %q is not true or false", v)
			}
			*field(c) = v == "true"
			return nil
		},
		get: func(c *model.ServiceConfig) string { return strconv.FormatBool(*field(c)) },
	}
}

func choiceKey(name, defaultValue string, choices []string, help string, field func(*model.ServiceConfig) *string) serviceKey {
	return serviceKey{
		name: name, defaultValue: defaultValue, help: help,
		set: func(c *model.ServiceConfig, v string) error {
			for _, choice := range choices {
				if v == choice {
					*field(c) = v
					return nil
				}
			}
			return valueError("use "+strings.Join(choices, " or "), "value %q is not allowed", v)
		},
		get: func(c *model.ServiceConfig) string { return *field(c) },
	}
}

func finishKey() serviceKey {
	choices := []string{string(model.FinishWait), string(model.FinishEarly)}
	return choiceKey("finish", string(model.FinishWait), choices, "wait for all data, or finish early at minimum_coverage",
		func(c *model.ServiceConfig) *string { return (*string)(&c.Finish) })
}

func priorityKey() serviceKey {
	return serviceKey{
		name: "priority", defaultValue: model.PriorityNormal.String(), help: "urgent, normal or bulk",
		set: func(c *model.ServiceConfig, v string) error {
			p, ok := model.ParsePriority(v)
			if !ok {
				return valueError("use urgent, normal or bulk", "value %q is not a priority", v)
			}
			c.Priority = p
			return nil
		},
		get: func(c *model.ServiceConfig) string { return c.Priority.String() },
	}
}

func parseDuration(v string, lowest, highest time.Duration, into *time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil || v == "0" {
		return valueError("write a duration with its unit, such as 250ms or 5s", "value %q is not a duration", v)
	}
	if d < lowest || d > highest {
		return valueError(fmt.Sprintf("use a duration from %s to %s", lowest, highest), "value %q is out of range", v)
	}
	*into = d
	return nil
}

func parseNumber(v string, lowest, highest float64, into *float64) error {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f {
		return valueError("write a plain number such as 0.95, without a percent sign", "value %q is not a number", v)
	}
	if f < lowest || f > highest {
		return valueError(fmt.Sprintf("use a number from %v to %v", lowest, highest), "value %q is out of range", v)
	}
	*into = f
	return nil
}

func parseInt(v string, lowest, highest int, into *int) error {
	n, err := strconv.Atoi(v)
	if err != nil {
		return valueError("write a whole number without a unit", "value %q is not a whole number", v)
	}
	if n < lowest || n > highest {
		return valueError(fmt.Sprintf("use a whole number from %d to %d", lowest, highest), "value %q is out of range", v)
	}
	*into = n
	return nil
}

// namePattern keeps names usable in URLs, headers, file names and metric tags.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(v string) error {
	if !namePattern.MatchString(v) {
		return valueError("use at most 63 lower-case letters, digits, dots, dashes and underscores", "name %q is not allowed", v)
	}
	return nil
}

func valueError(remedy, format string, args ...any) error {
	return errs.New(errs.KindInvalid, remedy, format, args...)
}
