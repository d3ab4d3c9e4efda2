package ingress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/gaissmai/bart"
	"github.com/stretchr/testify/require"
)

// blockDirectory is a Directory that finds a caller's block by longest-prefix match, as
// the production directory does.
type blockDirectory struct {
	table  bart.Table[int]
	orders [][]Entry
}

func (d *blockDirectory) Entries(remote netip.Addr, dst []Entry) ([]Entry, time.Duration) {
	order, ok := d.table.Lookup(remote)
	if !ok {
		order = 0
	}
	return append(dst, d.orders[order]...), 5 * time.Second
}

const benchmarkBlocks = 130_000

func newBlockDirectory() *blockDirectory {
	d := &blockDirectory{}
	for i := range 7 {
		entries := make([]Entry, 7)
		for j := range entries {
			entries[j] = Entry{Instance: "entry-1", Zone: "munich-a", Address: "10.1.0.13:8080"}
		}
		entries[i].Zone = "munich-b"
		d.orders = append(d.orders, entries)
	}
	for i := range benchmarkBlocks {
		d.table.Insert(netip.PrefixFrom(benchmarkAddress(i), 24), i%7)
	}
	return d
}

func benchmarkAddress(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
}

func TestLookupDecisionDoesNotAllocate(t *testing.T) {
	d := newBlockDirectory()
	entries := make([]Entry, 0, 16)
	body := make([]byte, 0, 4096)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		found, ttl := d.Entries(benchmarkAddress(77), entries[:0])
		body = appendEntries(body[:0], found, ttl)
	}))
}

func BenchmarkLookupDecision(b *testing.B) {
	d := newBlockDirectory()
	entries := make([]Entry, 0, 16)
	for i := 0; b.Loop(); i++ {
		entries, _ = d.Entries(benchmarkAddress(i%benchmarkBlocks), entries[:0])
	}
}

func BenchmarkLookupDecisionAndEncoding(b *testing.B) {
	d := newBlockDirectory()
	entries := make([]Entry, 0, 16)
	body := make([]byte, 0, 4096)
	for i := 0; b.Loop(); i++ {
		found, ttl := d.Entries(benchmarkAddress(i%benchmarkBlocks), entries[:0])
		body = appendEntries(body[:0], found, ttl)
	}
}
