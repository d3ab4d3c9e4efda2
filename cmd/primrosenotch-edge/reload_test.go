package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/edge"
)

const settingsText = `[instance]
id = e-1
zone = north-a
[listen]
callers = 127.0.0.1:1001
links = 127.0.0.1:1002
control = 127.0.0.1:1003
[direct]
lookups = 127.0.0.1:1004
ready = 127.0.0.1:1005
bounds = graceS=6,ttl_max_s=5,budgetRatio=0.2,budgetExtra=60,budgetWindowS=10,coldOver=1.5,coldSlack=5,maxShift=0.15,drainMs=2500,configMs=2500
[platform]
address = 127.0.0.1:1006
[regions]
north-a = north
`

func newReloader(t *testing.T) (*reloader, *bytes.Buffer, *[]edge.Bounds) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(name, []byte(settingsText), 0o600))
	s, err := loadSettings(name)
	require.NoError(t, err)
	log, lines := logrus.New(), &bytes.Buffer{}
	log.SetOutput(lines)
	var applied []edge.Bounds
	return &reloader{
		file: name, text: s.text, current: s, log: log.WithField("instance", "e-1"),
		setBounds: func(b edge.Bounds) { applied = append(applied, b) },
	}, lines, &applied
}

func rewrite(t *testing.T, r *reloader, old, with string) {
	t.Helper()
	require.Contains(t, settingsText, old)
	require.NoError(t, os.WriteFile(r.file, []byte(strings.Replace(settingsText, old, with, 1)), 0o600))
	r.check()
}

func TestChangedBoundsAreApplied(t *testing.T) {
	r, lines, applied := newReloader(t)
	r.check()
	require.Empty(t, *applied, "the file is unchanged")
	require.Empty(t, lines.String())
	rewrite(t, r, "budgetRatio=0.2", "budgetRatio=0.1")
	require.Len(t, *applied, 1)
	require.InDelta(t, 0.1, (*applied)[0].RetryRatio, 0)
	require.Contains(t, lines.String(), "settings taken up")
	rewrite(t, r, "[regions]", "[log]\nlevel = debug\n[regions]")
	require.Equal(t, logrus.DebugLevel, r.log.Logger.GetLevel())
}

func TestInvalidSettingsAreIgnored(t *testing.T) {
	r, lines, applied := newReloader(t)
	rewrite(t, r, "budgetRatio=0.2", "budgetRatio=much")
	require.Empty(t, *applied)
	require.Contains(t, lines.String(), `\"much\" is not a number`)
	require.NoError(t, os.Remove(r.file))
	r.check()
	require.Contains(t, lines.String(), "settings not read")
}

func TestSettingsThatNeedRestartAreLogged(t *testing.T) {
	r, lines, _ := newReloader(t)
	rewrite(t, r, "127.0.0.1:1006", "127.0.0.1:2006")
	require.Contains(t, lines.String(), "section=platform")
	require.Contains(t, lines.String(), "need a restart")
}

func TestSignalReloadsSettings(t *testing.T) {
	r, _, applied := newReloader(t)
	changed := make(chan struct{})
	r.setBounds = func(edge.Bounds) { close(changed) }
	signals := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.run(ctx, signals); close(done) }()
	require.NoError(t, os.WriteFile(r.file, []byte(strings.Replace(settingsText, "graceS=6", "graceS=5", 1)), 0o600))
	signals <- syscall.SIGHUP
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Fatal("settings were not reloaded")
	}
	cancel()
	<-done
	require.Empty(t, *applied)
}
