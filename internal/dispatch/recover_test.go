package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// undecidable is a configuration with a route that makes Step panic.
func undecidable() *catalog.Configuration {
	broken := testRoute()
	broken.Name, broken.Prefix, broken.Targets = "broken", "/broken/", nil
	return configuration(2, testRoute(), broken)
}

func TestRequestWhoseDecisionPanicsIsRefused(t *testing.T) {
	d := newDispatcher(testRoute())
	send, ok := arrive(d, start, 1, "a").(*Send)
	require.True(t, ok)
	d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: undecidable()}})
	arrived := &RequestArrived{At: at(time.Second), Request: 2, Host: "shop.example", Path: "/broken/x"}
	require.Panics(t, func() { d.Step(arrived) })
	require.Equal(t, &Refuse{Request: 2, Outcome: model.NotRun, Cause: model.CauseInternal}, requestEffect(d.Recover(arrived)))
	require.Equal(t, 1, d.servers[send.Server.ID].inFlight, "of the other request")

	d.effects = d.effects[:0] // as Step begins
	// The end of an attempt whose effects are unknown: the request may have run.
	ended := &AttemptEnded{At: at(time.Second), Request: 1, Attempt: 1}
	d.servers[send.Server.ID].inFlight = 0 // the step got as far as this
	require.Equal(t, &Refuse{Request: 1, Outcome: model.Unknown, Cause: model.CauseInternal}, requestEffect(d.Recover(ended)))
	require.Zero(t, d.servers[send.Server.ID].inFlight)
	require.Nil(t, requestEffect(d.Step(ended)), "the request is forgotten")
	require.Zero(t, d.servers[send.Server.ID].inFlight)
}

func TestRecoveryKeepsEffectsOfOtherRequests(t *testing.T) {
	d := newDispatcher(testRoute())
	d.effects = []Effect{
		&Hedge{Send: &Send{Request: 7}},
		&Send{Request: 8},
		&SaveSuspects{},
	}
	effects := d.Recover(&AttemptEnded{At: start, Request: 8})
	require.Len(t, effects, 3)
	require.IsType(t, &Hedge{}, effects[0])
	require.IsType(t, &SaveSuspects{}, effects[1])
	require.Equal(t, &Refuse{Request: 8, Outcome: model.Unknown, Cause: model.CauseInternal}, effects[2])
}
