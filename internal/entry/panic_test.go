package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/runtime"
	"github.com/primrosenotch/primrosenotch/internal/settings"
)

// panickingHandler panics before or after it has served some paths.
type panickingHandler struct{ ingress.Handler }

func (h panickingHandler) Serve(ctx context.Context, x *ingress.Exchange) {
	if x.Path == "/shop/panic-before" {
		panic("before serving")
	}
	h.Handler.Serve(ctx, x)
	if x.Path == "/shop/panic-after" {
		panic("after serving")
	}
}

// panickingTable panics at reads of one idempotency key, and at the first writes of another one.
type panickingTable struct {
	platform.Table
	writes atomic.Int32
}

func (t *panickingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(key, "panic-read") }) {
		panic("reading a claim")
	}
	return t.Table.Get(ctx, keys...)
}

func (t *panickingTable) Commit(ctx context.Context, txn platform.Transaction) error {
	for _, w := range txn.Writes {
		if strings.Contains(w.Key, "panic-write") && t.writes.Add(1) <= 3 {
			panic("writing a claim")
		}
	}
	return t.Table.Commit(ctx, txn)
}

// panickingInstances panics at its first call.
type panickingInstances struct {
	platform.Instances
	calls atomic.Int32
}

func (i *panickingInstances) Register(ctx context.Context, instance platform.ListedInstance, ttl time.Duration) error {
	if i.calls.Add(1) == 1 {
		panic("registering")
	}
	return i.Instances.Register(ctx, instance, ttl)
}

// startPanickingFleet starts a fleet whose instances panic at some of their work.
func startPanickingFleet(t *testing.T) *fleet {
	return startFleetWith(t, func(injector do.Injector) {
		do.Override(injector, func(i do.Injector) (*runtime.Runtime, error) {
			o := runtimeOptions(i)
			o.Table, o.Instances = &panickingTable{Table: o.Table}, &panickingInstances{Instances: o.Instances}
			return runtime.New(o), nil
		})
		do.Override(injector, func(i do.Injector) (*ingress.Server, error) {
			r := do.MustInvoke[*runtime.Runtime](i)
			return newServer(do.MustInvoke[settings.Settings](i), r, panickingHandler{r}), nil
		})
	})
}

// panics returns the number of contained panics of all instances, by place.
func (f *fleet) panics() map[string]int {
	counts := map[string]int{}
	for i := range f.controls {
		f.addPanics(i, counts)
	}
	return counts
}

func (f *fleet) addPanics(i int, counts map[string]int) {
	resp, err := http.Get("http://" + f.controls[i] + "/metrics")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	for _, m := range regexp.MustCompile(`primrosenotch_panics_total\{place="([a-z ]+)"\} (\d+)`).FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[2])
		require.NoError(f.t, err)
		counts[m[1]] += n
	}
}

// TestPanicEndsOnlyItsOwnWork guards against LOST: a panic in the handling of one request or call
// ended the process and with it all requests that it served.
func TestPanicEndsOnlyItsOwnWork(t *testing.T) {
	const i = 0
	f := startPanickingFleet(t)
	var running sync.WaitGroup
	answers := make([]answer, 3)
	for k := range answers {
		running.Go(func() {
			answers[k] = f.send(i, http.MethodGet, slowPath, nil, "X-Request-Id", fmt.Sprint("running-", k))
		})
	}
	time.Sleep(slowRunTime / 4)
	a := f.send(i, http.MethodGet, "/shop/panic-before", nil)
	require.Equal(t, http.StatusBadGateway, a.status, "%+v", a)
	require.Equal(t, "internal", a.header.Get("X-Cause"))
	require.Equal(t, "unknown", a.header.Get("X-Outcome"))
	require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/shop/panic-after", nil).status, "the answer is complete")
	order := func(key string) answer {
		return f.send(i, http.MethodPost, "/orders", strings.NewReader("a"), "Idempotency-Key", key)
	}
	a = order("panic-write")
	require.Equal(t, http.StatusServiceUnavailable, a.status, "%+v", a)
	require.Equal(t, "not-run", a.header.Get("X-Outcome"))
	require.Equal(t, http.StatusOK, order("panic-read").status, "a new key is not read")
	a = order("panic-read")
	require.Equal(t, http.StatusBadGateway, a.status, "the first request has run: %+v", a)
	require.Equal(t, "unknown", a.header.Get("X-Outcome"))
	running.Wait()
	for k, a := range answers {
		require.NoError(t, a.err, "running %d", k)
		require.Equal(t, http.StatusOK, a.status, "running %d: %s", k, a.header.Get("X-Cause"))
	}
	require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/shop/later", nil).status)
	counts := f.panics()
	require.Equal(t, 2, counts["request"], "%v", counts)
	require.GreaterOrEqual(t, counts["store"], len(f.controls), "registrations, and checks of the claim: %v", counts)
	require.GreaterOrEqual(t, counts["ledger"], 3, "%v", counts)
	require.Equal(t, 1, counts["offer"], "%v", counts)
	f.stop[i]()
	select {
	case err := <-f.ended[i]:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the instance does not stop")
	}
}
