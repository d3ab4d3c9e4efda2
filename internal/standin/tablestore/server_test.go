package tablestore_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

type testClient struct {
	t      *testing.T
	server *tablestore.Server
}

func start(t *testing.T) testClient {
	t.Helper()
	server := tablestore.New(tablestore.Faults{})
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return testClient{t: t, server: server}
}

func (c testClient) try(method, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.server.Addr()+path, strings.NewReader(body))
	require.NoError(c.t, err)
	return http.DefaultClient.Do(request)
}

func (c testClient) call(method, path, body string, wantedStatus int) string {
	c.t.Helper()
	answer, err := c.try(method, path, body)
	require.NoError(c.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, wantedStatus, answer.StatusCode, string(text))
	return string(text)
}

func (c testClient) setFaults(faults string) {
	c.call(http.MethodPut, tablestore.PathFaults, faults, http.StatusOK)
}

const commit = `{"writes":[{"key":"k","value":"dg=="}]}`

func TestFaultsOverHTTP(t *testing.T) {
	c := start(t)
	c.setFaults(`{"outage":"error"}`)
	c.call(http.MethodPost, wire.PathCommit, commit, http.StatusServiceUnavailable)
	require.Contains(t, c.call(http.MethodGet, tablestore.PathFaults, "", http.StatusOK), `"outage":"error"`)

	c.setFaults(`{"outage":"closed","services":["objects"]}`)
	c.call(http.MethodPost, wire.PathCommit, commit, http.StatusOK)
	_, err := c.try(http.MethodPut, wire.PathObject+"?name=a", "")
	require.Error(t, err)

	c.setFaults(`{"lost_replies":1}`)
	_, err = c.try(http.MethodPost, wire.PathCommit, commit)
	require.Error(t, err)
	c.setFaults(`{"lost_requests":1}`)
	_, err = c.try(http.MethodPost, wire.PathCommit, commit)
	require.Error(t, err)

	c.setFaults(`{"latency_ms":50,"jitter_ms":5}`)
	begin := time.Now()
	c.call(http.MethodPost, wire.PathGet, `{"keys":["k"]}`, http.StatusOK)
	require.GreaterOrEqual(t, time.Since(begin), 50*time.Millisecond)

	c.setFaults(`{"reads_per_second":0.001,"writes_per_second":0.001}`)
	c.call(http.MethodPost, wire.PathGet, `{"keys":["k"]}`, http.StatusOK)
	c.call(http.MethodPost, wire.PathGet, `{"keys":["k"]}`, http.StatusTooManyRequests)
	c.call(http.MethodPost, wire.PathCommit, commit, http.StatusOK)
	c.call(http.MethodPost, wire.PathCommit, commit, http.StatusTooManyRequests)

	var counters tablestore.Counters
	require.NoError(t, json.Unmarshal([]byte(c.call(http.MethodGet, tablestore.PathCounters, "", http.StatusOK)), &counters))
	require.Equal(t, tablestore.Counters{Gets: 2, Commits: 3, Refused: 4, LostRequests: 1, LostReplies: 1}, counters)
}

func TestInstanceListOverHTTP(t *testing.T) {
	c := start(t)
	entry := `{"zone":"munich-a","leaving":true,"backend":"checkout-1"}`
	c.call(http.MethodPost, tablestore.PathLines, `{"instance":`+entry+`}`, http.StatusNoContent)
	c.setFaults(`{"list_lag_ms":60000}`)
	require.Contains(t, c.call(http.MethodGet, tablestore.PathLines, "", http.StatusOK), entry[1:len(entry)-1])
	require.JSONEq(t, `{"instances":[]}`, c.call(http.MethodGet, wire.PathInstances, "", http.StatusOK))
	c.setFaults(`{}`)
	require.Contains(t, c.call(http.MethodGet, wire.PathInstances, "", http.StatusOK), `"leaving":true`)
	c.call(http.MethodDelete, tablestore.PathLines, entry, http.StatusNoContent)
	require.JSONEq(t, `{"instances":[]}`, c.call(http.MethodGet, wire.PathInstances, "", http.StatusOK))
}

func TestTableIsRestoredFromCopy(t *testing.T) {
	c := start(t)
	get := func() string { return c.call(http.MethodPost, wire.PathGet, `{"keys":["k"]}`, http.StatusOK) }
	c.call(http.MethodPost, tablestore.PathRestore, "", http.StatusConflict)
	c.call(http.MethodPost, wire.PathCommit, commit, http.StatusOK)
	copied := get()
	c.call(http.MethodPost, tablestore.PathCopy, "", http.StatusNoContent)
	version := c.call(http.MethodPost, wire.PathCommit, commit, http.StatusOK)
	require.NotEqual(t, copied, get())
	c.call(http.MethodPost, tablestore.PathRestore, "", http.StatusNoContent)
	require.Equal(t, copied, get())
	require.Equal(t, version, c.call(http.MethodPost, wire.PathCommit, commit, http.StatusOK), "given out again")
}

func TestMalformedCallsAreNotApplied(t *testing.T) {
	c := start(t)
	for path, body := range map[string]string{
		wire.PathCommit:    `{"writes":7}`,
		wire.PathInstances: `{"instance":{"id":"a"},"ttl_ms":0}`,
	} {
		answer, err := c.try(http.MethodPost, path, body)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, answer.StatusCode)
		require.Equal(t, wire.MarkerTrue, answer.Header.Get(wire.HeaderNotApplied))
		require.NoError(t, answer.Body.Close())
	}
}
