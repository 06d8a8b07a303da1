// Package allowance decides how limits on what all entry VMs do together are divided among them: quotas of customers, extra
// attempts at services, and requests to cold leaves. It does no I/O: the clock is an argument, and messages are values.
package allowance

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// MaxNameBytes is the length of the longest name of an allowance in a message.
	MaxNameBytes = 1024
	// MaxUnits is the largest number of a limit in a message, so that sums of them stay exact. No system runs as many requests in a
	// second.
	MaxUnits = 1e9
)

// Kind is the kind of thing that an allowance limits.
type Kind uint8

// The kinds of allowances.
const (
	// KindCustomer limits the requests of a customer.
	KindCustomer Kind = iota + 1
	// KindExtra limits the extra attempts at a service.
	KindExtra
	// KindColdLeaf limits the requests to one incarnation of a cold leaf.
	KindColdLeaf
)

// Key names an allowance.
type Key struct {
	Kind Kind
	Name string
}

// NewKey returns the key of an allowance. The digest of a name takes the place of one that is too long for messages.
func NewKey(kind Kind, name string) Key {
	if len(name) > MaxNameBytes {
		digest := sha256.Sum256([]byte(name))
		name = hex.EncodeToString(digest[:])
	}
	return Key{Kind: kind, Name: name}
}

// Limit is a token bucket for all VMs together. In a time t at most Rate*t + Burst + Slack units are used; Slack is what the
// inexact parts may use in addition, such as a VM that has just started to keep the allowance.
type Limit struct {
	// Rate is in units per second.
	Rate  float64
	Burst float64
	Slack float64
	// Version orders changes of the limit: the limit with the highest version holds. It is the version of the route table that
	// states the limit.
	Version uint64
}

// Bounded returns the limit with numbers that fit into messages: an owner refuses a whole message for one that does not.
func (l Limit) Bounded() Limit {
	l.Rate, l.Burst, l.Slack = min(l.Rate, MaxUnits), min(l.Burst, MaxUnits), min(l.Slack, MaxUnits)
	return l
}

// Answer is the answer to a request for units of an allowance.
type Answer struct {
	Granted bool
	// RetryAfter is when units are expected to be available for this caller, if none was granted.
	RetryAfter time.Duration
	// Local reports whether this VM has decided without the VM that keeps the allowance.
	Local bool
	// Owner is the VM that keeps the allowance and has decided. It is empty if Local is set.
	Owner model.VMName
	// Remembered reports whether this VM has repeated an earlier denial of the owner instead of asking again.
	Remembered bool
}

// Credit is whether units of an allowance are available, as far as a VM knows.
type Credit string

// The values of Credit. With CreditUnknown the VM that keeps the allowance decides.
const (
	CreditAvailable Credit = "available"
	CreditDenied    Credit = "denied"
	CreditUnknown   Credit = "unknown"
)

// Known is what a VM knows of an allowance without asking for units.
type Known struct {
	Credit Credit
	// Units is how many units are known to be available.
	Units float64
	// RetryAfter is for how long this VM denies requests by itself after a denial.
	RetryAfter time.Duration
	// Owner is the VM that would be asked. It is empty if none is connected, and this VM's own part of the slack decides then.
	Owner model.VMName
}
