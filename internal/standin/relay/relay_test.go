package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/relay"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	quietPeriod  = 100 * time.Millisecond
)

// startEcho starts a TCP echo server that runs until the test ends and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T, faults relay.Faults) *relay.Relay {
	t.Helper()
	r := relay.New(relay.Config{Name: "munich-frankfurt", Target: startEcho(t), Faults: faults})
	require.NoError(t, r.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	return r
}

type echoClient struct {
	net.Conn
	lines *bufio.Reader
}

func connect(t *testing.T, r *relay.Relay) *echoClient {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &echoClient{Conn: c, lines: bufio.NewReader(c)}
}

func (c *echoClient) write(t *testing.T, line string) {
	t.Helper()
	_, err := c.Write([]byte(line + "\n"))
	require.NoError(t, err)
}

func (c *echoClient) requireLine(t *testing.T, line string) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	got, err := c.lines.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, line+"\n", got)
}

func (c *echoClient) requireNoData(t *testing.T) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := c.lines.ReadByte()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

func TestOpenLinkForwardsDataAndHalfClose(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	c := connect(t, r)
	c.write(t, "hello")
	c.requireLine(t, "hello")
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	_, err := c.lines.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool {
		return r.Counters() == relay.Counters{Accepted: 1, BytesOut: 6, BytesBack: 6}
	}, waitTimeout, pollInterval)
}

func TestCutLinkResetsAndRefuses(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	c := connect(t, r)
	c.write(t, "hello")
	c.requireLine(t, "hello")
	r.SetFaults(relay.Faults{State: relay.StateCut})
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := c.lines.ReadByte()
	require.ErrorContains(t, err, "reset")
	_, err = net.Dial("tcp", r.Addr())
	require.ErrorContains(t, err, "refused")

	r.SetFaults(relay.Faults{})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", r.Addr())
		return err == nil && c.Close() == nil
	}, waitTimeout, pollInterval)
}

func TestFrozenLinkHoldsData(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	c := connect(t, r)
	c.write(t, "before")
	c.requireLine(t, "before")
	r.SetFaults(relay.Faults{State: relay.StateFrozen})
	fresh := connect(t, r)
	c.write(t, "held")
	fresh.write(t, "fresh")
	c.requireNoData(t)
	fresh.requireNoData(t)
	r.SetFaults(relay.Faults{})
	c.requireLine(t, "held")
	fresh.requireLine(t, "fresh")
}

func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	c := connect(t, r)
	c.write(t, "before")
	c.requireLine(t, "before")
	r.Silence()
	c.write(t, "lost")
	c.requireNoData(t)
	fresh := connect(t, r)
	fresh.write(t, "fresh")
	fresh.requireLine(t, "fresh")
}

func TestLatencyDelaysEachDirection(t *testing.T) {
	const oneWay = 60 * time.Millisecond
	r := startRelay(t, relay.Faults{LatencyMillis: oneWay.Milliseconds(), JitterMillis: 5})
	c := connect(t, r)
	begin := time.Now()
	c.write(t, "there and back")
	c.requireLine(t, "there and back")
	require.GreaterOrEqual(t, time.Since(begin), 2*oneWay)
}

func TestBandwidthLimitsEachDirection(t *testing.T) {
	const bytesPerSecond, sent = 400_000, 200_000
	r := startRelay(t, relay.Faults{BytesPerSecond: bytesPerSecond})
	c := connect(t, r)
	begin := time.Now()
	go func() { _, _ = c.Write(make([]byte, sent)) }()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := io.CopyN(io.Discard, c.lines, sent)
	require.NoError(t, err)
	const burst = bytesPerSecond / 20
	require.GreaterOrEqual(t, time.Since(begin), time.Duration(sent-burst)*time.Second/bytesPerSecond)
}

func TestControlSetsFaultsOfNamedLink(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	control := relay.NewControl([]*relay.Relay{r})
	require.NoError(t, control.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, control.Close()) })
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	call := func(method, path, body string) (int, string) {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+control.Addr()+path, strings.NewReader(body))
		require.NoError(t, err)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		return answer.StatusCode, string(text)
	}
	status, _ := call(http.MethodPut, "/standin/links/munich-frankfurt/faults", `{"state":"frozen","latency_ms":3}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, relay.Faults{State: relay.StateFrozen, LatencyMillis: 3}, r.Faults())
	status, text := call(http.MethodGet, relay.PathLinks, "")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, r.Addr())
	status, _ = call(http.MethodPost, "/standin/links/munich-frankfurt/silence", "")
	require.Equal(t, http.StatusNoContent, status)
	status, _ = call(http.MethodGet, "/standin/links/none/faults", "")
	require.Equal(t, http.StatusNotFound, status)
}

func TestCutCancelsPendingResumption(t *testing.T) {
	r := startRelay(t, relay.Faults{})
	for range 20 {
		r.SetFaults(relay.Faults{State: relay.StateCut})
		r.SetFaults(relay.Faults{})
		r.SetFaults(relay.Faults{State: relay.StateCut})
	}
	require.Never(t, func() bool {
		c, err := net.Dial("tcp", r.Addr())
		return err == nil && c.Close() == nil
	}, quietPeriod, pollInterval)
	r.SetFaults(relay.Faults{})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", r.Addr())
		return err == nil && c.Close() == nil
	}, waitTimeout, pollInterval)
}
