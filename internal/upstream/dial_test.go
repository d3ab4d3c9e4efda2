package upstream

import (
	"syscall"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/dialing"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/stretchr/testify/require"
)

// stallingDials returns a client whose first dials do not get the processor until well
// after their timeout.
func stallingDials(t *testing.T, stalls int) *Client {
	const timeout = 50 * time.Millisecond
	c := newClient(t, Settings{DialTimeout: timeout})
	var dials int
	c.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials++; dials <= stalls {
			time.Sleep(timeout + dialing.MaxLateness + 20*time.Millisecond)
		}
		return nil
	}
	return c
}

func TestDialsOnceMoreAfterAStallOfTheProcess(t *testing.T) {
	s := startServer(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	response, sendErr := stallingDials(t, 1).Send(testContext(t), newGet(s))
	require.Equal(t, "ok", readBody(t, response, sendErr))
}

func TestStallsOfTheProcessAreNotTheServersFailure(t *testing.T) {
	s := startServer(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	c := stallingDials(t, 2)
	_, sendErr := c.Send(testContext(t), newGet(s))
	require.ErrorIs(t, sendErr, dialing.ErrStalled)
	require.Equal(t, event.AttemptNotSent, sendErr.Result)
	require.Equal(t, StepLimit, sendErr.Step)
	require.Equal(t, Connections{}, c.Count(s.addr))
}
