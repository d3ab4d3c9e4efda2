package explain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

var logStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// logLine returns a JSON line of an instance, after logStart by the given time. fields is
// the rest of the object.
func logLine(after time.Duration, instance, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"time":%q,"level":"info","instance":%q,"msg":%q%s}`+"\n",
		logStart.Add(after).Format("2006-01-02T15:04:05.000Z07:00"), instance, message, fields)
}

func read(t *testing.T, logs ...string) *Result {
	t.Helper()
	c := NewCollector("id-1")
	for _, log := range logs {
		require.NoError(t, c.Read(t.Context(), strings.NewReader(log)))
	}
	return c.Result()
}

const refusedFields = `"request":"id-1","cause":"no-route","outcome":"not-run","host":"h","path":"/p","host_known":false,"configuration":3`

func TestLinesMayHaveAPrefix(t *testing.T) {
	line := logLine(0, "e-1", "refused", refusedFields)
	for _, prefix := range []string{"", "  12.5 e-1 ", "Dec  4 06:00:00 host primrosenotch-edge[17]: ", "{app=edge} ", "é "} {
		r := read(t, prefix+line)
		require.Len(t, r.Lines, 1, prefix)
		require.Equal(t, Stats{Lines: 1, RequestLines: 1}, r.Stats, prefix)
		require.Equal(t, "no route of configuration 3 matches host h", r.Cause)
	}
}

func TestUnreadableLinesAreCounted(t *testing.T) {
	line := logLine(0, "e-1", "refused", refusedFields)
	r := read(t, strings.Join([]string{
		"panic: no object\n",
		line[:len(line)/2] + "\n",
		strings.Replace(line, `"configuration":3`, `"configuration":"three"`, 1),
		`{"request":"id-2","msg":"ans` + "\n",
		"\n  \n",
		line,
		strings.TrimSuffix(line, "\n"), // the last line may lack its end
	}, ""))
	require.Len(t, r.Lines, 2)
	require.Equal(t, Stats{Lines: 6, Unreadable: 4, RequestLines: 2}, r.Stats)
}

func TestLongLinesAreCutAndCounted(t *testing.T) {
	long := strings.Repeat("x", 3*maxLineBytes) + "\n"
	r := read(t, `{"msg":"`+long+logLine(0, "e-1", "refused", refusedFields)+long)
	require.Len(t, r.Lines, 1)
	require.Equal(t, Stats{Lines: 3, Unreadable: 2, RequestLines: 1}, r.Stats)
	padded := read(t, strings.Repeat(" ", 2*readBufferBytes)+logLine(0, "e-1", "refused", refusedFields))
	require.Len(t, padded.Lines, 1)
}

func TestLeftOutLinesAreCounted(t *testing.T) {
	r := read(t, logLine(0, "e-1", "answered", `"request":"id-2","lines_skipped":7,"status":200`)+
		logLine(0, "e-1", "refused", `"request":"id-1","cause":"stopping","lines_skipped":2`)+
		strings.Replace(logLine(0, "e-1", "answered", `"request":"id-2","status":500,"lines_skipped":1`), `"info"`, `"warning"`, 1)+
		logLine(0, "e-1", "answered", `"request":"id-2","lines_skipped":"many"`)+
		`{"level":"warning","msg":"log lines dropped","dropped":5}`+"\n")
	require.Equal(t, Stats{Lines: 5, Unreadable: 1, Dropped: 5, RequestLines: 4, Skipped: 10, SkippedFailures: 3}, r.Stats)
}

func TestOtherRequestsAreNotTakenForTheRequest(t *testing.T) {
	r := read(t,
		logLine(0, "e-1", "answered", `"request":"id-10","status":200`)+
			logLine(0, "e-1", "answered", `"request":"id-2","path":"/id-1","object":"id-1","status":200`)+
			logLine(0, "e-2", "ejected", `"subject":"id-1"`))
	require.False(t, r.Found())
	require.Equal(t, []string{"e-1", "e-2"}, r.Instances)
	require.Equal(t, int64(2), r.Stats.RequestLines)
}

func TestRequestIDMayNeedEscaping(t *testing.T) {
	c := NewCollector(`a"b<c`)
	require.NoError(t, c.Read(t.Context(), strings.NewReader(logLine(0, "e-1", "refused", `"request":"a\"b\u003cc","cause":"stopping"`))))
	require.True(t, c.Result().Found())
}

func TestLinesOfSeveralLogsAreOrderedByTime(t *testing.T) {
	first := logLine(time.Second, "e-2", "refused", `"request":"id-1","cause":"stopping","outcome":"not-run"`)
	second := logLine(2*time.Second, "e-1", "answered", `"request":"id-1","status":200,"server":"s-1","zone":"z","took_ms":20`)
	for _, logs := range [][]string{{first, second}, {second, first}} {
		r := read(t, logs...)
		require.Equal(t, []string{"refused", "answered"}, []string{r.Lines[0].Message, r.Lines[1].Message})
		require.Equal(t, "served in time by s-1 in z: status 200 after 20ms; it was the caller's last of 2 tries with this id", r.Cause)
	}
}

func TestOnlyEventsAroundTheRequestAreKept(t *testing.T) {
	attempt := `"request":"id-1","server":"s-1","zone":"z","attempt":1,"step":"dial","sent":false,"error":"refused"`
	about := `"subject":"s-1"`
	r := read(t, logLine(0, "e-1", "suspected", about)+
		logLine(40*time.Second, "e-1", "ejected", about)+
		logLine(41*time.Second, "e-2", "ejected", about)+ // another instance decides by itself
		logLine(42*time.Second, "e-1", "ejected", `"subject":"s-2"`)+
		logLine(43*time.Second, "e-1", "suspected", `"subject":"s-1","subject_kind":"fleet"`)+
		logLine(44*time.Second, "e-1", "store lost", `"table":"servers","error":"timed out"`)+
		logLine(50*time.Second, "e-1", "attempt failed", attempt)+
		logLine(51*time.Second, "e-1", "refused", `"request":"id-1","cause":"connect","outcome":"not-run"`)+
		logLine(55*time.Second, "e-1", "used again", about)+
		logLine(57*time.Second, "e-1", "ejected", about))
	var shown []string
	for i := range r.Lines {
		shown = append(shown, fmt.Sprintf("%.0f %s", r.Lines[i].Time.Sub(logStart).Seconds(), r.Lines[i].Message))
	}
	require.Equal(t, []string{"40 ejected", "44 store lost", "50 attempt failed", "51 refused", "55 used again"}, shown)
	require.True(t, r.Complete)
}

func TestHeldEventsAreBounded(t *testing.T) {
	c := NewCollector("id-1")
	var log strings.Builder
	for i := range 3 * maxEventsPerInstance {
		log.WriteString(logLine(time.Duration(i)*time.Millisecond, "e-1", "ejected", `"subject":"s-1"`))
	}
	for i := range 2 * maxInstances {
		log.WriteString(logLine(0, fmt.Sprint("other-", i), "ejected", `"subject":"s-1"`))
	}
	require.NoError(t, c.Read(t.Context(), strings.NewReader(log.String())))
	require.Len(t, c.instances["e-1"].events, maxEventsPerInstance)
	require.Len(t, c.instances, maxInstances)
	require.NoError(t, c.Read(t.Context(), strings.NewReader(strings.Repeat(logLine(time.Second, "e-1", "attempt failed", `"request":"id-1","server":"s-1"`), 2*maxRequestLines))))
	require.Len(t, c.requests, maxRequestLines)
	require.Len(t, c.kept, maxEventsPerInstance)
	require.Equal(t, logStart.Add(2*maxEventsPerInstance*time.Millisecond), c.kept[0].Time, "the latest are held, in order")
	r := c.Result()
	require.Equal(t, maxEventsPerInstance-maxShownEvents, r.OmittedEvents)
}

func TestStartWithoutStopIsAKill(t *testing.T) {
	r := read(t, logLine(0, "e-1", "started", "")+
		logLine(time.Second, "e-1", "stopped", "")+
		logLine(2*time.Second, "e-1", "started", "")+
		logLine(3*time.Second, "e-1", "ejected", `"subject":"s-1"`)+
		logLine(4*time.Second, "e-1", "started", ""))
	require.Equal(t, []Kill{{Instance: "e-1", LastEvent: logStart.Add(3 * time.Second), Started: logStart.Add(4 * time.Second)}}, r.Kills)
}

func TestReadReportsErrorsWithTheLinesRead(t *testing.T) {
	c := NewCollector("id-1")
	log := io.MultiReader(strings.NewReader("one\ntwo\n"), iotest.ErrReader(errors.New("disk failed")))
	require.EqualError(t, c.Read(t.Context(), log), "after 2 lines: disk failed")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.Read(ctx, strings.NewReader("x\n")), context.Canceled)
}

// BenchmarkRead measures the time for one line about another request.
func BenchmarkRead(b *testing.B) {
	line := logLine(0, "e-1", "answered", `"request":"id-2","host":"shop.example","path":"/orders/7","server":"s-1","zone":"z","status":200,"took_ms":20,"load":3,"load_age_ms":20,"route":"orders","service":"shop"`)
	log := strings.Repeat(line, 1000)
	b.SetBytes(int64(len(log)))
	c := NewCollector("id-1")
	for b.Loop() {
		if err := c.Read(b.Context(), strings.NewReader(log)); err != nil {
			b.Fatal(err)
		}
	}
}
