// Package admission contains the modules admission.open and admission.priority, the policies that decide when a request
// may run.
package admission

import (
	"context"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const (
	section = "admission"
	// policyKey chooses which of the modules of this package is enabled.
	policyKey      = "policy"
	policyOpen     = "open"
	policyPriority = "priority"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "admission.open",
		New:      func() kernel.Module { return Open{} },
		Provides: []kernel.Capability{kernel.CapAdmissionPolicy},
		Enabled:  enabled(policyOpen),
	})
}

func enabled(policy string) func(*settings.Settings) bool {
	return func(s *settings.Settings) bool {
		return kernel.ForQueries(settings.RoleEntry)(s) && s.String(section, policyKey) == policy
	}
}

// Open admits every request. It is the baseline for measurements.
type Open struct{}

// Admit implements kernel.AdmissionPolicy.
func (Open) Admit(context.Context, kernel.AdmissionRequest) (kernel.Reservation, error) {
	return openReservation{}, nil
}

type openReservation struct{}

// Done implements kernel.Reservation.
func (openReservation) Done(model.Outcome) {}
