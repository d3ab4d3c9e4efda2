package backend

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBufferedAnswer is the longest answer that is built in memory; longer ones
// are streamed.
const maxBufferedAnswer = 64 << 10

// job is one request for work.
type job struct {
	ctx         *fasthttp.RequestCtx
	conn        *conn
	requestID   string
	key         string
	deadline    time.Time // zero for none
	cancellable bool
	crash       <-chan struct{} // closed when the server crashes
	faults      Faults
}

func (s *Server) newJob(ctx *fasthttp.RequestCtx) *job {
	header := &ctx.Request.Header
	c := connOf(ctx)
	c.cut = cutNone
	return &job{
		ctx:         ctx,
		conn:        c,
		requestID:   string(header.Peek(HeaderRequestID)),
		key:         string(header.Peek(HeaderIdempotencyKey)),
		deadline:    deadlineOf(header),
		cancellable: s.config.Cancellable || string(header.Peek(HeaderCancellable)) == markerTrue,
		crash:       s.untilCrash(),
		faults:      s.Faults(),
	}
}

// deadlineOf returns the caller's deadline, zero without one.
func deadlineOf(header *fasthttp.RequestHeader) time.Time {
	millis, err := strconv.ParseInt(string(header.Peek(HeaderDeadline)), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

// handleWork runs a request in a slot, or sheds it.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx) {
	j := s.newJob(ctx)
	s.setIdentity(j)
	switch s.acquireSlot(j) {
	case slotGranted:
		defer s.slots.release()
		s.run(j)
	case slotAbandoned:
		_ = j.conn.Close()
	default:
		s.shed(j)
	}
}

func (s *Server) setIdentity(j *job) {
	j.ctx.Response.Header.Set(HeaderBackend, s.config.Name)
	if j.requestID != "" {
		j.ctx.Response.Header.Set(HeaderRequestID, j.requestID)
	}
	if j.faults.Draining {
		j.ctx.Response.Header.Set(HeaderDraining, markerTrue)
	}
}

// acquireSlot takes a slot, waiting in the queue where there is room.
func (s *Server) acquireSlot(j *job) slotResult {
	if !j.deadline.IsZero() && !time.Now().Before(j.deadline) {
		return slotExpired
	}
	granted, waiter := s.slots.tryAcquire()
	if granted {
		s.stateChanged()
		return slotGranted
	}
	if waiter == nil {
		return slotRefused
	}
	hungUp, stop := j.conn.watch()
	defer stop()
	return s.slots.wait(waiter, j.deadline, hungUp, j.crash)
}

// shed refuses a request that did not run.
func (s *Server) shed(j *job) {
	s.runs.shed()
	j.ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	j.ctx.Response.Header.Set(HeaderNotRun, markerTrue)
	seconds := int64((s.config.RetryAfter + time.Second - 1) / time.Second)
	j.ctx.Response.Header.Set(HeaderRetryAfter, strconv.FormatInt(seconds, 10))
}

// run does the work of a request that holds a slot.
func (s *Server) run(j *job) {
	s.runs.started(j.key, j.requestID)
	received, err := readUpload(j.ctx)
	if err != nil {
		s.runs.cancelled()
		j.conn.reset()
		return
	}
	if received.crash || string(j.ctx.Request.Header.Peek(HeaderCrash)) == markerTrue {
		s.Crash(s.config.CrashDowntime)
		j.conn.reset()
		return
	}
	if !s.work(j) {
		j.conn.reset()
		return
	}
	s.runs.completed()
	j.ctx.Response.Header.Set(HeaderBodyDigest, received.digest)
	s.answer(j)
}

// work spends the service time. It returns false when it was cut off by a
// crash or by a caller that hung up.
func (s *Server) work(j *job) bool {
	var hungUp <-chan struct{}
	if j.cancellable {
		watched, stop := j.conn.watch()
		defer stop()
		hungUp = watched
	}
	timer := time.NewTimer(s.timing.draw(string(j.ctx.Path()), j.faults.Slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-hungUp:
		s.runs.cancelled()
		return false
	case <-j.crash:
		return false
	}
}

// answer writes the answer of a request that ran.
func (s *Server) answer(j *job) {
	args := j.ctx.QueryArgs()
	status := j.number(args, HeaderAnswerStatus, "answer_status", fasthttp.StatusOK)
	if s.timing.chance(j.faults.FailShare) {
		status = fasthttp.StatusInternalServerError
	}
	j.ctx.SetStatusCode(status)
	length := j.number(args, HeaderAnswerBytes, "answer_bytes", s.config.AnswerBytes)
	chunked := string(j.ctx.Request.Header.Peek(HeaderAnswerChunked)) == markerTrue || args.Has("answer_chunked")
	cutLength := s.timing.chance(j.faults.CutLengthShare)
	cutChunked := s.timing.chance(j.faults.CutChunkedShare)
	if cutLength || cutChunked {
		j.conn.cut = cutAtBody
		j.ctx.Response.ImmediateHeaderFlush = true
	}
	j.send(length, (chunked || cutChunked) && !cutLength)
}

// send sets the body of an answer.
func (j *job) send(length int, chunked bool) {
	buffered := length <= maxBufferedAnswer && !j.ctx.Response.ImmediateHeaderFlush
	switch {
	case chunked:
		j.ctx.SetBodyStream(unsizedReader{AnswerReader(j.requestID, int64(length))}, -1)
	case buffered:
		j.ctx.SetBody(AnswerBody(j.requestID, length))
	default:
		j.ctx.SetBodyStream(AnswerReader(j.requestID, int64(length)), length)
	}
}

// unsizedReader hides the type of a reader, from which the HTTP server would
// learn the length of an answer that must be chunked.
type unsizedReader struct{ io.Reader }

// number reads a number from a header or else a query parameter.
func (j *job) number(args *fasthttp.Args, header, param string, fallback int) int {
	if n, err := strconv.Atoi(string(j.ctx.Request.Header.Peek(header))); err == nil && n >= 0 {
		return n
	}
	if n, err := args.GetUint(param); err == nil {
		return n
	}
	return fallback
}
