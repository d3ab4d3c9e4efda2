package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoppingInstanceAcceptsOnlyWhatItCanFinish guards against breaking off requests that
// were accepted late in a stop, with the times of a stop of 10 s.
func TestStoppingInstanceAcceptsOnlyWhatItCanFinish(t *testing.T) {
	started := time.Now()
	w := stopWindow{acceptUsual: started.Add(3 * time.Second), abort: started.Add(9300 * time.Millisecond)}
	for _, c := range []struct {
		after, most, usual time.Duration
		accepted           bool
	}{
		{0, 30 * time.Second, time.Second, true},
		{0, 30 * time.Second, 9300 * time.Millisecond, false},
		{0, 30 * time.Second, 30 * time.Second, false},
		{2900 * time.Millisecond, 8 * time.Second, 6 * time.Second, true},
		{2900 * time.Millisecond, 8 * time.Second, 7 * time.Second, false},
		{2900 * time.Millisecond, 8 * time.Second, 8 * time.Second, false},
		{3 * time.Second, 6 * time.Second, 6 * time.Second, true},
		{3100 * time.Millisecond, 8 * time.Second, time.Second, false},
		{4400 * time.Millisecond, 4700 * time.Millisecond, time.Second, true},
		{4400 * time.Millisecond, 4900 * time.Millisecond, time.Second, false},
	} {
		require.Equal(t, c.accepted, w.accepts(started.Add(c.after), c.most, c.usual), "%+v", c)
	}
}
