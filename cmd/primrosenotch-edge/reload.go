package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/edge"
)

// pollInterval is the time between two checks of the settings file, which may change without
// a signal. It is well below the 2.5 s within which a configuration change must take effect.
const pollInterval = time.Second

// reloader applies changes of the settings file while the process runs. The bounds and
// the log level change at once. All other settings need a restart; apply logs a warning for
// changes of [instance], [listen], [platform] and the addresses in [direct].
type reloader struct {
	file      string
	text      []byte // content at the last check
	current   loadedSettings
	log       *logrus.Entry
	setBounds func(edge.Bounds)
}

// run checks the file every pollInterval and on each signal until ctx is canceled.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.log.Info("reloading settings on signal")
		case <-ticker.C:
		}
		r.check()
	}
}

// check applies the file if it has changed. An invalid file changes nothing, but
// an invalid log level is ignored.
func (r *reloader) check() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.log.WithError(err).Warn("settings not read; keeping the previous settings")
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := loadSettings(r.file)
	if err != nil {
		r.log.WithError(err).Warn("settings not valid; keeping the previous settings")
		return
	}
	r.apply(s)
}

func (r *reloader) apply(s loadedSettings) {
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		r.log.Logger.SetLevel(level)
	}
	if s.bounds != r.current.bounds {
		r.setBounds(s.bounds)
	}
	for _, restartOnly := range []struct {
		section string
		changed bool
	}{
		{"instance", s.Instance != r.current.Instance},
		{"listen", s.Listen != r.current.Listen},
		{"platform", s.Platform != r.current.Platform},
		{"direct", s.Direct.Lookups != r.current.Direct.Lookups || s.Direct.Ready != r.current.Direct.Ready},
	} {
		if restartOnly.changed {
			r.log.WithField("section", restartOnly.section).Warn("changed settings need a restart")
		}
	}
	r.current = s
	r.log.WithField("bounds", s.Direct.Bounds).Info("settings taken up")
}
