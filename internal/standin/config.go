// Package standin implements a stand-in target for the demo and the tests. It follows docs/target-protocol.md, has the
// limits of a real target, injects faults on request, and counts every execution, so that a test can prove from the
// target's own counters what ran and how often.
//
// One control goroutine owns the state of the target. Traffic goroutines read a published view of it.
package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Config is the configuration of one stand-in target.
type Config struct {
	Service          model.ServiceName
	ID               model.TargetID
	AvailabilityZone model.AvailabilityZone
	// Listen is the address of the sub-request listener. Advertise replaces it in announcements when there is a proxy
	// in front of the target.
	Listen    string
	Advertise string
	// Listener replaces Listen when the caller has already opened the listener. Closing it and listening again can fail,
	// because a process that is forked in between holds the port until it executes its program.
	Listener net.Listener
	// Control is the address of the control endpoint. When it is empty there is no control endpoint.
	Control string
	// AnnounceURLs are the initial announcement URLs. Responses to announcements may replace them.
	AnnounceURLs []string
	// Incarnation defaults to the current time when it is 0.
	Incarnation   uint64
	Layout        model.LayoutNumber
	LayoutShards  []model.Shard
	Shards        []model.ShardID
	IndexVersions []model.IndexVersion

	Slots int
	// Queue limits the sub-requests that wait for a slot. 0 means twice the slots but at least 6, a negative number
	// means no queue.
	Queue           int
	ConnectionLimit int
	// ConnectTime delays the first byte of each new connection.
	ConnectTime time.Duration
	// NetworkDelay delays each reply, to simulate the delay between availability zones.
	NetworkDelay time.Duration
	// NetworkPath returns the network delay to the VM at an IP address, and whether the VM can be reached. Bytes from a
	// VM that cannot be reached are dropped. With nil, all VMs can be reached without delay.
	NetworkPath func(ip string) (delay time.Duration, reachable bool)
	ServiceTime Distribution
	// ColdFor is the time for which the target is cold. Service times are multiplied by ColdFactor until then.
	ColdFor    time.Duration
	ColdFactor float64
	Lease      time.Duration
	// LoadLag delays the load that announcements report. LoadFactor multiplies it.
	LoadLag    time.Duration
	LoadFactor float64
	// BodyBytes is the minimum size of a reply's body.
	BodyBytes int
	Seed      uint64
}

func (c *Config) setDefaults() {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.Layout == 0 {
		c.Layout = 1
	}
	if len(c.LayoutShards) == 0 {
		c.LayoutShards = EvenShards(1)
	}
	if len(c.Shards) == 0 {
		for _, s := range c.LayoutShards {
			c.Shards = append(c.Shards, s.ID)
		}
	}
	if len(c.IndexVersions) == 0 {
		c.IndexVersions = []model.IndexVersion{1}
	}
	if c.Queue == 0 {
		c.Queue = 2 * max(c.Slots, 3)
	}
	if c.Slots == 0 {
		c.Slots = 3
	}
	if c.ConnectionLimit == 0 {
		c.ConnectionLimit = 30
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 1
	}
	if c.LoadFactor == 0 {
		c.LoadFactor = 1
	}
	if c.Lease == 0 {
		c.Lease = 3 * time.Second
	}
}

func (c *Config) check() error {
	if c.Service == "" || c.ID == "" || c.AvailabilityZone == "" {
		return errs.New(errs.KindInvalid, "name the service, the target and its availability zone", "stand-in target %q of service %q has no service, ID or availability zone", c.ID, c.Service)
	}
	layout := model.Layout{Service: c.Service, Number: c.Layout, Shards: c.LayoutShards}
	return layout.Validate()
}

// EvenShards returns shards 1 to n with equal shares.
func EvenShards(n int) []model.Shard {
	out := make([]model.Shard, n)
	for i := range out {
		out[i] = model.Shard{ID: model.ShardID(i + 1), Share: 1 / float64(n)}
	}
	return out
}

// Distribution is a distribution of durations. The zero value always yields 0.
type Distribution struct {
	// Kind is "fixed", "uniform", "exp" or "lognormal".
	Kind string
	// Value is the fixed value, the minimum of a uniform, the mean of an exponential or the median of a lognormal
	// distribution.
	Value time.Duration
	// Max is the maximum of a uniform distribution.
	Max time.Duration
	// Sigma is the standard deviation of the logarithm in a lognormal distribution.
	Sigma float64
}

const distributionRemedy = "write a distribution such as fixed:2ms, uniform:1ms:3ms, exp:2ms or lognormal:2ms:0.5"

// ParseDistribution parses the text that String returns.
func ParseDistribution(text string) (Distribution, error) {
	if text == "" {
		return Distribution{}, nil
	}
	errMalformed := errs.New(errs.KindInvalid, distributionRemedy, "distribution %q is malformed", text)
	parts := strings.Split(text, ":")
	if len(parts) < 2 {
		return Distribution{}, errMalformed
	}
	d := Distribution{Kind: parts[0]}
	var err error
	if d.Value, err = time.ParseDuration(parts[1]); err != nil || d.Value < 0 {
		return Distribution{}, errMalformed
	}
	switch {
	case (d.Kind == "fixed" || d.Kind == "exp") && len(parts) == 2:
		return d, nil
	case d.Kind == "uniform" && len(parts) == 3:
		if d.Max, err = time.ParseDuration(parts[2]); err == nil && d.Max >= d.Value {
			return d, nil
		}
	case d.Kind == "lognormal" && len(parts) == 3:
		if d.Sigma, err = strconv.ParseFloat(parts[2], 64); err == nil && d.Sigma >= 0 {
			return d, nil
		}
	}
	return Distribution{}, errMalformed
}

// String returns the text that ParseDistribution parses.
func (d Distribution) String() string {
	switch d.Kind {
	case "":
		return ""
	case "uniform":
		return fmt.Sprintf("uniform:%s:%s", d.Value, d.Max)
	case "lognormal":
		return fmt.Sprintf("lognormal:%s:%g", d.Value, d.Sigma)
	}
	return fmt.Sprintf("%s:%s", d.Kind, d.Value)
}

// Sample returns a random duration from the distribution.
func (d Distribution) Sample(random *rand.Rand) time.Duration {
	switch d.Kind {
	case "uniform":
		return d.Value + time.Duration(random.Float64()*float64(d.Max-d.Value))
	case "exp":
		return time.Duration(random.ExpFloat64() * float64(d.Value))
	case "lognormal":
		return time.Duration(float64(d.Value) * math.Exp(d.Sigma*random.NormFloat64()))
	}
	return d.Value
}

// MarshalText implements encoding.TextMarshaler.
func (d Distribution) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Distribution) UnmarshalText(text []byte) error {
	parsed, err := ParseDistribution(string(text))
	*d = parsed
	return err
}

// Mean returns the mean of the distribution.
func (d Distribution) Mean() time.Duration {
	switch d.Kind {
	case "uniform":
		return (d.Value + d.Max) / 2
	case "lognormal":
		return time.Duration(float64(d.Value) * math.Exp(d.Sigma*d.Sigma/2))
	}
	return d.Value
}
