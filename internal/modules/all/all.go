// Package all imports every module, so that each registers itself. Adding a module changes only this list.
package all

import (
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/admission"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/announce"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/claims"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/controlclient"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/controllog"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/directory"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/dissemination"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/forwarder"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/frontend"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/hedge"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/leafpool"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/loadtracker"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/membership"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/metrics"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/operator"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/peer"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/query"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/retry"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/routestate"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/routing"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/statemachine"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/transport"
	_ "github.com/chestnuttiller/chestnuttiller/platform"
)
