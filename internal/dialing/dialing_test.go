package dialing

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stallingDialer returns a dialer whose first dials do not get the processor until well
// after their timeout, and a count of all its dials.
func stallingDialer(stalls int) (*net.Dialer, *int) {
	d := &net.Dialer{Timeout: 50 * time.Millisecond}
	var dials int
	d.Control = func(string, string, syscall.RawConn) error {
		if dials++; dials <= stalls {
			time.Sleep(d.Timeout + MaxLateness + 20*time.Millisecond)
		}
		return nil
	}
	return d, &dials
}

func listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

func TestDialsOnceMoreAfterAStall(t *testing.T) {
	d, dials := stallingDialer(1)
	conn, err := Dial(t.Context(), d, listen(t))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Equal(t, 2, *dials)
}

func TestReportsRepeatedStalls(t *testing.T) {
	d, dials := stallingDialer(2)
	_, err := Dial(t.Context(), d, listen(t))
	require.ErrorIs(t, err, ErrStalled)
	require.Equal(t, 2, *dials)
}

func TestTimeoutWithoutAStall(t *testing.T) {
	d, dials := stallingDialer(0)
	control := d.Control
	d.Control = func(network, address string, c syscall.RawConn) error {
		_ = control(network, address, c)
		return os.ErrDeadlineExceeded
	}
	_, err := Dial(t.Context(), d, listen(t))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NotErrorIs(t, err, ErrStalled)
	require.Equal(t, 1, *dials)
}
