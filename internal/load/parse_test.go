package load

import (
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const example = `
[experiment]
seed = 7
entries = 127.0.0.1:8001, 127.0.0.1:8002
retries = 2

[phase warm]
length = 2s

[phase flood]
length = 5s
factor background = 10

[class orders]
rank = urgent
kind = once
method = POST
path = /orders
rate = 50
callers = 127.1.0.0/28
body bytes = 200
answer bytes = 500
repeat = 5%
deadline = 800ms

[class tiles]
rank = background
path = /tiles
rate = 100
`

func TestParse(t *testing.T) {
	e, err := Parse([]byte(example))
	require.NoError(t, err)
	require.EqualValues(t, 7, e.Seed)
	require.Equal(t, 7*time.Second, e.Length())
	require.Equal(t, [model.RankCount]float64{1, 1, 10}, e.Phases[1].Factors)
	require.Equal(t, model.Once, e.Classes[0].Kind)
	require.InDelta(t, 0.05, e.Classes[0].Repeat, 1e-9)
	require.Equal(t, "GET", e.Classes[1].Method)
	require.Len(t, sourcesOf(e.Classes[0].Callers), 15)
	require.Len(t, sourcesOf(e.Classes[1].Callers), 1)
}

func TestParseReportsEveryError(t *testing.T) {
	_, err := Parse([]byte(`
[experiment]
entries = nonsense
retries = 99
speed = 1

[phase a]
length = -1s

[class x]
rank = soon
path = orders
rate = many
repeat = 120%

[class y]
path = /y
method = GET
body bytes = 3

[tower]
`))
	require.Error(t, err)
	goldie.New(t).Assert(t, "parse-errors", []byte(err.Error()+"\n"))
}

func TestArrivalsFollowTheRatesAndTheSeed(t *testing.T) {
	e, err := Parse([]byte(example))
	require.NoError(t, err)
	draw := func(seed uint64) (times []time.Duration, byPhase [2]int) {
		e.Seed = seed
		a := newArrivals(e, 1)
		for {
			at, phase, ok := a.next()
			if !ok {
				return times, byPhase
			}
			times = append(times, at)
			byPhase[phase]++
		}
	}
	first, counts := draw(1)
	again, _ := draw(1)
	other, _ := draw(2)
	require.Equal(t, first, again)
	require.NotEqual(t, first, other)
	require.IsIncreasing(t, first)
	require.InDelta(t, 200, counts[0], 60)   // 2 s at 100/s, over four standard deviations
	require.InDelta(t, 5000, counts[1], 300) // 5 s at 1000/s
}
