package cli

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests in testdata/edge.log, which holds lines of a fleet with a prefix.
const (
	loggedFull    = "264112d435fa542e"
	loggedBroken  = "a80a68bda45cba8e"
	loggedTimeout = "d39c3fad64ec1486"
	loggedLate    = "82cd7ad098563bcf"
)

func TestSessionOfLogs(t *testing.T) {
	tr := newTranscript(t)
	log, err := os.ReadFile("testdata/edge.log")
	require.NoError(t, err)
	tr.files["edge.log"] = string(log)
	tr.run(ExitOK, "explain", loggedFull, "--log", "edge.log")
	tr.run(ExitOK, "explain", loggedBroken, "--log", "edge.log")
	tr.run(ExitOK, "explain", loggedTimeout, "--log", "edge.log")
	tr.stdin = "built in 2 s\n" + string(log)
	tr.run(ExitOK, "explain", loggedLate, "--log", "-", "--format", "json")
	tr.stdin = ""

	var attempts []string // without the line that tells the end
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, loggedBroken) && strings.Contains(line, "attempt failed") {
			attempts = append(attempts, line)
		}
	}
	tr.files["cut.log"] = strings.Join(attempts, "")
	tr.run(ExitOK, "explain", loggedBroken, "--log", "cut.log")
	tr.files["again.log"] = `{"instance":"edge-muc-a-2","msg":"started","time":"2026-03-06T09:42:20Z"}` + "\n"
	tr.run(ExitFailed, "explain", "no-such-id", "--log", "edge.log", "--log", "again.log")
	tr.run(ExitFailed, "explain", "no-such-id", "--log", "shop.ini")
	tr.run(ExitFailed, "explain", loggedFull, "--log", "edge.log", "--log", "missing.log")
	tr.run(ExitFailed, "explain", loggedFull, "--log", "edge.log", "--timeout", "1ns")
	tr.run(ExitRejected, "explain", "--log", "edge.log")
	tr.run(ExitOK, "explain", "--help")
	tr.assert("logs")
}
