// Package kernel is the small core of chestnuttiller. It owns the life cycle of modules, their registry, the
// control goroutine and the published view. Everything else is a module that registers itself from init and
// is used through the interfaces that this package declares.
package kernel

import (
	"context"
	"fmt"
	"sort"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// ModuleID is the dotted name of a module, such as "routing.random".
type ModuleID string

// Module is a value that a registered constructor returns. The kernel finds out by type assertions which of the life
// cycle interfaces below it implements.
type Module interface{}

// Provisioner is implemented by modules that read settings and look up the interfaces they use. Provision
// runs in dependency order and must not start goroutines or open listeners.
type Provisioner interface{ Provision(*Context) error }

// Validator is implemented by modules that can find mistakes in their settings before anything starts.
type Validator interface{ Validate() error }

// Starter is implemented by modules that open listeners or run goroutines.
type Starter interface{ Start(context.Context) error }

// Drainer is implemented by modules that finish work in flight before they stop. Drain runs in the reverse of
// the dependency order, so a module is drained before the modules that it needs. A Drain that does not return soon after its
// context has ended is abandoned, and Stop may be called while it runs.
type Drainer interface{ Drain(context.Context) error }

// Reloader is implemented by modules that apply changed settings while they run.
type Reloader interface {
	Reload(*settings.Settings) error
}

// Stopper is implemented by modules that hold resources. Stop runs in the reverse of the dependency order. One that does not
// return soon after its context has ended is abandoned, so nothing that was acknowledged may depend on it.
type Stopper interface{ Stop(context.Context) error }

// ModuleInfo describes a module to the registry.
type ModuleInfo struct {
	ID  ModuleID
	New func() Module
	// Needs lists the capabilities that have to be provisioned and started earlier. Another module lists each of
	// them under Provides.
	Needs []Capability
	// Wants lists capabilities that are provisioned and started earlier if an enabled module provides them.
	Wants    []Capability
	Provides []Capability
	// Settings lists the keys that the module reads.
	Settings []settings.Key
	// Enabled reports whether the settings enable this module. Nil means always.
	Enabled func(*settings.Settings) bool
}

// ForQueries returns an Enabled function for modules of processes with the role, in systems that serve queries.
func ForQueries(role string) func(*settings.Settings) bool {
	return func(s *settings.Settings) bool { return s.HasRole(role) && s.Traffic == settings.TrafficQueries }
}

// ForRoutes returns an Enabled function for modules of processes with the role, in systems that serve routes.
func ForRoutes(role string) func(*settings.Settings) bool {
	return func(s *settings.Settings) bool { return s.HasRole(role) && s.Traffic == settings.TrafficRoutes }
}

// ForAnyTraffic returns an Enabled function for modules of processes with the role, whatever the system serves.
func ForAnyTraffic(role string) func(*settings.Settings) bool {
	return func(s *settings.Settings) bool { return s.HasRole(role) }
}

// SettingsKeys returns the settings keys of all registered modules.
func SettingsKeys() []settings.Key {
	var out []settings.Key
	for _, m := range Modules() {
		out = append(out, m.Settings...)
	}
	return out
}

var registry = map[ModuleID]ModuleInfo{}

// Register adds a module. It is called from init only, and panics on a duplicate or incomplete entry since
// that is a programming error.
func Register(m ModuleInfo) {
	if m.ID == "" || m.New == nil {
		panic("kernel: module without an ID or constructor")
	}
	if _, ok := registry[m.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q registered twice", m.ID))
	}
	registry[m.ID] = m
}

// Modules returns all registered modules in the order of their IDs.
func Modules() []ModuleInfo {
	out := make([]ModuleInfo, 0, len(registry))
	for _, m := range registry {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// enabledModules returns the modules that the settings enable, in dependency order.
func enabledModules(s *settings.Settings) ([]ModuleInfo, error) {
	var enabled []ModuleInfo
	for _, m := range Modules() {
		if m.Enabled == nil || m.Enabled(s) {
			enabled = append(enabled, m)
		}
	}
	return dependencyOrder(enabled)
}

// dependencyOrder sorts modules so that each follows the providers of the capabilities that it needs or wants.
func dependencyOrder(modules []ModuleInfo) ([]ModuleInfo, error) {
	providers := map[Capability][]int{}
	for i, m := range modules {
		for _, c := range m.Provides {
			providers[c] = append(providers[c], i)
		}
	}
	const visiting, visited = 1, 2
	visits := make([]int, len(modules))
	var out []ModuleInfo
	var visit func(i int) error
	visit = func(i int) error {
		m := modules[i]
		if visits[i] == visited {
			return nil
		}
		if visits[i] == visiting {
			return errs.New(errs.KindInternal, "remove a capability on the cycle from Needs or Wants", "module %q depends on itself through other modules", m.ID)
		}
		visits[i] = visiting
		for _, c := range m.Needs {
			if len(providers[c]) == 0 {
				return errs.New(errs.KindInvalid, fmt.Sprintf("enable a module or role that provides %q", c),
					"module %q needs %q and no enabled module provides it", m.ID, c)
			}
		}
		for _, c := range append(append([]Capability{}, m.Needs...), m.Wants...) {
			for _, p := range providers[c] {
				if p == i {
					continue
				}
				if err := visit(p); err != nil {
					return err
				}
			}
		}
		visits[i] = visited
		out = append(out, m)
		return nil
	}
	for i := range modules {
		if err := visit(i); err != nil {
			return nil, err
		}
	}
	return out, nil
}
