package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// ReplyPlan describes how a target replies to one sub-request. Faults change it before the work
// starts.
type ReplyPlan struct {
	// WorkTime is the service time.
	WorkTime time.Duration
	// ReplyDelay delays the reply after the work, whether or not the attempt has been cancelled.
	ReplyDelay time.Duration
	// TransitDelay is the simulated network delay of the reply.
	TransitDelay time.Duration
	// Remaining is the time until the deadline, as stated in the sub-request.
	Remaining time.Duration
	Status    int
	Form      ReplyForm
}

// ReplyForm is the form in which a reply is sent.
type ReplyForm int

// The forms of a reply.
const (
	// FormCorrect is a correct reply.
	FormCorrect ReplyForm = iota
	// FormCrossed is the complete reply to an earlier attempt.
	FormCrossed
	// FormDuplicate is a reply that is sent twice on the connection.
	FormDuplicate
	// FormTruncated is a body shorter than its declared length.
	FormTruncated
	// FormDamaged is a body of the right length that does not match its checksum.
	FormDamaged
)

// FaultSpec enables a fault for a share of the sub-requests.
type FaultSpec struct {
	Name  string       `json:"name"`
	Share float64      `json:"share"`
	Delay Distribution `json:"delay"`
}

// FaultFunc applies a fault to the plan of a sub-request that was selected for it.
type FaultFunc func(spec FaultSpec, p *ReplyPlan, random *rand.Rand)

var faults = map[string]FaultFunc{}

// RegisterFault registers a fault. It must only be called from init.
func RegisterFault(name string, fn FaultFunc) {
	if _, ok := faults[name]; ok {
		panic(fmt.Sprintf("standin: fault %q registered twice", name))
	}
	faults[name] = fn
}

func init() {
	RegisterFault("straggle", func(spec FaultSpec, p *ReplyPlan, random *rand.Rand) { p.WorkTime += spec.Delay.Sample(random) })
	RegisterFault("late", func(spec FaultSpec, p *ReplyPlan, random *rand.Rand) {
		p.ReplyDelay = p.Remaining + spec.Delay.Sample(random)
	})
	RegisterFault("error", func(_ FaultSpec, p *ReplyPlan, _ *rand.Rand) { p.Status = http.StatusInternalServerError })
	RegisterFault("crossed", func(_ FaultSpec, p *ReplyPlan, _ *rand.Rand) { p.Form = FormCrossed })
	RegisterFault("duplicate", func(_ FaultSpec, p *ReplyPlan, _ *rand.Rand) { p.Form = FormDuplicate })
	RegisterFault("truncated", func(_ FaultSpec, p *ReplyPlan, _ *rand.Rand) { p.Form = FormTruncated })
	RegisterFault("damaged", func(_ FaultSpec, p *ReplyPlan, _ *rand.Rand) { p.Form = FormDamaged })
}

// checkFaults returns an error for a fault that is not registered or whose share is out of range.
func checkFaults(specs []FaultSpec) error {
	for _, s := range specs {
		if _, ok := faults[s.Name]; !ok {
			names := make([]string, 0, len(faults))
			for n := range faults {
				names = append(names, n)
			}
			sort.Strings(names)
			return errs.New(errs.KindInvalid, "use one of "+strings.Join(names, ", "), "unknown fault %q", s.Name)
		}
		if s.Share < 0 || s.Share > 1 {
			return errs.New(errs.KindInvalid, "use a share from 0 to 1", "fault %q has the share %v", s.Name, s.Share)
		}
	}
	return nil
}

// applyFaults applies each fault to one sub-request with the probability given by its share.
func applyFaults(specs []FaultSpec, p *ReplyPlan, random *rand.Rand) {
	for _, s := range specs {
		if random.Float64() < s.Share {
			faults[s.Name](s, p, random)
		}
	}
}
