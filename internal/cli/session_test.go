package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// transcript runs commands in sequence and records their output for comparison
// with a golden file.
type transcript struct {
	t        *testing.T
	table    *fakeTable
	files    map[string]string
	stdin    string
	out      bytes.Buffer
	clock    time.Time
	ids      int
	replacer *strings.Replacer // replaces addresses whose ports differ between runs
}

func newTranscript(t *testing.T) *transcript {
	return &transcript{
		t:        t,
		table:    &fakeTable{rows: map[string]platform.Row{}},
		files:    map[string]string{"shop.ini": shopText},
		clock:    time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		replacer: strings.NewReplacer(),
	}
}

func (tr *transcript) environment(stdout, stderr *bytes.Buffer) *Environment {
	return &Environment{
		Stdin:  strings.NewReader(tr.stdin),
		Stdout: stdout,
		Stderr: stderr,
		Now: func() time.Time {
			tr.clock = tr.clock.Add(time.Minute)
			return tr.clock
		},
		Author: "ana",
		NewID: func() string {
			tr.ids++
			return fmt.Sprintf("id-%d", tr.ids)
		},
		ReadFile: func(name string) ([]byte, error) {
			content, found := tr.files[name]
			if !found {
				return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
			}
			return []byte(content), nil
		},
		OpenFile: func(name string) (io.ReadCloser, error) {
			content, found := tr.files[name]
			if !found {
				return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
			}
			return io.NopCloser(strings.NewReader(content)), nil
		},
		OpenTable: func(string) (platform.Table, error) { return tr.table, nil },
	}
}

// run runs one command, checks its exit code and returns its standard output.
func (tr *transcript) run(wantCode int, args ...string) string {
	tr.t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(tr.t.Context(), tr.environment(&stdout, &stderr), args)
	fmt.Fprintf(&tr.out, "$ primrosenotch %s\n", tr.replacer.Replace(strings.Join(args, " ")))
	tr.out.WriteString(tr.replacer.Replace(stdout.String()))
	for line := range strings.Lines(tr.replacer.Replace(stderr.String())) {
		fmt.Fprintf(&tr.out, "! %s", line)
	}
	fmt.Fprintf(&tr.out, "exit %d\n\n", code)
	require.Equal(tr.t, wantCode, code, "%v\n%s", args, tr.out.String())
	return stdout.String()
}

func (tr *transcript) assert(name string) {
	tr.t.Helper()
	goldie.New(tr.t).Assert(tr.t, name, tr.out.Bytes())
}

const platformFlag = "--platform=platform:7000"

const shopText = `[zone munich-a]
region = munich
[zone munich-b]
region = munich
[zone frankfurt-a]
region = frankfurt
[service checkout]
target = 99.9% in 300ms
[route place-order]
service = checkout
match = POST /orders
rank = urgent
kind = once
deadline = 800ms
[backend checkout-01]
service = checkout
zone = munich-a
address = 127.0.0.1:21001
slots = 8
[backend checkout-02]
service = checkout
zone = munich-b
address = 127.0.0.1:21002
slots = 8
[callers bavaria]
blocks = 10.64.0.0/12
home = munich-a, munich-b
`

func TestSessionOfTextAndStops(t *testing.T) {
	tr := newTranscript(t)
	tr.run(ExitRejected, "get")
	tr.run(ExitFailed, "get", platformFlag)
	tr.run(ExitOK, "check", "shop.ini")
	tr.run(ExitRejected, "apply", "shop.ini", platformFlag)
	tr.run(ExitOK, "apply", "shop.ini", "-m", "first text", platformFlag)
	tr.files["shop.ini"] = strings.Replace(shopText, "slots = 8", "slots = 6", 1)
	tr.run(ExitOK, "diff", "shop.ini", platformFlag)
	tr.run(ExitOK, "apply", "shop.ini", "-m", "smaller machine", "--author", "rui", platformFlag)
	tr.files["late.ini"] = strings.Replace(shopText, "deadline = 800ms", "deadline = 1s", 1)
	tr.run(ExitConflict, "apply", "late.ini", "-m", "more time", "--base", "1", platformFlag)
	tr.run(ExitConflict, "apply", "late.ini", "-m", "more time", "--base", "1", "--format", "json", platformFlag)
	tr.run(ExitOK, "diff", "--stop", "backend:checkout-02", platformFlag)
	tr.run(ExitRejected, "stop", "backend:chekout-02", "-m", "new disk", platformFlag)
	tr.run(ExitRejected, "stop", "server:checkout-02", "-m", "new disk", platformFlag)
	tr.run(ExitOK, "stop", "backend:checkout-02", "-m", "new disk", "--id", "disk-02", platformFlag)
	tr.run(ExitOK, "stop", "list", platformFlag)
	tr.run(ExitOK, "stop", "zone:frankfurt-a", "-m", "power test", "--format", "json", platformFlag)
	tr.run(ExitRejected, "stop", "cancel", "id-99", "-m", "done", platformFlag)
	tr.run(ExitOK, "stop", "cancel", "disk-02", "-m", "disk is in", platformFlag)
	tr.run(ExitOK, "history", platformFlag)
	tr.run(ExitOK, "history", "--limit", "1", "--format", "json", platformFlag)
	require.Equal(t, shopText, tr.run(ExitOK, "get", "--revision", "1", platformFlag))
	tr.assert("text_and_stops")
}

func TestSessionOfFailures(t *testing.T) {
	tr := newTranscript(t)
	tr.files["broken.ini"] = "[zone a]\n[service s]\nslots = 3\n"
	tr.run(ExitRejected, "check", "broken.ini")
	tr.run(ExitRejected, "check", "broken.ini", "--format", "json")
	tr.run(ExitFailed, "check", "missing.ini")
	tr.run(ExitRejected, "chekc", "shop.ini")
	tr.run(ExitRejected, "check", "shop.ini", "--format", "html")
	tr.run(ExitOK, "diff", "shop.ini", "--from", "shop.ini")
	tr.table.replyLost = true
	tr.run(ExitOutcomeUnknown, "apply", "shop.ini", "-m", "first text", platformFlag, "--timeout", "100ms")
	tr.run(ExitUnreachable, "history", platformFlag)
	tr.table.replyLost, tr.table.down = false, false
	tr.run(ExitOK, "apply", "shop.ini", "-m", "first text", "--base", "0", "--operation-id", "id-1", platformFlag)
	tr.run(ExitUnreachable, "status", "--entry", "127.0.0.1:1", "--timeout", "1s")
	tr.assert("failures")
}

func TestHelpShowsExamples(t *testing.T) {
	tr := newTranscript(t)
	tr.run(ExitOK, "--help")
	tr.run(ExitOK, "apply", "--help")
	tr.run(ExitOK, "stop", "--help")
	tr.run(ExitOK, "stop", "cancel", "--help")
	tr.assert("help")
}
