//go:build prove

package prove

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

const (
	answerBytes    = 2000
	callersPerZone = 6
	maxAttempts    = 6
	retryDelay     = 100 * time.Millisecond
	onceShare      = 0.5 // of all requests
	repeatShare    = 0.2 // of once requests
	rememberedKeys = 256
)

// load is an open-loop load generator: it sends requests at a constant mean rate,
// independent of their outcomes.
type load struct {
	history history
	callers []*caller
	random  *rand.Rand
	prefix  string
	keys    []string
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startLoad sends rate requests per second on average until finish is called.
func (f *fleet) startLoad(seed uint64, rate int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{random: rand.New(rand.NewPCG(seed, 1)), prefix: fmt.Sprintf("r%d", seed), stop: cancel}
	for z := range f.shape.zones {
		for i := range callersPerZone {
			source := netip.AddrFrom4([4]byte{127, 0, byte(10 + z), byte(1 + i)})
			c := newCaller(source, f.addresses())
			c.refresh()
			l.callers = append(l.callers, c)
			go c.refreshLoop(ctx)
		}
	}
	l.running.Go(func() { l.run(ctx, time.Second/time.Duration(rate)) })
	f.t.Cleanup(func() { l.finish() })
	return l
}

// finish stops the load and waits for the requests in flight.
func (l *load) finish() {
	l.stop()
	l.running.Wait()
}

func (l *load) run(ctx context.Context, meanGap time.Duration) {
	due := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(l.random.ExpFloat64() * float64(meanGap)))
		time.Sleep(time.Until(due))
		caller := l.callers[l.random.IntN(len(l.callers))]
		name, once, otherEntry := l.nextRequest(n)
		l.running.Go(func() { l.request(caller, name, once, otherEntry) })
	}
}

// nextRequest draws the next request. It sets otherEntry for a repeat of an earlier
// once key, which is sent to another entry instance.
func (l *load) nextRequest(n int) (name string, once, otherEntry bool) {
	name = fmt.Sprintf("%s-%d", l.prefix, n)
	if l.random.Float64() >= onceShare {
		return name, false, false
	}
	if len(l.keys) > 0 && l.random.Float64() < repeatShare {
		return l.keys[l.random.IntN(len(l.keys))] + "/" + fmt.Sprint(n), true, true
	}
	if len(l.keys) < rememberedKeys {
		l.keys = append(l.keys, name)
	} else {
		l.keys[n%rememberedKeys] = name
	}
	return name + "/0", true, false
}

// request sends a request, and resends it up to maxAttempts times in all while it is
// unreachable or not run. The name of a once request is KEY/REPEAT.
func (l *load) request(c *caller, name string, once, otherEntry bool) {
	key := ""
	if once {
		key, _, _ = strings.Cut(name, "/")
	}
	for attempt := range maxAttempts {
		entries := *c.entries.Load()
		entry := entries[0]
		if otherEntry {
			entry = entries[(attempt+len(name))%len(entries)]
		}
		o := l.send(c, entry, operation{ID: fmt.Sprintf("%s.%d", name, attempt), Key: key, Entry: entry, Source: c.source.String()})
		l.history.add(o)
		switch o.Result {
		case unreachable, broken, timedOut:
			c.demote(entry)
		}
		if o.Result != notRun && o.Result != unreachable {
			return
		}
		time.Sleep(retryDelay)
	}
}

// send makes one attempt and returns it with its result.
func (l *load) send(c *caller, entry string, o operation) operation {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	buildRequest(req, entry, o)
	o.Called = time.Now()
	err := c.client(entry).DoTimeout(req, resp, requestTimeout)
	o.Ended = time.Now()
	if err != nil {
		o.Result, o.Detail = resultOf(err), err.Error()
		return o
	}
	if resp.ConnectionClose() {
		c.demote(entry)
	}
	return readResponse(o, resp)
}

func buildRequest(req *fasthttp.Request, entry string, o operation) {
	req.Header.Set(backend.HeaderRequestID, o.ID)
	if o.Key == "" {
		req.SetRequestURI(fmt.Sprintf("http://%s/catalogue/%s?answer_bytes=%d", entry, o.ID, answerBytes))
		return
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(backend.HeaderIdempotencyKey, o.Key)
	req.SetRequestURI(fmt.Sprintf("http://%s/orders?answer_bytes=%d", entry, answerBytes))
	req.SetBodyString("order " + o.Key)
}

func resultOf(err error) result {
	switch {
	case isUnreachable(err):
		return unreachable
	case errors.Is(err, fasthttp.ErrTimeout):
		return timedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return truncated
	default:
		return broken
	}
}

// readResponse adds the result in resp to o. It checks that the header belongs to this
// attempt and the body to this attempt or another one with the same key.
func readResponse(o operation, resp *fasthttp.Response) operation {
	o.Status = resp.StatusCode()
	o.Result = result(resp.Header.Peek("X-Outcome"))
	o.Cause = string(resp.Header.Peek("X-Cause"))
	if id := string(resp.Header.Peek(backend.HeaderRequestID)); id != o.ID {
		o.Result, o.Detail = wrongAnswer, fmt.Sprintf("the header names request %q", id)
		return o
	}
	if !o.answered() {
		return o
	}
	body := resp.Body()
	id, _, _ := bytes.Cut(body, []byte("\n"))
	o.AnswerID = string(id)
	if o.AnswerID != o.ID && (o.Key == "" || !strings.HasPrefix(o.AnswerID, o.Key+"/")) {
		o.Result, o.Detail = wrongAnswer, fmt.Sprintf("the body names request %q", id)
		return o
	}
	if n, err := backend.CheckAnswer(o.AnswerID, bytes.NewReader(body)); err != nil || n != answerBytes {
		o.Result, o.Detail = wrongAnswer, fmt.Sprintf("the body has %d bytes, want %d: %v", n, answerBytes, err)
	}
	return o
}
