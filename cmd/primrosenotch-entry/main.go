// Command primrosenotch-entry runs one entry instance. It shuts down gracefully on
// SIGTERM, SIGINT and SIGQUIT.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/primrosenotch/primrosenotch/internal/entry"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/signals"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `short:"s" long:"settings" required:"true" description:"INI file with this instance's settings; see docs/CONFIGURATION.md"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	received := signals.Receive()
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		logsink.WriteLine(os.Stderr, err.Error())
		return exitSettings
	}
	if o.Check {
		fmt.Println(o.Settings, "is valid")
		return exitOK
	}
	if err := entry.Run(s, received); err != nil {
		logsink.WriteLine(os.Stderr, err.Error())
		return exitFailed
	}
	return exitOK
}
