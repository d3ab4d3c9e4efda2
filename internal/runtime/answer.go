package runtime

import (
	"bytes"
	"context"
	"errors"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// cancelOnceRequest cancels a once request whose owner was lost in the ledger, unless
// its key is claimed or finished. Once cancelled, the request cannot be claimed by any
// owner.
func (c *call) cancelOnceRequest() {
	r := c.runtime
	ctx, cancel := context.WithTimeout(context.Background(), cancelOnceTimeout)
	defer cancel()
	attempt := ledgerAttempt(&c.meta, c.meta.GlobalID+"/ingress")
	result, answer, err := r.ledger.Cancel(ctx, attempt)
	c.recordEntry(errorEntry(journal.StepCancelRequest, ledgerSubject, claimError(result, err)))
	c.stored = answer
	r.post(&event.OnceRequestCancelled{At: r.clock.now(), Request: c.id, Result: result, Stored: answer != nil})
}

// replay answers the caller with the answer stored in the ledger.
func (c *call) replay() {
	header := make(httpheader.List, 0, len(c.stored.Headers))
	for _, h := range c.stored.Headers {
		header = append(header, httpheader.Field{Name: h.Name, Value: string(h.Value)})
	}
	err := c.exchange.Respond(&ingress.Response{
		Status:    c.stored.Status,
		Header:    header,
		Outcome:   c.servedOutcome(),
		BodyBytes: int64(len(c.stored.Body)),
		Body:      bytes.NewReader(c.stored.Body),
		Done:      c.answerDone(c.servedOutcome()),
	})
	if err != nil {
		c.refuse(model.Unknown, model.CauseAnswerIncomplete)
	}
}

// respond streams the owner's answer to the caller. It returns false if the answer
// was truncated before any of it was sent to the caller.
func (c *call) respond(owner model.InstanceID, conn link.Conn, a *linkpb.Answer) bool {
	c.endUpload()
	outcome := c.servedOutcome()
	body := &answerBody{reader: link.NewBodyReader(conn.Receive, "answer"), conn: conn}
	c.keepConnOpen()
	passedOn := false
	defer func() {
		if !passedOn {
			_ = conn.Close()
		}
	}()
	err := c.exchange.Respond(&ingress.Response{
		Status:    int(a.GetStatus()),
		Header:    fromFrameHeaders(a.GetHeaders()),
		Outcome:   outcome,
		Backend:   model.BackendName(a.GetBackend()),
		BodyBytes: a.GetBodyBytes(),
		Body:      body,
		Done:      c.answerDone(outcome),
	})
	if err == nil {
		passedOn = true
		return true
	}
	_ = conn.Close()
	c.ownerLost(owner, true, err)
	return false
}

func (c *call) servedOutcome() model.Outcome {
	if c.timeLeft() < 0 {
		return model.Late
	}
	return model.Served
}

// answerDone returns the callback for the end of an answer at the ingress.
func (c *call) answerDone(outcome model.Outcome) func(sent int64, err error) {
	return func(sent int64, err error) {
		var truncated *link.IncompleteBodyError
		switch {
		case err == nil:
			c.runtime.lengths.observe(c.meta.Route, sent)
			c.recordAnswer(outcome)
			c.finish(outcome, model.CauseNone, sent)
		case errors.As(err, &truncated):
			c.recordEntry(errorEntry(journal.StepAnswerTruncated, callerSubject, err))
			c.finish(model.Unknown, model.CauseAnswerIncomplete, sent)
		default:
			c.recordEntry(errorEntry(journal.StepAnswerTruncated, callerSubject, err))
			c.finish(model.Unknown, model.CauseCallerGone, sent)
		}
	}
}

// endUpload stops sending the request body and waits until nothing reads it. An
// owner that has answered needs no more of it, and it must not be read once Serve
// has returned.
func (c *call) endUpload() {
	if c.body == nil {
		return
	}
	c.body.stop()
	c.uploads.Wait()
}
