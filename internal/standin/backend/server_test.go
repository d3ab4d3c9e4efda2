package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

func start(t *testing.T, config backend.Config) *backend.Server {
	t.Helper()
	server := backend.New(config)
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return server
}

// newClient returns a client that shares no connections with other clients.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func newRequest(t *testing.T, ctx context.Context, s *backend.Server, path, id string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+path, body)
	require.NoError(t, err)
	request.Header.Set(backend.HeaderRequestID, id)
	return request
}

func send(t *testing.T, client *http.Client, request *http.Request) (*http.Response, []byte) {
	t.Helper()
	answer, err := client.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer, body
}

// occupySlot sends a request that occupies a slot until release is called.
func occupySlot(t *testing.T, s *backend.Server, id string) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	client, request := newClient(t), newRequest(t, ctx, s, "/hold", id, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if answer, err := client.Do(request); err == nil {
			_ = answer.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return s.Runs().RequestIDs[id] == 1 }, waitTimeout, pollInterval)
	return func() {
		cancel()
		<-done
	}
}

// holdConfig returns the configuration of a server on which a request for /hold runs until its
// caller closes the connection.
func holdConfig(slots, queue int) backend.Config {
	return backend.Config{
		Name:        "checkout-1",
		Slots:       slots,
		Queue:       queue,
		RetryAfter:  1500 * time.Millisecond,
		Cancellable: true,
		PathTimes:   []backend.PathTime{{Prefix: "/hold", Time: backend.ServiceTime{Mean: time.Hour}}},
	}
}

func TestAnswerMatchesRequestID(t *testing.T) {
	s := start(t, backend.Config{Name: "catalogue-1", Slots: 2, AnswerBytes: 100})
	client := newClient(t)
	for _, length := range []int{100, 0, 7, 300_000} {
		path := "/items"
		if length != 100 {
			path = fmt.Sprintf("/items?answer_bytes=%d", length)
		}
		id := fmt.Sprintf("r-%d", length)
		answer, body := send(t, client, newRequest(t, t.Context(), s, path, id, strings.NewReader("abc")))
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, "catalogue-1", answer.Header.Get(backend.HeaderBackend))
		require.Equal(t, id, answer.Header.Get(backend.HeaderRequestID))
		require.Equal(t, fmt.Sprintf("%016x", xxh3.HashString("abc")), answer.Header.Get(backend.HeaderBodyDigest))
		n, err := backend.CheckAnswer(id, bytes.NewReader(body))
		require.NoError(t, err)
		require.EqualValues(t, length, n)
	}
	_, err := backend.CheckAnswer("a", bytes.NewReader(backend.AnswerBody("b", 10)))
	require.ErrorContains(t, err, "at 0")
}

func TestFullServerShedsRequests(t *testing.T) {
	s := start(t, holdConfig(1, 0))
	release := occupySlot(t, s, "held")
	request := newRequest(t, t.Context(), s, "/order", "shed", nil)
	request.Header.Set(backend.HeaderIdempotencyKey, "k")
	answer, _ := send(t, newClient(t), request)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "true", answer.Header.Get(backend.HeaderNotRun))
	require.Equal(t, "2", answer.Header.Get(backend.HeaderRetryAfter))

	release()
	require.Eventually(t, func() bool { return s.Status().InUse == 0 }, waitTimeout, pollInterval)
	runs := s.Runs()
	require.Zero(t, runs.RequestIDs["shed"])
	require.Zero(t, runs.IdempotencyKeys["k"])
	require.EqualValues(t, 1, runs.Shed)
	require.EqualValues(t, 1, runs.Cancelled)
}

// TestServerNamesWhatItTakes guards against a stand-in that cannot play servers in need.
func TestServerNamesWhatItTakes(t *testing.T) {
	s := start(t, backend.Config{Faults: backend.Faults{Limit: 1.5}})
	client := newClient(t)
	answer, _ := send(t, client, newRequest(t, t.Context(), s, "/order", "limited", nil))
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, "1.5", answer.Header.Get(backend.HeaderLimit))
	s.SetFaults(backend.Faults{RetryAfterSeconds: 3})
	answer, _ = send(t, client, newRequest(t, t.Context(), s, "/order", "refused", nil))
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "true", answer.Header.Get(backend.HeaderNotRun))
	require.Equal(t, "3", answer.Header.Get(backend.HeaderRetryAfter))
	require.Empty(t, answer.Header.Get(backend.HeaderLimit))
	require.Zero(t, s.Runs().RequestIDs["refused"])
	s.SetFaults(backend.Faults{})
	answer, _ = send(t, client, newRequest(t, t.Context(), s, "/order", "again", nil))
	require.Equal(t, http.StatusOK, answer.StatusCode)
}

func TestQueuedRequestRunsWhenASlotIsFree(t *testing.T) {
	s := start(t, holdConfig(1, 1))
	release := occupySlot(t, s, "held")
	answered := make(chan int, 1)
	client, request := newClient(t), newRequest(t, t.Context(), s, "/order", "queued", nil)
	go func() {
		answer, err := client.Do(request)
		if err != nil {
			answered <- 0
			return
		}
		_ = answer.Body.Close()
		answered <- answer.StatusCode
	}()
	require.Eventually(t, func() bool { return s.Connections() == 2 }, waitTimeout, pollInterval)
	require.Zero(t, s.Runs().RequestIDs["queued"])
	release()
	require.Equal(t, http.StatusOK, <-answered)
	require.Equal(t, 1, s.Runs().RequestIDs["queued"])
	require.Equal(t, 1, s.Runs().PeakInUse)
}

func TestRequestExpiredInQueueIsNotRun(t *testing.T) {
	s := start(t, holdConfig(1, 5))
	defer occupySlot(t, s, "held")()
	for _, deadline := range []string{"0", "20"} {
		request := newRequest(t, t.Context(), s, "/order", "late", nil)
		request.Header.Set(backend.HeaderDeadline, deadline)
		answer, _ := send(t, newClient(t), request)
		require.Equal(t, "true", answer.Header.Get(backend.HeaderNotRun))
	}
	require.Zero(t, s.Runs().RequestIDs["late"])
}

func TestCrashingRequests(t *testing.T) {
	marker := strings.Repeat("x", 64<<10-5) + backend.CrashMarker
	for _, body := range []string{"", marker} {
		config := holdConfig(2, 0)
		config.CrashDowntime = 300 * time.Millisecond
		s := start(t, config)
		bystander := newRequest(t, t.Context(), s, "/hold", "bystander", nil)
		client, failed := newClient(t), make(chan error, 1)
		go func() {
			_, err := client.Do(bystander)
			failed <- err
		}()
		require.Eventually(t, func() bool { return s.Status().InUse == 1 }, waitTimeout, pollInterval)

		request := newRequest(t, t.Context(), s, "/order", "crasher", strings.NewReader(body))
		if body == "" {
			request.Header.Set(backend.HeaderCrash, "true")
		}
		_, err := newClient(t).Do(request)
		require.Error(t, err)
		require.Error(t, <-failed)
		_, err = net.Dial("tcp", s.Addr())
		require.ErrorContains(t, err, "refused")
		require.Eventually(t, func() bool {
			answer, err := newClient(t).Do(newRequest(t, t.Context(), s, "/order", "after", nil))
			return err == nil && answer.Body.Close() == nil
		}, waitTimeout, pollInterval)
		require.EqualValues(t, 1, s.Runs().Crashes)
		require.Zero(t, s.Status().InUse)
	}
}

func TestSilencedConnectionNeverAnswers(t *testing.T) {
	s := start(t, backend.Config{Slots: 2})
	old := newClient(t)
	send(t, old, newRequest(t, t.Context(), s, "/", "first", nil))
	answer, _ := send(t, newClient(t), newRequest(t, t.Context(), s, backend.PathSilence, "", nil))
	require.Equal(t, http.StatusNoContent, answer.StatusCode)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := old.Do(newRequest(t, ctx, s, "/", "swallowed", nil))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	send(t, newClient(t), newRequest(t, t.Context(), s, "/", "fresh", nil))
	require.Zero(t, s.Runs().RequestIDs["swallowed"])
}

func TestTruncatedAnswers(t *testing.T) {
	for _, faults := range []backend.Faults{{CutLengthShare: 1}, {CutChunkedShare: 1}} {
		for _, length := range []int{50, 200_000} {
			s := start(t, backend.Config{Slots: 1, AnswerBytes: length, Faults: faults})
			answer, err := newClient(t).Do(newRequest(t, t.Context(), s, "/", "cut", nil))
			require.NoError(t, err)
			require.Equal(t, faults.CutChunkedShare > 0, answer.ContentLength < 0)
			n, err := backend.CheckAnswer("cut", answer.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Less(t, n, int64(length))
			_ = answer.Body.Close()
		}
	}
}

func status(t *testing.T, s *backend.Server) backend.Status {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr()+backend.PathStatus, nil)
	require.NoError(t, err)
	_, body := send(t, newClient(t), request)
	var got backend.Status
	require.NoError(t, json.Unmarshal(body, &got))
	return got
}

func setFaults(t *testing.T, s *backend.Server, faults string) {
	t.Helper()
	request := newRequest(t, t.Context(), s, backend.PathFaults, "", strings.NewReader(faults))
	request.Method = http.MethodPut
	answer, _ := send(t, newClient(t), request)
	require.Equal(t, http.StatusOK, answer.StatusCode)
}

func TestStatusLagAndOverride(t *testing.T) {
	s := start(t, backend.Config{Slots: 4})
	require.Equal(t, backend.Status{Healthy: true, Slots: 4}, status(t, s))

	setFaults(t, s, `{"draining":true,"slots":2,"status_lag_ms":600000}`)
	require.Equal(t, backend.Status{Healthy: true, Slots: 4}, status(t, s))
	answer, _ := send(t, newClient(t), newRequest(t, t.Context(), s, "/", "r", nil))
	require.Equal(t, "true", answer.Header.Get(backend.HeaderDraining))

	setFaults(t, s, `{"draining":true,"slots":2,"status_lag_ms":1}`)
	require.Eventually(t, func() bool {
		return status(t, s) == backend.Status{Healthy: true, Draining: true, Slots: 2}
	}, waitTimeout, pollInterval)

	setFaults(t, s, `{"unhealthy":true,"status_lie":{"healthy":true,"in_use":9,"slots":9}}`)
	require.Equal(t, backend.Status{Healthy: true, InUse: 9, Slots: 9}, status(t, s))
	setFaults(t, s, `{"unhealthy":true}`)
	require.False(t, status(t, s).Healthy)
}

func TestStatusDownClosesTheConnection(t *testing.T) {
	s := start(t, backend.Config{Slots: 1, Faults: backend.Faults{StatusDown: true}})
	request := newRequest(t, t.Context(), s, backend.PathStatus, "", nil)
	_, err := newClient(t).Do(request)
	require.ErrorIs(t, err, io.EOF)
}

func TestSlowdownMultipliesServiceTimes(t *testing.T) {
	const mean, slowdown = 20 * time.Millisecond, 3
	s := start(t, backend.Config{Slots: 1, Time: backend.ServiceTime{Mean: mean}, Faults: backend.Faults{Slowdown: slowdown}})
	begin := time.Now()
	send(t, newClient(t), newRequest(t, t.Context(), s, "/", "r", nil))
	require.GreaterOrEqual(t, time.Since(begin), slowdown*mean)
}

func TestCloseWaitsForRunningRequests(t *testing.T) {
	s := backend.New(backend.Config{Slots: 1, Time: backend.ServiceTime{Mean: 100 * time.Millisecond}})
	require.NoError(t, s.Start("127.0.0.1:0"))
	request, client := newRequest(t, t.Context(), s, "/", "r", nil), newClient(t)
	closed := make(chan error, 1)
	go func() {
		for s.Status().InUse == 0 {
			time.Sleep(pollInterval)
		}
		closed <- s.Close()
	}()
	answer, _ := send(t, client, request)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.NoError(t, <-closed)
}

func TestColdStartEndsWithServedRequests(t *testing.T) {
	s := start(t, backend.Config{Slots: 1, Cold: backend.ColdStart{Duration: time.Hour, Factor: 3, Requests: 2}})
	client := newClient(t)
	for range 2 {
		require.True(t, status(t, s).Cold)
		send(t, client, newRequest(t, t.Context(), s, "/", "r", nil))
	}
	require.False(t, status(t, s).Cold)
	send(t, client, newRequest(t, t.Context(), s, backend.PathCold, "", nil))
	require.True(t, status(t, s).Cold)
}

func TestFailedRequestsRunAndAnswer500(t *testing.T) {
	s := start(t, backend.Config{Slots: 1, Faults: backend.Faults{FailShare: 1}})
	answer, _ := send(t, newClient(t), newRequest(t, t.Context(), s, "/", "r", nil))
	require.Equal(t, http.StatusInternalServerError, answer.StatusCode)
	require.Empty(t, answer.Header.Get(backend.HeaderNotRun))
	require.Equal(t, 1, s.Runs().RequestIDs["r"])
}

func TestUploadIsStreamed(t *testing.T) {
	const length = 50 << 20
	s := start(t, backend.Config{Slots: 1})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	request := newRequest(t, t.Context(), s, "/crest", "upload", backend.AnswerReader("upload", length))
	request.ContentLength = length
	answer, _ := send(t, newClient(t), request)
	runtime.ReadMemStats(&after)

	hash := xxh3.New()
	_, err := io.Copy(hash, backend.AnswerReader("upload", length))
	require.NoError(t, err)
	require.Equal(t, fmt.Sprintf("%016x", hash.Sum64()), answer.Header.Get(backend.HeaderBodyDigest))
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(length/4))
}
