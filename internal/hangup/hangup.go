// Package hangup catches SIGHUP while the packages of the program are still being initialized. The default action of the
// signal ends the process, and the platform may send the signal as soon as the process exists.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// runCommand is the command whose process reads its settings again on SIGHUP. Other commands keep
// the default action, so that they end when their terminal is closed.
const runCommand = "run"

// Signals delivers SIGHUP to the command run. Signals that arrive before it has received the previous one are merged
// into one.
var Signals = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == runCommand {
		signal.Notify(Signals, syscall.SIGHUP)
	}
}
