//go:build prove

package prove

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// maxCrashedServers bounds the crashes of backend servers over all sends of the
// crashing read.
const maxCrashedServers = 2

// TestCrashingRequest sends a read that crashes the backend server running it, in
// several rounds through every entry instance in turn.
func TestCrashingRequest(t *testing.T) {
	f := startFleet(t, defaultShape)
	l := f.startLoad(1, steadyRate/2)
	time.Sleep(time.Second)
	const rounds = 4
	for range rounds {
		for _, p := range f.processes {
			f.sendCrashingRequest(p)
			time.Sleep(200 * time.Millisecond)
		}
	}
	crashes := int64(0)
	for _, s := range f.servers {
		crashes += s.Runs().Crashes
	}
	t.Logf("%d crashes of backend servers after %d sends", crashes, rounds*len(f.processes))
	require.LessOrEqual(t, crashes, int64(maxCrashedServers))
	f.checkRequests(l)
}

func (f *fleet) sendCrashingRequest(p *process) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.callersAddr + "/catalogue/broken")
	req.Header.Set(backend.HeaderCrash, "true")
	if err := fasthttp.DoTimeout(req, resp, requestTimeout); err != nil {
		f.t.Logf("crashing request at %s: %v", p.name, err)
		return
	}
	f.t.Logf("crashing request at %s: %s %s", p.name, resp.Header.Peek("X-Outcome"), resp.Header.Peek("X-Cause"))
}

// TestSilentConnections silences the open connections of two backend servers: they
// accept data and never answer, while new connections work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, defaultShape)
	l := f.startLoad(1, steadyRate)
	time.Sleep(2 * time.Second)
	silencedAt := time.Now()
	f.servers["catalogue-zone-a-0"].Silence()
	f.servers["checkout-zone-b-1"].Silence()
	time.Sleep(8 * time.Second)
	f.checkRequests(l)
	t.Logf("without an answer: %q", l.history.unansweredBySecond(silencedAt))
	checkAllServedFrom(t, l, silencedAt.Add(4*time.Second))
}
