package kernel

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// Context is passed to each module when it is provisioned. It gives access to the settings, the control goroutine and
// the other modules.
type Context struct {
	kernel   *Kernel
	Settings *settings.Settings
	Control  *Control
	// Readiness collects the reasons why the process is not ready to serve callers.
	Readiness *Readiness
	// VM identifies this run of the process.
	VM model.Holder
	// AvailabilityZone is the zone in which the process runs.
	AvailabilityZone model.AvailabilityZone
	// Now is the clock. Its readings are monotonic.
	Now func() time.Time
}

// Logger returns a logger whose lines name a part, such as part=routing. Without a log module, it drops all lines.
func (c *Context) Logger(part string) log.Logger {
	for _, m := range c.kernel.modules {
		if s, ok := m.module.(LogSink); ok {
			return log.With(s.Logger(), "part", part)
		}
	}
	return log.NewNopLogger()
}

// DebugLog reports whether log lines of level debug are written.
func (c *Context) DebugLog() bool {
	for _, m := range c.kernel.modules {
		if s, ok := m.module.(LogSink); ok {
			return s.Debug()
		}
	}
	return false
}

// Scope returns the metrics scope of a part. Without a metrics module, it drops all values.
func (c *Context) Scope(part string) tally.Scope {
	for _, m := range c.kernel.modules {
		if s, ok := m.module.(MetricsSource); ok {
			return s.Scope().SubScope(part)
		}
	}
	return tally.NoopScope
}

// Random returns a new generator for one goroutine, seeded from the settings or, without a seed there, at
// random.
func (c *Context) Random() *rand.Rand { return c.kernel.random() }

// Fatal ends the process because of an error that cannot be recovered from, such as a failed sync. The modules are
// stopped in order, but not drained. Fatal does not block.
func (c *Context) Fatal(err error) { c.kernel.fatal(err) }

// Lookup returns the provisioned module that implements T. The caller's module lists the capability under Needs, so
// that its provider is provisioned earlier.
func Lookup[T any](c *Context) (T, error) {
	for _, m := range c.kernel.modules {
		if found, ok := m.module.(T); ok {
			return found, nil
		}
	}
	var zero T
	return zero, errs.New(errs.KindInternal, "list the capability under Needs", "no provisioned module implements %T", (*T)(nil))
}

// LookupModule returns the provisioned module with the given ID if it implements T. It is for policies that several
// modules provide.
func LookupModule[T any](c *Context, id ModuleID) (T, error) {
	var zero T
	for _, m := range c.kernel.modules {
		if m.info.ID != id {
			continue
		}
		if found, ok := m.module.(T); ok {
			return found, nil
		}
	}
	return zero, errs.New(errs.KindInvalid, "name an enabled module", "module %q is not enabled or does not implement the required interface", id)
}

type runningModule struct {
	info   ModuleInfo
	module Module
}

// Kernel runs the modules of one process.
type Kernel struct {
	modules    []runningModule
	started    int
	ctx        *Context
	cancel     context.CancelFunc
	failures   chan error
	seedLock   sync.Mutex
	seedSource *rand.Rand
}

// New provisions and validates the modules that the settings enable. It starts none of them.
func New(s *settings.Settings) (*Kernel, error) {
	k := &Kernel{failures: make(chan error, 1), seedSource: newSeedSource(s.Seed)}
	k.ctx = &Context{
		kernel: k, Settings: s, Control: newControl(time.Now), Readiness: NewReadiness(), Now: time.Now,
		VM:               model.Holder{VM: s.VM, Incarnation: uint64(time.Now().UnixNano())},
		AvailabilityZone: s.AvailabilityZone,
	}
	infos, err := enabledModules(s)
	if err != nil {
		return nil, err
	}
	for _, info := range infos {
		m := info.New()
		if p, ok := m.(Provisioner); ok {
			if err := p.Provision(k.ctx); err != nil {
				return nil, errors.Wrapf(err, "module %s", info.ID)
			}
		}
		if c, ok := m.(Controller); ok {
			k.ctx.Control.AddController(c)
		}
		k.modules = append(k.modules, runningModule{info, m})
	}
	for _, m := range k.modules {
		if v, ok := m.module.(Validator); ok {
			if err := v.Validate(); err != nil {
				return nil, errors.Wrapf(err, "module %s", m.info.ID)
			}
		}
	}
	return k, nil
}

// Context returns the context of the modules, for the command line and tests.
func (k *Kernel) Context() *Context { return k.ctx }

// Start starts the control goroutine and then the modules in dependency order. It starts no further module once the context
// has ended.
func (k *Kernel) Start(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	k.cancel = cancel
	go k.ctx.Control.run(runCtx)
	for _, m := range k.modules {
		if err := ctx.Err(); err != nil {
			return err
		}
		k.started++
		if s, ok := m.module.(Starter); ok {
			if err := s.Start(runCtx); err != nil {
				return errors.Wrapf(err, "module %s", m.info.ID)
			}
		}
	}
	return nil
}

// Reload passes changed settings to the modules that can apply them while they run.
func (k *Kernel) Reload(s *settings.Settings) error {
	var combined error
	for _, m := range k.modules {
		if r, ok := m.module.(Reloader); ok {
			combined = errors.CombineErrors(combined, errors.Wrapf(r.Reload(s), "module %s", m.info.ID))
		}
	}
	return combined
}

// Failed returns a channel that receives the error that ends the process. Errors that follow before
// it is received are dropped.
func (k *Kernel) Failed() <-chan error { return k.failures }

func (k *Kernel) fatal(err error) {
	select {
	case k.failures <- err:
	default: // An earlier failure already ends the process.
	}
}

func (k *Kernel) random() *rand.Rand {
	k.seedLock.Lock()
	defer k.seedLock.Unlock()
	return rand.New(rand.NewPCG(k.seedSource.Uint64(), k.seedSource.Uint64()))
}

func newSeedSource(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}
