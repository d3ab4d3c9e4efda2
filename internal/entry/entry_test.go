package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

// waitTimeout bounds each wait of a test.
const waitTimeout = 15 * time.Second

// fleet is a deployment of two zones, each with one entry instance and one backend
// server, on the stand-in of the platform.
type fleet struct {
	t         testing.TB
	callers   []string
	links     []string
	controls  []string
	servers   map[string]*backend.Server
	stop      []context.CancelFunc
	ended     []chan error
	store     string // address of platform
	platform  *tablestore.Server
	text      string // of the first configuration
	transport *http.Transport
	override  func(do.Injector) // replaces constructors of instances, nil for none
}

func startFleet(t testing.TB) *fleet {
	t.Helper()
	return startFleetVia(t, func(address string) string { return address })
}

// startFleetWith starts a fleet whose instances have some constructors replaced.
func startFleetWith(t testing.TB, override func(do.Injector)) *fleet {
	t.Helper()
	return startFleetOf(t, func(address string) string { return address }, override)
}

// startFleetVia starts a fleet whose instances reach each backend server at the address that
// via returns for the server's.
func startFleetVia(t testing.TB, via func(address string) string) *fleet {
	t.Helper()
	return startFleetOf(t, via, nil)
}

func startFleetOf(t testing.TB, via func(address string) string, override func(do.Injector)) *fleet {
	t.Helper()
	store := tablestore.New(tablestore.Faults{})
	require.NoError(t, store.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = store.Close() })
	f := &fleet{t: t, servers: make(map[string]*backend.Server), store: store.Addr(), platform: store, transport: &http.Transport{}, override: override}
	text := "[service shop]\n" +
		"[route order]\nservice = shop\nmatch = POST /orders*\nrank = urgent\nkind = once\ndeadline = 5s\n" +
		"[route upload]\nservice = shop\nmatch = PUT /files/*\nrank = normal\nkind = idempotent\ndeadline = 20s\n" +
		"[route head]\nservice = shop\nmatch = HEAD /shop/*\nrank = normal\nkind = read\ndeadline = 5s\n" +
		"[route browse]\nservice = shop\nmatch = GET /shop/*\nrank = normal\nkind = read\ndeadline = 5s\n" +
		"[limits]\nshift cap = 100% of capacity per 1s\n"
	for _, zone := range []string{"north-a", "north-b"} {
		server := backend.New(backend.Config{
			Name: "shop-" + zone, Slots: 4, AnswerBytes: 100,
			PathTimes: []backend.PathTime{
				{Prefix: slowPath, Time: backend.ServiceTime{Mean: slowRunTime}},
				{Prefix: "/orders/slow", Time: backend.ServiceTime{Mean: slowRunTime}},
			},
		})
		require.NoError(t, server.Start("127.0.0.1:0"))
		t.Cleanup(func() { _ = server.Close() })
		f.servers[server.Name()] = server
		text += fmt.Sprintf("[zone %s]\nregion = north\n[backend %s]\nservice = shop\nzone = %s\naddress = %s\nslots = 4\n",
			zone, server.Name(), zone, via(server.Addr()))
	}
	f.text = text
	client := platform.NewClient(platform.DefaultSettings(store.Addr()))
	t.Cleanup(client.Close)
	_, err := confstore.New(client.Table()).Apply(t.Context(), confstore.Change{
		Source: []byte(text), Author: "test", Reason: "start", OperationID: "start",
	})
	require.NoError(t, err)
	for i, zone := range []string{"north-a", "north-b"} {
		f.startInstance(fmt.Sprintf("entry-%d", i+1), zone, store.Addr())
	}
	t.Cleanup(f.transport.CloseIdleConnections)
	f.waitUntilOwned()
	return f
}

// handedOut holds the addresses that freeAddress has returned. The kernel may choose a port again
// as soon as it has been found free.
var handedOut sync.Map

// freeAddress returns an address that no other call has returned and that no outgoing connection
// takes the port of: these begin at 127.0.0.1.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.11.%d.1:0", os.Getpid()%250))
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		if _, taken := handedOut.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

func (f *fleet) startInstance(id, zone, store string) {
	f.t.Helper()
	i := f.newInstance(id, zone, store)
	f.run(i, i.run)
}

func (f *fleet) newInstance(id, zone, store string) *instance {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Zone: zone}
	s.Listen = settings.Listen{Callers: freeAddress(f.t), Links: freeAddress(f.t), Control: freeAddress(f.t)}
	s.Advertise = settings.Advertise(s.Listen)
	s.Platform.Address = store
	s.Platform.PollEvery = 100 * time.Millisecond
	s.Serving.LookupTTL = 200 * time.Millisecond
	s.Log.Level = "error"
	injector := do.New()
	sink := logsink.New(io.Discard)
	f.t.Cleanup(func() { sink.Close(logsink.FlushTimeout) })
	provide(injector, s, sink)
	if f.override != nil {
		f.override(injector)
	}
	i, err := do.Invoke[*instance](injector)
	require.NoError(f.t, err)
	return i
}

func (i *instance) run(ctx context.Context) error {
	l, err := listen(ctx, i.settings, i.log)
	if err != nil {
		return err
	}
	return i.serve(ctx, l)
}

func (f *fleet) run(i *instance, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	f.callers = append(f.callers, i.settings.Listen.Callers)
	f.links = append(f.links, i.settings.Listen.Links)
	f.controls = append(f.controls, i.settings.Listen.Control)
	f.stop = append(f.stop, cancel)
	f.ended = append(f.ended, ended)
	f.t.Cleanup(cancel)
}

// waitUntilOwned waits until every backend server has an owner.
func (f *fleet) waitUntilOwned() {
	client := control.NewClient(time.Second)
	defer client.Close()
	require.Eventually(f.t, func() bool {
		owned := 0
		for _, address := range f.controls {
			status, err := client.Status(f.t.Context(), address)
			if err != nil || status.State != "ready" {
				return false
			}
			owned += len(status.Backends)
		}
		return owned == len(f.servers)
	}, waitTimeout, 50*time.Millisecond)
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // set if the connection broke before or during the answer
}

func (f *fleet) send(entry int, method, path string, body io.Reader, header ...string) answer {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.callers[entry]+path, body)
	require.NoError(f.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: f.transport, Timeout: waitTimeout}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

// TestWholePath sends requests of each kind end to end, through the owner in the zone
// of the receiving instance and through the owner in the other zone.
func TestWholePath(t *testing.T) {
	f := startFleet(t)

	t.Run("read through either instance", func(t *testing.T) {
		for entry := range f.callers {
			a := f.send(entry, http.MethodGet, "/shop/shirts", nil, "X-Request-Id", "read-1")
			require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
			require.Equal(t, "read-1", a.header.Get("X-Request-Id"))
			require.Equal(t, "served", a.header.Get("X-Outcome"))
			require.True(t, strings.HasPrefix(string(a.body), "read-1\n"))
		}
	})

	t.Run("a once request runs once and repeats get the stored answer", func(t *testing.T) {
		first := f.send(0, http.MethodPost, "/orders", strings.NewReader("a"), "Idempotency-Key", "k1", "X-Request-Id", "order-1")
		require.Equal(t, http.StatusOK, first.status)
		var repeat answer
		require.Eventually(t, func() bool { // the answer is stored after it is sent to the caller
			repeat = f.send(1, http.MethodPost, "/orders", strings.NewReader("a"), "Idempotency-Key", "k1")
			return repeat.status == http.StatusOK
		}, waitTimeout, 20*time.Millisecond)
		require.Equal(t, first.body, repeat.body)
		other := f.send(1, http.MethodPost, "/orders", strings.NewReader("b"), "Idempotency-Key", "k1")
		require.Equal(t, http.StatusUnprocessableEntity, other.status)
		require.Equal(t, "not-run", other.header.Get("X-Outcome"))
		runs := int64(0)
		for _, server := range f.servers {
			runs += int64(server.Runs().IdempotencyKeys["k1"])
		}
		require.EqualValues(t, 1, runs)
	})

	t.Run("bodies are streamed completely in both directions", func(t *testing.T) {
		body := bytes.Repeat([]byte("0123456789abcdef"), 64<<10) // 1 MiB
		a := f.send(0, http.MethodPut, "/files/x?answer_bytes=3000000", bytes.NewReader(body), "X-Request-Id", "up-1")
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		n, err := backend.CheckAnswer("up-1", bytes.NewReader(a.body))
		require.NoError(t, err)
		require.EqualValues(t, 3_000_000, n)
	})

	t.Run("refusals report their cause", func(t *testing.T) {
		a := f.send(0, http.MethodGet, "/nowhere", nil)
		require.Equal(t, http.StatusNotFound, a.status)
		require.Equal(t, "no-route", a.header.Get("X-Cause"))
		a = f.send(0, http.MethodPost, "/orders", strings.NewReader("a"))
		require.Equal(t, http.StatusBadRequest, a.status)
		require.Equal(t, "key-missing", a.header.Get("X-Cause"))
	})

	t.Run("a truncated answer never ends without an error", func(t *testing.T) {
		for _, faults := range []backend.Faults{{CutLengthShare: 1}, {CutChunkedShare: 1}} {
			for _, server := range f.servers {
				server.SetFaults(faults)
			}
			a := f.send(0, http.MethodGet, "/shop/big?answer_bytes=500000", nil)
			require.True(t, a.err != nil || a.status >= 500, "status %d with %d bytes", a.status, len(a.body))
		}
	})

	t.Run("instances shut down gracefully", func(t *testing.T) {
		for i, stop := range f.stop {
			stop()
			select {
			case err := <-f.ended[i]:
				require.NoError(t, err)
			case <-time.After(waitTimeout):
				require.Fail(t, "the instance did not stop")
			}
		}
	})
}

// BenchmarkRead measures a small read through the instance that owns the backend server,
// including caller and backend server, over persistent connections.
func BenchmarkRead(b *testing.B) {
	f := startFleet(b)
	client := &fasthttp.HostClient{Addr: f.callers[0], MaxConns: 16}
	b.ReportAllocs()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + f.callers[0] + "/shop/x")
		for pb.Next() {
			if err := client.Do(request, response); err != nil || response.StatusCode() != http.StatusOK {
				b.Errorf("status %d, error %v", response.StatusCode(), err)
				return
			}
		}
	})
}
