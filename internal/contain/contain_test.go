package contain

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func newPanics() (*Panics, *bytes.Buffer) {
	log, lines := logrus.New(), &bytes.Buffer{}
	log.SetOutput(lines)
	return New(logrus.NewEntry(log), "panics_total"), lines
}

func TestPanicIsCountedAndLogged(t *testing.T) {
	p, lines := newPanics()
	require.False(t, p.Do(Request, func() { panic("the value") }))
	require.True(t, p.Do(Request, func() {}))
	registry := prometheus.NewRegistry()
	registry.MustRegister(p.Counter())
	families, err := registry.Gather()
	require.NoError(t, err)
	require.InDelta(t, 1, families[0].GetMetric()[0].GetCounter().GetValue(), 0)
	require.Contains(t, lines.String(), "the value")
	require.Contains(t, lines.String(), "TestPanicIsCountedAndLogged", "no stack")
}

func TestLogOfManyPanicsIsBounded(t *testing.T) {
	const panics = 100
	p, lines := newPanics()
	for range panics {
		p.Do(Request, func() { panic("again") })
	}
	require.Equal(t, panics, strings.Count(lines.String(), "panic contained"))
	require.LessOrEqual(t, strings.Count(lines.String(), "stack="), 2*maxStacksPerSecond)
}

func TestKeptWorkStartsAgainAfterAPanic(t *testing.T) {
	p, _ := newPanics()
	calls := 0
	p.Keep(t.Context(), Store, func() {
		if calls++; calls == 1 {
			panic("once")
		}
	})
	require.Equal(t, 2, calls)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.Keep(ctx, Store, func() { panic("always") })
}

// Tests that run a component by itself must see its panics.
func TestWithoutPanicsNothingIsContained(t *testing.T) {
	var p *Panics
	require.Panics(t, func() { p.Do(Request, func() { panic("seen") }) })
}
