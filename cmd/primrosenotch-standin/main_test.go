package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// startCommand runs the command and reads the given number of output lines. It returns the
// addresses of the stand-ins by name. stop ends the command and returns its error.
func startCommand(t *testing.T, lines int, args ...string) (addrs map[string]string, stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	result := make(chan error, 1)
	go func() {
		err := run(ctx, args, writer)
		_ = writer.CloseWithError(err)
		result <- err
	}()
	addrs = make(map[string]string)
	scanner := bufio.NewScanner(reader)
	for range lines {
		require.True(t, scanner.Scan())
		name, addr, _ := strings.Cut(scanner.Text(), " ")
		addrs[name] = addr
	}
	return addrs, func() error {
		cancel()
		return <-result
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(body)
}

func TestPlatformCommand(t *testing.T) {
	addrs, stop := startCommand(t, 1, "platform", "--listen", "127.0.0.1:0")
	require.Contains(t, get(t, "http://"+addrs["platform"]+"/standin/faults"), `"outage":""`)
	require.NoError(t, stop())
}

func TestBackendBehindRelay(t *testing.T) {
	addrs, stopServers := startCommand(
		t, 3,
		"backend", "--server", "checkout-a=127.0.0.1:0,slots=8", "--count", "2", "--name", "permits", "--options", "slots=3",
	)
	require.Contains(t, get(t, "http://"+addrs["permits-02"]+"/_status"), `"slots":3`)
	links, stopRelay := startCommand(
		t, 2,
		"relay", "--link", "a-b=127.0.0.1:0,"+addrs["checkout-a"], "--control", "127.0.0.1:0",
	)
	require.Contains(t, get(t, "http://"+links["a-b"]+"/_status"), `"slots":8`)
	require.Contains(t, get(t, "http://"+links["control"]+"/standin/links"), addrs["checkout-a"])
	require.NoError(t, stopRelay())
	require.NoError(t, stopServers())
}

func TestInvalidArgumentsAreRejected(t *testing.T) {
	for _, args := range [][]string{
		{"backend"},
		{"backend", "--server", "nameless"},
		{"relay", "--link", "a-b"},
		{"platform", "--listen", "nowhere"},
	} {
		require.Error(t, run(t.Context(), args, io.Discard), args)
	}
}
