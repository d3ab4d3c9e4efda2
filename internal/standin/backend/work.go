package backend

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBufferedAnswer is the maximum length in bytes of an answer that is built in memory;
// longer answers are streamed.
const maxBufferedAnswer = 64 << 10

// job is a request that needs a slot.
type job struct {
	ctx         *fasthttp.RequestCtx
	conn        *conn
	requestID   string
	key         string
	deadline    time.Time // zero if the request has none
	cancellable bool
	crash       <-chan struct{} // closed when the server crashes
	faults      Faults
}

func (s *Server) newJob(ctx *fasthttp.RequestCtx) *job {
	header := &ctx.Request.Header
	c := connOf(ctx)
	c.truncation = truncateNone
	return &job{
		ctx:         ctx,
		conn:        c,
		requestID:   string(header.Peek(HeaderRequestID)),
		key:         string(header.Peek(HeaderIdempotencyKey)),
		deadline:    deadlineOf(header),
		cancellable: s.config.Cancellable || string(header.Peek(HeaderCancellable)) == markerTrue,
		crash:       s.crashSignal(),
		faults:      s.Faults(),
	}
}

// deadlineOf returns the deadline from HeaderDeadline, or zero if it is absent or malformed.
func deadlineOf(header *fasthttp.RequestHeader) time.Time {
	millis, err := strconv.ParseInt(string(header.Peek(HeaderDeadline)), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

// handleWork runs a request in a slot. It sheds the request if the queue is full or the
// deadline passes first, or if the server wants nothing for a while, and closes the connection if the wait for a slot is abandoned.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx) {
	j := s.newJob(ctx)
	s.setHeaders(j)
	if j.faults.RetryAfterSeconds > 0 {
		s.shed(j, j.faults.RetryAfterSeconds)
		return
	}
	switch s.acquireSlot(j) {
	case slotGranted:
		defer s.slots.release()
		s.run(j)
	case slotAbandoned:
		_ = j.conn.Close()
	default:
		s.shed(j, int64((s.config.RetryAfter+time.Second-1)/time.Second))
	}
}

func (s *Server) setHeaders(j *job) {
	j.ctx.Response.Header.Set(HeaderBackend, s.config.Name)
	if j.requestID != "" {
		j.ctx.Response.Header.Set(HeaderRequestID, j.requestID)
	}
	if j.faults.Draining {
		j.ctx.Response.Header.Set(HeaderDraining, markerTrue)
	}
	if j.faults.Limit > 0 {
		j.ctx.Response.Header.Set(HeaderLimit, strconv.FormatFloat(j.faults.Limit, 'g', -1, 64))
	}
}

// acquireSlot acquires a slot; it waits in the queue if no slot is free and the queue is not
// full.
func (s *Server) acquireSlot(j *job) slotResult {
	if !j.deadline.IsZero() && !time.Now().Before(j.deadline) {
		return slotExpired
	}
	granted, waiter := s.slots.tryAcquire()
	if granted {
		s.recordStatus()
		return slotGranted
	}
	if waiter == nil {
		return slotRefused
	}
	disconnected, stop := j.conn.watchDisconnect()
	defer stop()
	return s.slots.wait(waiter, j.deadline, disconnected, j.crash)
}

// shed answers 503 to a request that did not run, with the seconds after which to come back.
func (s *Server) shed(j *job, seconds int64) {
	s.runs.shed()
	j.ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	j.ctx.Response.Header.Set(HeaderNotRun, markerTrue)
	j.ctx.Response.Header.Set(HeaderRetryAfter, strconv.FormatInt(seconds, 10))
}

// run executes a request that holds a slot.
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
	if !s.simulateWork(j) {
		j.conn.reset()
		return
	}
	s.runs.completed()
	j.ctx.Response.Header.Set(HeaderBodyDigest, received.digest)
	s.answer(j)
}

// simulateWork waits for the service time of the request. It returns false if the server
// crashed or the caller of a cancellable request closed the connection.
func (s *Server) simulateWork(j *job) bool {
	var disconnected <-chan struct{}
	if j.cancellable {
		watched, stop := j.conn.watchDisconnect()
		defer stop()
		disconnected = watched
	}
	timer := time.NewTimer(s.latencyModel.draw(string(j.ctx.Path()), j.faults.Slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-disconnected:
		s.runs.cancelled()
		return false
	case <-j.crash:
		return false
	}
}

// answer sets the answer to a completed request and applies the faults for answers.
func (s *Server) answer(j *job) {
	args := j.ctx.QueryArgs()
	status := j.intOption(args, HeaderAnswerStatus, "answer_status", fasthttp.StatusOK)
	if s.latencyModel.drawEvent(j.faults.FailShare) {
		status = fasthttp.StatusInternalServerError
	}
	j.ctx.SetStatusCode(status)
	length := j.intOption(args, HeaderAnswerBytes, "answer_bytes", s.config.AnswerBytes)
	chunked := string(j.ctx.Request.Header.Peek(HeaderAnswerChunked)) == markerTrue || args.Has("answer_chunked")
	cutLength := s.latencyModel.drawEvent(j.faults.CutLengthShare)
	cutChunked := s.latencyModel.drawEvent(j.faults.CutChunkedShare)
	if cutLength || cutChunked {
		j.conn.truncation = truncateBody
		j.ctx.Response.ImmediateHeaderFlush = true
	}
	j.setBody(length, (chunked || cutChunked) && !cutLength)
}

// setBody sets the body of the answer. A body that is to be truncated is always streamed.
func (j *job) setBody(length int, chunked bool) {
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

// unsizedReader hides the type of a reader. The HTTP server would derive the length of
// the answer from the type, and would not send it chunked.
type unsizedReader struct{ io.Reader }

// intOption returns a non-negative number from the header, else from the query parameter,
// else fallback.
func (j *job) intOption(args *fasthttp.Args, header, param string, fallback int) int {
	if n, err := strconv.Atoi(string(j.ctx.Request.Header.Peek(header))); err == nil && n >= 0 {
		return n
	}
	if n, err := args.GetUint(param); err == nil {
		return n
	}
	return fallback
}
