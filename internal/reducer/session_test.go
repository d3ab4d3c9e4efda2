package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const sessionText = `
[zone north-a]
region = north
[zone south-a]
region = south
[service shop]
target = 99.9% in 300ms
[route order]
service = shop
match = POST /orders
rank = urgent
kind = once
deadline = 800ms
[route browse]
service = shop
match = GET /*
rank = normal
kind = read
deadline = 1s
[backend shop-1]
service = shop
zone = north-a
address = 127.0.0.1:21001
slots = 1
[backend shop-2]
service = shop
zone = north-a
address = 127.0.0.1:21002
slots = 1
`

const second = model.Instant(time.Second)

// session drives a reducer and logs its events and effects, unless quiet.
type session struct {
	t     testing.TB
	r     *Reducer
	now   model.Instant
	log   strings.Builder
	metas map[model.RequestID]*model.RequestMeta
	quiet bool
}

func newSession(t testing.TB, text string) *session {
	t.Helper()
	self := membership.Record{ID: "entry-1", Zone: "north-a", LinkAddr: "127.0.0.1:1", CallerAddr: "127.0.0.1:2", Incarnation: 1}
	s := &session{
		t:     t,
		now:   1_000 * second,
		metas: make(map[model.RequestID]*model.RequestMeta),
		r:     New(Settings{Self: self, PollEvery: time.Hour, IdlePollFactor: 1, LookupTTL: 2 * time.Second}),
	}
	s.quiet = true
	s.configure(1, text)
	s.wait(5 * time.Second) // beyond the membership's start period
	s.quiet = false
	return s
}

func (s *session) configure(number int64, text string, stops ...config.Stop) {
	parsed, err := config.Parse("text", []byte(text))
	require.NoError(s.t, err)
	revision := &config.Revision{Number: number, Author: "ana", Reason: "test", AcceptedAt: s.now.Time(), TextAcceptedAt: s.now.Time(), Stops: stops}
	s.step(&event.ConfigurationLoaded{At: s.now, Revision: revision, Text: parsed, Index: config.NewIndex(parsed)})
}

// wait advances the time by d in ticks of 50 ms.
func (s *session) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		s.step(&event.Tick{At: s.now})
	}
}

// step applies an event and logs it with its effects. A tick without effects is not
// logged.
func (s *session) step(ev event.Event) []event.Effect {
	effects := s.r.Step(ev)
	if s.quiet {
		return effects
	}
	_, isTick := ev.(*event.Tick)
	if isTick && len(effects) == 0 {
		return effects
	}
	fmt.Fprintf(&s.log, "%s %s\n", s.now.Sub(1_000*second), formatEvent(ev))
	for _, f := range effects {
		fmt.Fprintf(&s.log, "    %s\n", formatEffect(f))
	}
	return effects
}

func (s *session) comment(text string) { fmt.Fprintf(&s.log, "# %s\n", text) }

func (s *session) meta(id model.RequestID, route model.RouteName) *model.RequestMeta {
	m := &model.RequestMeta{
		TraceID: fmt.Sprint("t", id), GlobalID: fmt.Sprint("r", id), Service: "shop", Route: route,
		Rank: model.Normal, Kind: model.Read, Deadline: s.now.Add(time.Second), Fingerprint: uint64(id), Replayable: true,
	}
	if route == "order" {
		m.Rank = model.Urgent
		m.Kind = model.Once
		m.IdempotencyKey = fmt.Sprint("k", id)
		m.Deadline = s.now.Add(800 * time.Millisecond)
	}
	s.metas[id] = m
	return m
}

func (s *session) arrive(id model.RequestID, route model.RouteName) []event.Effect {
	return s.step(&event.RequestArrived{At: s.now, Request: id, Meta: s.meta(id, route)})
}

func (s *session) offer(id model.RequestID, route model.RouteName) []event.Effect {
	return s.step(&event.OfferReceived{At: s.now, Request: id, From: "entry-2", Meta: s.meta(id, route)})
}

// offerLike offers a request with the fingerprint of another one.
func (s *session) offerLike(id, as model.RequestID) []event.Effect {
	m := s.meta(id, "browse")
	m.Fingerprint = s.metas[as].Fingerprint
	return s.step(&event.OfferReceived{At: s.now, Request: id, From: "entry-2", Meta: m})
}

func (s *session) attempt(id model.RequestID, backend model.BackendName, result event.AttemptResult) []event.Effect {
	return s.step(&event.AttemptFinished{At: s.now, Request: id, Backend: backend, Result: result})
}

// probed reports the result of a probe, which succeeded if err is nil.
func (s *session) probed(backend model.BackendName, err error) []event.Effect {
	return s.step(&event.ServerReported{At: s.now, Backend: backend, Healthy: err == nil, Err: err})
}

func (s *session) claim(id model.RequestID, result event.ClaimResult) []event.Effect {
	return s.step(&event.ClaimResolved{At: s.now, Request: id, Result: result})
}

func formatEvent(ev event.Event) string {
	switch ev := ev.(type) {
	case *event.Tick:
		return "tick"
	case *event.ConfigurationLoaded:
		return fmt.Sprintf("configuration %d loaded, %d stops", ev.Revision.Number, len(ev.Revision.Stops))
	case *event.RequestArrived:
		return fmt.Sprintf("request %d arrived: %s %s %s", ev.Request, ev.Meta.Route, ev.Meta.Rank, ev.Meta.Kind)
	case *event.OfferReceived:
		return fmt.Sprintf("offer %d received: %s %s %s", ev.Request, ev.Meta.Route, ev.Meta.Rank, ev.Meta.Kind)
	case *event.OwnerRefused:
		return fmt.Sprintf("owner %s refused %d: %s %s", ev.Owner, ev.Request, ev.Outcome, ev.Cause)
	case *event.OwnerLost:
		return fmt.Sprintf("owner %s lost, request %d, offered %t", ev.Owner, ev.Request, ev.Offered)
	case *event.AttemptFinished:
		return fmt.Sprintf("attempt of %d at %s: %s", ev.Request, ev.Backend, attemptNames[ev.Result])
	case *event.ServerReported:
		return fmt.Sprintf("server %s reported: healthy %t, %v", ev.Backend, ev.Healthy, ev.Err)
	case *event.AttemptSlow:
		return fmt.Sprintf("attempt of %d at %s is slow", ev.Request, ev.Backend)
	case *event.ClaimResolved:
		return fmt.Sprintf("claim of %d: %s", ev.Request, claimNames[ev.Result])
	case *event.OnceRequestCancelled:
		return fmt.Sprintf("once request %d cancelled: %s", ev.Request, claimNames[ev.Result])
	case *event.OfferWithdrawn:
		return fmt.Sprintf("offer %d withdrawn", ev.Request)
	case *event.RequestFinished:
		return fmt.Sprintf("request %d finished: %s", ev.Request, ev.Outcome)
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", ev), "*event.")
	}
}

var attemptNames = map[event.AttemptResult]string{
	event.AttemptComplete: "complete", event.AttemptFailed: "failed", event.AttemptShed: "shed",
	event.AttemptNotSent: "not sent", event.AttemptBroken: "broken", event.AttemptTruncated: "cut",
	event.AttemptTimeout: "timeout", event.AttemptCancelled: "cancelled", event.AttemptStaleBroken: "reused connection broken",
}

var claimNames = map[event.ClaimResult]string{
	event.ClaimGranted: "granted", event.ClaimFinished: "finished", event.ClaimInProgress: "in progress",
	event.ClaimCancelled: "cancelled", event.ClaimMismatch: "mismatch", event.ClaimUnavailable: "unavailable",
	event.ClaimUncertain: "uncertain", event.ClaimOverBudget: "over budget",
}

func formatEffect(f event.Effect) string {
	switch f := f.(type) {
	case *event.Forward:
		return fmt.Sprintf("forward %d to %s in %s, spill %t%s", f.Request, f.Owner, f.Zone, f.Spill, formatRejected(f.Rejected))
	case *event.Refuse:
		final := ""
		if f.Final != event.FinalNone {
			final = ", " + f.Final.String()
		}
		return fmt.Sprintf("refuse %d: %s %s%s%s", f.Request, f.Outcome, f.Cause, final, formatRejected(f.Rejected))
	case *event.Dispatch:
		return fmt.Sprintf("dispatch %d to %s, fresh connection %t, slow after %s", f.Request, f.Backend, f.FreshConnection, f.SlowAfter)
	case *event.RefuseOffer:
		return fmt.Sprintf("refuse offer %d: %s %s, release %t", f.Request, f.Outcome, f.Cause, f.Release)
	case *event.Claim:
		return fmt.Sprintf("claim %d", f.Request)
	case *event.CancelOnceRequest:
		return fmt.Sprintf("cancel once request %d", f.Request)
	case *event.Replay:
		return fmt.Sprintf("replay %d", f.Request)
	case *event.CancelAttempt:
		return fmt.Sprintf("cancel attempt of %d", f.Request)
	case *event.Record:
		return fmt.Sprintf("record %s: %s (%s)", f.Entry.Subject, f.Entry.Message, f.Entry.Reason)
	case *event.ClosePooledConnections:
		return fmt.Sprintf("close pooled connections of %s", f.Backend)
	case *event.Probe:
		return fmt.Sprintf("probe %s", f.Backend)
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", f), "*event.")
	}
}

func formatRejected(list []model.Rejected) string {
	var text strings.Builder
	for _, r := range list {
		fmt.Fprintf(&text, "; not %s %s: %s, asked %t", r.Zone, r.Owner, r.Cause, r.AlreadyTried)
	}
	return text.String()
}
