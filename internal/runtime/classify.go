package runtime

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// classify matches a request to a route and returns the metadata for decisions
// about it. A cause other than CauseNone says why there is no route.
func (r *Runtime) classify(x *ingress.Exchange) (model.RequestMeta, model.Cause) {
	v := r.view.Load()
	if v.index == nil {
		return model.RequestMeta{}, model.CauseNoConfiguration
	}
	route, ok := v.index.MatchRoute(x.Method, x.Path)
	if !ok {
		return model.RequestMeta{}, model.CauseNoRoute
	}
	m := model.RequestMeta{
		TraceID:        x.TraceID,
		Service:        route.Service,
		Route:          route.Name,
		Rank:           route.Rank,
		Kind:           route.Kind,
		Deadline:       r.clock.now().Add(effectiveDeadline(route.Deadline, x.DeadlineHint)),
		BodyBytes:      x.BodyBytes,
		AnswerBytes:    r.lengths.mean(route.Name),
		IdempotencyKey: x.IdempotencyKey,
		Replayable:     x.BodyStream == nil,
	}
	if group, ok := v.index.CallerGroup(x.Remote); ok {
		m.CallerGroup = group.Name
	}
	m.Fingerprint = x.Fingerprint()
	if m.Kind == model.Once {
		m.Digest = digest(m.Fingerprint, x)
	}
	return m, model.CauseNone
}

// effectiveDeadline returns the caller's deadline if it is shorter than the
// route's, which it cannot extend.
func effectiveDeadline(route, hint time.Duration) time.Duration {
	if hint > 0 && hint < route {
		return hint
	}
	return route
}

// digest combines a request's fingerprint with its Authorization and Content-Digest
// fields, so that a caller never receives an answer that was stored for another
// caller's request with the same idempotency key.
func digest(fingerprint uint64, x *ingress.Exchange) uint64 {
	return xxh3.HashStringSeed(x.Header.Get("Authorization")+"\x00"+x.Header.Get("Content-Digest"), fingerprint)
}

// metaFromOffer returns the metadata in an offer. An offer carries its deadline as
// the time left, since the clocks of two instances differ.
func metaFromOffer(o *linkpb.Offer, now model.Instant) model.RequestMeta {
	return model.RequestMeta{
		TraceID:        o.GetTrace(),
		GlobalID:       o.GetRequest(),
		Service:        model.ServiceName(o.GetService()),
		Route:          model.RouteName(o.GetRoute()),
		Rank:           boundedRank(o.GetRank()),
		Kind:           model.Kind(o.GetKind()),
		CallerGroup:    model.CallerGroupName(o.GetBlock()),
		Deadline:       now.Add(time.Duration(o.GetDeadlineLeftNs())),
		BodyBytes:      o.GetBodyBytes(),
		AnswerBytes:    o.GetAnswerBytes(),
		Fingerprint:    o.GetFingerprint(),
		IdempotencyKey: o.GetIdempotencyKey(),
		Digest:         o.GetDigest(),
		Replayable:     o.GetReplayable(),
	}
}

// boundedRank clamps a rank, since a newer peer may send an unknown one that would
// index out of range.
func boundedRank(r uint32) model.Rank { return model.Rank(min(r, model.RankCount-1)) }

// answerLengths holds the moving mean of answer lengths in bytes by route.
type answerLengths struct{ byRoute sync.Map }

// lengthWeight is the divisor of the moving mean: the newest answer has a weight of
// 1/8.
const lengthWeight = 8

func (a *answerLengths) mean(route model.RouteName) int64 {
	if n, ok := a.byRoute.Load(route); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

func (a *answerLengths) observe(route model.RouteName, n int64) {
	mean, _ := a.byRoute.LoadOrStore(route, &atomic.Int64{})
	counter := mean.(*atomic.Int64)
	old := counter.Load()
	counter.Store(old + (n-old)/lengthWeight)
}
