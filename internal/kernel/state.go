package kernel

import "github.com/chestnuttiller/chestnuttiller/internal/state"

// StateSource provides the disseminated part of the replicated state on a control VM. It may be called from any
// goroutine, and the value is immutable.
type StateSource interface {
	DisseminatedState() *state.DisseminatedState
}

// StateChanged is posted on a control VM after an entry or a restored state snapshot has changed the disseminated
// state. A lost event is repaired by the next one, since StateSource always has the latest state.
type StateChanged struct{ Revision uint64 }
