package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxLineBytes is the length of the longest line that is interpreted.
	maxLineBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading.
	readBufferBytes = 256 << 10
	// maxRequestLines bounds the lines kept of one request.
	maxRequestLines = 200
	// maxEventsPerInstance bounds the latest events that are held of each instance.
	maxEventsPerInstance = 256
	// maxInstances bounds the instances that are told apart.
	maxInstances = 1024
	// maxKeptEvents bounds the events kept around the lines of the request.
	maxKeptEvents = 2000
	// maxKills bounds the restarts without a stop that are remembered.
	maxKills = 100
	// linesPerCheck is the number of lines between two checks for cancellation.
	linesPerCheck = 1000
	// lookBack is how long before a line of the request an event may have caused it.
	lookBack = 30 * time.Second
	// lookAfter is how long after a line of the request an event may show its cause.
	lookAfter = 5 * time.Second
)

// Collector picks the lines that matter for one request from any number of logs. Its
// memory does not grow with the length of the logs.
type Collector struct {
	request   string
	quoted    []byte // the request as it is encoded in a line
	instances map[string]*instanceLog
	requests  []Line
	kept      []Line
	kills     []Kill
	stats     Stats
}

// instanceLog is what is held of one instance.
type instanceLog struct {
	events  []Line    // latest events, a ring once it is full
	next    int       // index in events of the oldest one once it is full
	until   time.Time // end of the span after a line of the request
	latest  time.Time // of its events
	stopped bool      // its last start or stop was a stop
}

// Kill is a start of an instance whose earlier process did not log that it had stopped.
type Kill struct {
	Instance  string    `json:"instance"`
	LastEvent time.Time `json:"last_event"`
	Started   time.Time `json:"started"`
}

// Stats counts what was read.
type Stats struct {
	Lines        int64 `json:"lines"`
	Unreadable   int64 `json:"unreadable"`
	Dropped      int64 `json:"dropped"` // as the instances have logged
	RequestLines int64 `json:"request_lines"`
	// Skipped counts the lines about requests beyond the instances' rate limits, of which
	// SkippedFailures were about refusals and failures.
	Skipped         int64 `json:"skipped"`
	SkippedFailures int64 `json:"skipped_failures"`
}

// NewCollector returns a Collector for a request.
func NewCollector(request string) *Collector {
	quoted, _ := json.Marshal(request) // a string can always be encoded
	return &Collector{request: request, quoted: quoted, instances: map[string]*instanceLog{}}
}

// Read reads a log to its end. It returns an error if reading fails or ctx ends.
func (c *Collector) Read(ctx context.Context, log io.Reader) error {
	r := bufio.NewReaderSize(log, readBufferBytes)
	var long []byte
	for n := 0; ; n++ {
		if n%linesPerCheck == 0 && ctx.Err() != nil {
			return fmt.Errorf("stopped after %d lines: %w", c.stats.Lines, ctx.Err())
		}
		line, rest, err := readLine(r, long[:0])
		long = rest
		if len(line) > 0 {
			c.add(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("after %d lines: %w", c.stats.Lines, err)
		}
	}
}

// readLine reads a line, of which it returns at most maxLineBytes. A line that does not fit
// into the reader's buffer is assembled in buffer, which is returned for the next call.
func readLine(r *bufio.Reader, buffer []byte) (line, reuse []byte, err error) {
	part, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return part, buffer, err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		buffer = append(buffer, part[:min(len(part), maxLineBytes-len(buffer))]...)
		part, err = r.ReadSlice('\n')
	}
	buffer = append(buffer, part[:min(len(part), maxLineBytes-len(buffer))]...)
	return buffer, buffer, err
}

var (
	requestKey  = []byte(`"request":`)
	skippedKey  = []byte(`"lines_skipped":`)
	answeredKey = []byte(`"msg":"answered"`)
	infoKey     = []byte(`"level":"info"`)
	instanceKey = `"instance":"`
)

// add interprets one line. Lines about other requests are only counted.
func (c *Collector) add(text []byte) {
	if len(bytes.TrimSpace(text)) == 0 {
		return
	}
	c.stats.Lines++
	object := jsonObject(text)
	if object == nil {
		c.stats.Unreadable++
		return
	}
	if bytes.Contains(object, requestKey) && !bytes.Contains(object, c.quoted) {
		c.countRequestLine(object)
		c.instance(string(stringField(object, instanceKey)))
		return
	}
	var line Line
	if err := json.Unmarshal(object, &line); err != nil {
		c.stats.Unreadable++
		return
	}
	switch line.Request {
	case c.request:
		c.countRequestLine(object)
		c.addRequest(line)
	case "":
		c.addEvent(line)
	default:
		c.countRequestLine(object)
		c.instance(line.Instance)
	}
}

// countRequestLine counts a line about a request and those that were skipped before it.
func (c *Collector) countRequestLine(object []byte) {
	c.stats.RequestLines++
	_, rest, found := bytes.Cut(object, skippedKey)
	if !found {
		return
	}
	end := bytes.IndexAny(rest, ",}")
	skipped, err := strconv.ParseInt(string(rest[:max(end, 0)]), 10, 64)
	if err != nil {
		c.stats.Unreadable++
		return
	}
	c.stats.Skipped += skipped
	if !bytes.Contains(object, answeredKey) || !bytes.Contains(object, infoKey) {
		c.stats.SkippedFailures += skipped
	}
}

// instance returns what is held of an instance, or nil if there are too many instances.
func (c *Collector) instance(name string) *instanceLog {
	i := c.instances[name]
	if i == nil && name != "" && len(c.instances) < maxInstances {
		i = &instanceLog{}
		c.instances[name] = i
	}
	return i
}

func (c *Collector) addRequest(line Line) {
	if len(c.requests) < maxRequestLines {
		c.requests = append(c.requests, line)
	}
	i := c.instance(line.Instance)
	if i == nil {
		return
	}
	for n := range i.events {
		if e := i.events[(i.next+n)%len(i.events)]; line.Time.Sub(e.Time) <= lookBack {
			c.keep(e)
		}
	}
	i.events, i.next = nil, 0 // kept already
	if until := line.Time.Add(lookAfter); until.After(i.until) {
		i.until = until
	}
}

func (c *Collector) addEvent(line Line) {
	c.stats.Dropped += line.Dropped
	i := c.instance(line.Instance)
	if i == nil {
		return
	}
	switch line.Message {
	case messageStopped:
		i.stopped = true
	case messageStarted:
		c.noteStart(i, line)
	}
	i.latest = line.Time
	if before := i.until.Sub(line.Time); before >= 0 && before <= lookBack+lookAfter {
		c.keep(line)
		return
	}
	if len(i.events) < maxEventsPerInstance {
		i.events = append(i.events, line)
		return
	}
	i.events[i.next] = line
	i.next = (i.next + 1) % len(i.events)
}

// noteStart notes a start of an instance that had not stopped since its last start.
func (c *Collector) noteStart(i *instanceLog, line Line) {
	if !i.latest.IsZero() && !i.stopped && len(c.kills) < maxKills {
		c.kills = append(c.kills, Kill{Instance: line.Instance, LastEvent: i.latest, Started: line.Time})
	}
	i.stopped = false
}

func (c *Collector) keep(line Line) {
	if len(c.kept) < maxKeptEvents {
		c.kept = append(c.kept, line)
	}
}

func compareLines(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Instance, b.Instance))
}

// instanceNames returns the names of the instances whose logs were read.
func (c *Collector) instanceNames() []string {
	names := make([]string, 0, len(c.instances))
	for name := range c.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
