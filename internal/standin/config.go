// Package standin is a stand-in target for the demo and the tests. It follows docs/target-protocol.md, has the
// limits of a real target, makes faults on request, and counts every execution, so that a test can prove from the
// target's own count what ran and how often.
//
// One control goroutine owns the target's state. Traffic goroutines read a published view of it.
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

// Config describes one stand-in target.
type Config struct {
	Service          model.ServiceName
	ID               model.TargetID
	AvailabilityZone model.AvailabilityZone
	// Listen is the address of the sub-request listener; Advertise replaces it in announcements when a proxy is
	// in front of the target.
	Listen    string
	Advertise string
	// Listener replaces Listen when the caller has opened the listener already. Closing and opening it again can fail:
	// a process that is forked in between holds the port until it executes its program.
	Listener net.Listener
	// Control is the address of the control endpoint. Without one there is no such endpoint.
	Control string
	// AnnounceURLs are the first announcement URLs. Replies may name others.
	AnnounceURLs []string
	// Incarnation is taken from the clock when it is 0.
	Incarnation   uint64
	Layout        model.LayoutNumber
	LayoutShards  []model.Shard
	Shards        []model.ShardID
	IndexVersions []model.IndexVersion

	Slots int
	// Queue bounds the sub-requests that wait for a slot. 0 takes twice the slots, a negative number none.
	Queue           int
	ConnectionLimit int
	// ConnectTime delays the first byte of each new connection.
	ConnectTime time.Duration
	// NetworkDelay delays each reply, in place of the distance between availability zones.
	NetworkDelay time.Duration
	// Distance returns how far away the VM at an IP address is, and whether it can be reached. Bytes from a VM
	// that cannot be reached are dropped. Nil reaches all at once.
	Distance    func(ip string) (delay time.Duration, reachable bool)
	ServiceTime Distribution
	// ColdFor is how long the target is cold, with service times multiplied by ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
	Lease      time.Duration
	// LoadLag delays the load that announcements report, and LoadFactor multiplies it.
	LoadLag    time.Duration
	LoadFactor float64
	// BodyBytes is the least size of a reply's body.
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
		return errs.New(errs.KindInvalid, "name the service, the target and its availability zone", "stand-in target %q of service %q has no full name", c.ID, c.Service)
	}
	layout := model.Layout{Service: c.Service, Number: c.Layout, Shards: c.LayoutShards}
	return layout.Check()
}

// EvenShards returns shards 1 to n with equal shares.
func EvenShards(n int) []model.Shard {
	out := make([]model.Shard, n)
	for i := range out {
		out[i] = model.Shard{ID: model.ShardID(i + 1), Share: 1 / float64(n)}
	}
	return out
}

// Distribution is a distribution of durations. The zero value is always 0.
type Distribution struct {
	// Kind is "fixed", "uniform", "exp" or "lognormal".
	Kind string
	// A is the fixed value, the lower bound, the mean or the median.
	A time.Duration
	// B is the upper bound of a uniform distribution.
	B time.Duration
	// Sigma is the spread of a lognormal distribution.
	Sigma float64
}

const distributionRemedy = "write a distribution such as fixed:2ms, uniform:1ms:3ms, exp:2ms or lognormal:2ms:0.5"

// ParseDistribution reads the form that String writes.
func ParseDistribution(text string) (Distribution, error) {
	if text == "" {
		return Distribution{}, nil
	}
	bad := errs.New(errs.KindInvalid, distributionRemedy, "distribution %q has the wrong form", text)
	parts := strings.Split(text, ":")
	if len(parts) < 2 {
		return Distribution{}, bad
	}
	d := Distribution{Kind: parts[0]}
	var err error
	if d.A, err = time.ParseDuration(parts[1]); err != nil || d.A < 0 {
		return Distribution{}, bad
	}
	switch {
	case (d.Kind == "fixed" || d.Kind == "exp") && len(parts) == 2:
		return d, nil
	case d.Kind == "uniform" && len(parts) == 3:
		if d.B, err = time.ParseDuration(parts[2]); err == nil && d.B >= d.A {
			return d, nil
		}
	case d.Kind == "lognormal" && len(parts) == 3:
		if d.Sigma, err = strconv.ParseFloat(parts[2], 64); err == nil && d.Sigma >= 0 {
			return d, nil
		}
	}
	return Distribution{}, bad
}

// String returns the form that ParseDistribution reads.
func (d Distribution) String() string {
	switch d.Kind {
	case "":
		return ""
	case "uniform":
		return fmt.Sprintf("uniform:%s:%s", d.A, d.B)
	case "lognormal":
		return fmt.Sprintf("lognormal:%s:%g", d.A, d.Sigma)
	}
	return fmt.Sprintf("%s:%s", d.Kind, d.A)
}

// Draw returns a random duration.
func (d Distribution) Draw(random *rand.Rand) time.Duration {
	switch d.Kind {
	case "uniform":
		return d.A + time.Duration(random.Float64()*float64(d.B-d.A))
	case "exp":
		return time.Duration(random.ExpFloat64() * float64(d.A))
	case "lognormal":
		return time.Duration(float64(d.A) * math.Exp(d.Sigma*random.NormFloat64()))
	}
	return d.A
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
		return (d.A + d.B) / 2
	case "lognormal":
		return time.Duration(float64(d.A) * math.Exp(d.Sigma*d.Sigma/2))
	}
	return d.A
}
