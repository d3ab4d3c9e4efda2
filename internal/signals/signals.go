// Package signals says how a process that serves requests reacts to signals.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Set is how a process is asked to stop, and to read its settings again.
type Set struct {
	// Stop is canceled on SIGTERM, SIGINT and SIGQUIT. Later ones do not end the process.
	Stop context.Context
	// Hangups receives SIGHUP. One is kept while nobody receives.
	Hangups <-chan os.Signal
}

// Receive returns the process's signals. From then on until the process exits, none of
// SIGTERM, SIGINT, SIGQUIT and SIGHUP ends it, also where they were ignored when it was started. A
// write to an output without a reader or beyond the limit on file sizes fails with an error. A
// terminal whose foreground is another process does not suspend it.
func Receive() Set {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ, syscall.SIGTTOU, syscall.SIGTTIN)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// Never released: a signal during the last steps of a stop must not cut them short.
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	return Set{Stop: stop, Hangups: hangups}
}
