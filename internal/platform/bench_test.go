package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

func benchmarkClient(b *testing.B) platform.Table {
	b.Helper()
	server := tablestore.New(tablestore.Faults{})
	require.NoError(b, server.Start("127.0.0.1:0"))
	b.Cleanup(func() { require.NoError(b, server.Close()) })
	client := platform.NewClient(platform.DefaultSettings(server.Addr()))
	b.Cleanup(client.Close)
	return client.Table()
}

// BenchmarkCommit commits one row of 200 bytes over HTTP. Client and stand-in run in
// the same process.
func BenchmarkCommit(b *testing.B) {
	table := benchmarkClient(b)
	txn := platform.Transaction{Writes: []platform.Write{{Key: "k", Value: make([]byte, 200)}}}
	b.ReportAllocs()
	for b.Loop() {
		if err := table.Commit(b.Context(), txn); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGet reads one row of 200 bytes over HTTP. Client and stand-in run in the
// same process.
func BenchmarkGet(b *testing.B) {
	table := benchmarkClient(b)
	txn := platform.Transaction{Writes: []platform.Write{{Key: "k", Value: make([]byte, 200)}}}
	require.NoError(b, table.Commit(b.Context(), txn))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Get(b.Context(), "k"); err != nil {
			b.Fatal(err)
		}
	}
}
