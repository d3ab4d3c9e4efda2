package load

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/load/baseline"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// listen serves a handler for the duration of the test and returns its address.
func listen(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	return listenWith(t, &fasthttp.Server{Handler: handler, CloseOnShutdown: true})
}

// listenWith runs a server for the duration of the test and returns its address.
func listenWith(t testing.TB, server *fasthttp.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		<-done
	})
	return ln.Addr().String()
}

// answerWithID answers a request as a backend server does, with the given request ID.
func answerWithID(ctx *fasthttp.RequestCtx, id string) {
	size := ctx.QueryArgs().GetUintOrZero("answer_bytes")
	body := append([]byte(id+"\n"), bytes.Repeat([]byte("."), size)...)[:size]
	ctx.Response.Header.Set("X-Body-Digest", fmt.Sprintf("%016x", xxh3.Hash(ctx.PostBody())))
	ctx.Response.Header.Set("X-Request-Id", id)
	ctx.SetBody(body)
}

func echoHandler(ctx *fasthttp.RequestCtx) {
	answerWithID(ctx, string(ctx.Request.Header.Peek("X-Request-Id")))
}

// startBaseline runs a baseline proxy for the duration of the test and returns its
// address.
func startBaseline(t testing.TB, policy baseline.Policy, servers ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p, err := baseline.New(policy, ln.Addr().String(), servers)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- p.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = p.Shutdown(ctx)
		<-done
	})
	return ln.Addr().String()
}

func shortExperiment(t *testing.T, entries ...string) *Experiment {
	t.Helper()
	e, err := Parse([]byte(`
[experiment]
seed = 3
entries = ` + strings.Join(entries, ",") + `
[phase a]
length = 200ms
[phase b]
length = 200ms
factor normal = 3
[class orders]
kind = once
method = POST
path = /orders
rate = 300
callers = 127.1.0.0/29
body bytes = 100
answer bytes = 200
repeat = 10%
deadline = 2s
[class reads]
path = /reads
rate = 300
answer bytes = 5
`))
	require.NoError(t, err)
	return e
}

func TestRunAgainstTheBaseline(t *testing.T) {
	entry := startBaseline(t, baseline.Bare, listen(t, echoHandler), listen(t, echoHandler))
	result := Run(t.Context(), shortExperiment(t, entry), []string{"test"})
	require.Zero(t, result.Faulty(), result.Problems)
	require.Len(t, result.Rows, 4)
	var requests int64
	for _, row := range result.Rows {
		require.Positive(t, row.Requests)
		require.Equal(t, row.Requests, row.Outcomes["served"])
		require.Equal(t, row.Requests, row.Latency.Count)
		requests += row.Requests
	}
	require.Equal(t, requests, result.DispatchLag.Count)
	require.Zero(t, result.FailedLookups)

	path := filepath.Join(t.TempDir(), "result.json")
	require.NoError(t, result.WriteFile(path))
	read, err := ReadResult(path)
	require.NoError(t, err)
	require.Equal(t, result.Rows, read.Rows)
	require.NoError(t, PlotLatency(read, filepath.Join(t.TempDir(), "latency.svg")))
	require.NoError(t, PlotOutcomes(read, filepath.Join(t.TempDir(), "outcomes.png")))
	var text strings.Builder
	require.NoError(t, Compare(&text, "a", result, "b", read))
	require.Contains(t, text.String(), "goodput 1/s")
}

func TestRunFindsAnswersOfOtherRequests(t *testing.T) {
	entry := startBaseline(t, baseline.Bare, listen(t, func(ctx *fasthttp.RequestCtx) {
		answerWithID(ctx, strings.Repeat("x", len(ctx.Request.Header.Peek("X-Request-Id"))))
	}))
	result := Run(t.Context(), shortExperiment(t, entry), nil)
	require.Positive(t, result.Faulty())
	require.Contains(t, result.Problems[0], "starts with")
}

func TestRunFindsCutAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\ncut"))
			c.Close()
		}
	}()
	result := Run(t.Context(), shortExperiment(t, ln.Addr().String()), nil)
	require.Positive(t, result.Rows[0].Outcomes[outcomeCut], result.Rows[0].Outcomes)
	require.Positive(t, result.Faulty())
	require.Positive(t, result.FailedLookups)
}

func TestCallersMoveToAnotherEntryInstance(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	var entry string
	entry = listen(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == lookupPath {
			ctx.SetBodyString(fmt.Sprintf(`{"entries":[{"address":%q},{"address":%q}],"ttl_seconds":1}`, closed.Addr(), entry))
			return
		}
		ctx.Response.Header.Set("X-Outcome", "served")
		echoHandler(ctx)
	})
	result := Run(t.Context(), shortExperiment(t, entry), nil)
	for _, row := range result.Rows {
		require.Equal(t, row.Requests, row.Outcomes["served"])
		require.Equal(t, row.Requests, row.Moved)
	}
	require.Greater(t, result.Lookups, int64(8), "an unreachable entry instance must cause another lookup")
}

func TestCallersRetryWhatWasNotRun(t *testing.T) {
	entry := listen(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
		ctx.Response.Header.Set("X-Outcome", "not-run")
		ctx.Response.Header.Set("X-Cause", "queue-full")
		ctx.SetStatusCode(429)
	})
	e := shortExperiment(t, entry)
	e.Retries = 2
	result := Run(t.Context(), e, nil)
	for _, row := range result.Rows {
		require.Equal(t, row.Requests, row.Outcomes["not-run"])
		require.Equal(t, 2*row.Requests, row.Retries)
		require.Equal(t, row.Requests, row.Causes["queue-full"])
		require.Zero(t, row.InTime)
	}
}
