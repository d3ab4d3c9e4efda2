package cli

import (
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/samber/do/v2"
)

// callTimeout limits one call to an entry instance, so that an unresponsive
// instance does not use up the time limit of the whole command.
const callTimeout = 3 * time.Second

// clients creates the clients of the platform and of the entry instances on first
// use, so that a command requires only the addresses that it uses.
type clients struct {
	injector *do.RootScope
}

func newClients(env *Environment, global *globalOptions) *clients {
	injector := do.New()
	do.ProvideValue(injector, env)
	do.ProvideValue(injector, global)
	do.Provide(injector, newTable)
	do.Provide(injector, newStore)
	do.Provide(injector, newFleet)
	return &clients{injector: injector}
}

func newTable(i do.Injector) (platform.Table, error) {
	global := do.MustInvoke[*globalOptions](i)
	if global.Platform == "" {
		return nil, &usageError{Message: "no platform address: use --platform HOST:PORT or set PRIMROSENOTCH_PLATFORM"}
	}
	table, err := do.MustInvoke[*Environment](i).OpenTable(global.Platform)
	if err != nil {
		return nil, fmt.Errorf("open table service at %s: %w", global.Platform, err)
	}
	return table, nil
}

func newStore(i do.Injector) (*confstore.Store, error) {
	table, err := do.Invoke[platform.Table](i)
	if err != nil {
		return nil, err
	}
	env := do.MustInvoke[*Environment](i)
	return confstore.New(table, confstore.WithClock(env.Now)), nil
}

func newFleet(i do.Injector) (*control.Fleet, error) {
	global := do.MustInvoke[*globalOptions](i)
	if len(global.Entries) == 0 {
		return nil, &usageError{Message: "no address of an entry instance: use --entry HOST:PORT or set PRIMROSENOTCH_ENTRY"}
	}
	timeout := min(global.Timeout, callTimeout)
	return control.NewFleet(control.NewClient(timeout), global.Entries), nil
}

func (c *clients) store() (*confstore.Store, error) { return do.Invoke[*confstore.Store](c.injector) }

func (c *clients) fleet() (*control.Fleet, error) { return do.Invoke[*control.Fleet](c.injector) }
