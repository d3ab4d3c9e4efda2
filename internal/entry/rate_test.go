package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// TestServersThatNameALimitGetNoMore has the servers of a real fleet name a limit while more
// reads arrive than they take.
func TestServersThatNameALimitGetNoMore(t *testing.T) {
	const perSecond, period, every = 2.0, 4 * time.Second, 25 * time.Millisecond
	f := startFleet(t)
	for _, server := range f.servers {
		server.SetFaults(backend.Faults{Limit: perSecond})
	}
	var callers sync.WaitGroup
	send := func(length time.Duration) {
		for i, began := 0, time.Now(); time.Since(began) < length; i++ {
			callers.Go(func() { f.send(i%len(f.callers), http.MethodGet, fmt.Sprint("/shop/", i), nil) })
			time.Sleep(every)
		}
	}
	runs := func() (n int) {
		for _, server := range f.servers {
			n += int(server.Runs().Started)
		}
		return n
	}
	send(time.Second)
	before := runs()
	send(period)
	during := runs() - before
	require.LessOrEqual(t, during, len(f.servers)*int(1.5*perSecond*period.Seconds()+5))
	require.Greater(t, during, len(f.servers)*int(perSecond*period.Seconds())/2)
	for _, server := range f.servers {
		server.SetFaults(backend.Faults{})
	}
	callers.Wait()
}
