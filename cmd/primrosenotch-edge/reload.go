package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/edge"
)

// settingsEvery is how often the settings file is looked at: it may change without a
// signal. Well within the 2.5 s in which a change of the configuration is in force.
const settingsEvery = time.Second

// reloader takes changes of the settings file up while the process runs. Bounds and the
// log's level change at once; everything else names what the process is, and needs a
// restart.
type reloader struct {
	file    string
	text    []byte // as last looked at
	current checked
	log     *logrus.Entry
	apply   func(edge.Bounds)
}

// run looks at the file at a period and at each signal, until the context ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.log.Info("settings are to be read again")
		case <-ticker.C:
		}
		r.look()
	}
}

// look takes the file up where it has changed. One that cannot be used changes nothing.
func (r *reloader) look() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.log.WithError(err).Warn("settings not read; those before stay in force")
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := load(r.file)
	if err != nil {
		r.log.WithError(err).Warn("settings not usable; those before stay in force")
		return
	}
	r.take(s)
}

func (r *reloader) take(s checked) {
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		r.log.Logger.SetLevel(level)
	}
	if s.bounds != r.current.bounds {
		r.apply(s.bounds)
	}
	for _, fixed := range []struct {
		section string
		changed bool
	}{
		{"instance", s.Instance != r.current.Instance},
		{"listen", s.Listen != r.current.Listen},
		{"platform", s.Platform != r.current.Platform},
		{"direct", s.Direct.Lookups != r.current.Direct.Lookups || s.Direct.Ready != r.current.Direct.Ready},
	} {
		if fixed.changed {
			r.log.WithField("section", fixed.section).Warn("changed settings need a restart")
		}
	}
	r.current = s
	r.log.WithField("bounds", s.Direct.Bounds).Info("settings taken up")
}
