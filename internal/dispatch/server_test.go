package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestSaturatedServersAreNotBelievedIdle replays what one instance of a large fleet sees of
// an overload: each server tells it of nine requests of other instances now and then, and
// nothing in between. Sent on as if the servers were idle, requests wait in full queues
// until they are late, at every instance at once.
func TestSaturatedServersAreNotBelievedIdle(t *testing.T) {
	d := newDispatcher(testRoute())
	const others = 40
	now := start
	id := model.RequestID(0)
	for range 40 {
		id++
		now = now.Add(300 * time.Millisecond)
		f := arrive(d, now, id, "7")
		if _, sent := f.(*Send); !sent {
			continue
		}
		now = now.Add(100 * time.Millisecond)
		d.Step(&AttemptEnded{At: now, Request: id, Attempt: runningAttempt(d, id), Result: event.AttemptComplete, Report: ServerReport{HasLoad: true, Running: 4, Waiting: others - 4}})
		d.Step(&RequestEnded{At: now, Request: id})
	}
	requireRefuse(t, arrive(d, now.Add(5*time.Second), id+1, "7"), model.NotRun, model.CauseQueueFull)
}

func TestLoadFadesToWhatIsUsual(t *testing.T) {
	region := &average{}
	region.add(2)
	s := &server{regionLoad: region, warm: warmSet{}}
	require.InDelta(t, 2, s.load(at(time.Hour)), 0.01, "nothing reported yet")
	for i := range 3 {
		s.applyReport(at(time.Duration(i)*time.Second), at(time.Duration(i)*time.Second), &ServerReport{HasLoad: true, Running: 8}, 0)
	}
	s.applyReport(at(3*time.Second), at(3*time.Second), &ServerReport{HasLoad: true, Running: 1}, 0)
	require.InDelta(t, 1, s.load(at(3*time.Second)), 0.01, "just reported")
	require.InDelta(t, s.usualLoad.value, s.load(at(time.Minute)), 0.01)
	require.Greater(t, s.usualLoad.value, 5.0)
}

// TestSlotTimeLeavesOutWaits guards against counting a wait in the queue as run time: the
// longer requests waited, the less a server seemed able to take.
func TestSlotTimeLeavesOutWaits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := &runTimes{objective: time.Second}
	for range 400 {
		run := 0.1 * (0.9 + 0.2*random.Float64())
		if random.Float64() < 0.5 {
			run += random.Float64()
		}
		r.warm.add(run)
		r.unqueued.add(run)
	}
	require.InDelta(t, 0.1, r.slotTime().Seconds(), 0.03)
}
