package platform

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// The steps named in the errors of this package.
const (
	StepGet       Step = "get rows"
	StepScan      Step = "scan rows"
	StepCommit    Step = "commit"
	StepPutObject Step = "put object"
	StepGetObject Step = "get object"
	StepList      Step = "list instances"
	StepRegister  Step = "register instance"
)

const contentTypeJSON = "application/json"

// tableClient implements Table.
type tableClient struct{ *policy }

// Get implements Table.
func (t *tableClient) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return t.readRows(ctx, StepGet, wire.PathGet, wire.GetRequest{Keys: keys})
}

// Scan implements Table.
func (t *tableClient) Scan(ctx context.Context, prefix string, limit int) ([]Row, error) {
	return t.readRows(ctx, StepScan, wire.PathScan, wire.ScanRequest{Prefix: prefix, Limit: limit})
}

func (t *tableClient) readRows(ctx context.Context, step Step, path string, message any) ([]Row, error) {
	req, err := t.jsonRequest(step, path, message)
	if err != nil {
		return nil, err
	}
	req.readOnly = true
	var rows wire.RowsAnswer
	if err := t.callJSON(ctx, req, &rows); err != nil {
		return nil, err
	}
	return lo.Map(rows.Rows, func(row wire.Row, _ int) Row { return Row(row) }), nil
}

// Commit implements Table.
func (t *tableClient) Commit(ctx context.Context, txn Transaction) error {
	req, err := t.jsonRequest(StepCommit, wire.PathCommit, commitRequest(txn))
	if err != nil {
		return err
	}
	got, err := t.call(ctx, req)
	if err != nil {
		return err
	}
	if got.status == fasthttp.StatusConflict {
		return t.conflictError(req, got)
	}
	return nil
}

func commitRequest(txn Transaction) wire.CommitRequest {
	return wire.CommitRequest{
		Conditions: lo.Map(txn.Conditions, func(c Condition, _ int) wire.Condition { return wire.Condition(c) }),
		Writes:     lo.Map(txn.Writes, func(w Write, _ int) wire.Write { return wire.Write(w) }),
	}
}

// conflictError returns the error for an answer that reports an unmet condition.
func (t *tableClient) conflictError(req request, got *answer) error {
	var conflict wire.Conflict
	if err := json.Unmarshal(got.body, &conflict); err != nil {
		return t.transport.unknownOutcomeError(req, fmt.Errorf("decode conflict: %w", err))
	}
	return &ConflictError{
		Step:     req.step,
		Peer:     t.transport.peer,
		Key:      conflict.Key,
		Expected: conflict.Expected,
		Actual:   conflict.Actual,
	}
}

// jsonRequest returns a request with message as its JSON body. On an error, nothing was
// sent.
func (p *policy) jsonRequest(step Step, path string, message any) (request, error) {
	req := request{step: step, method: fasthttp.MethodPost, path: path, contentType: contentTypeJSON}
	body, err := json.Marshal(message)
	if err != nil {
		return req, p.transport.unavailableError(req, fmt.Errorf("encode request: %w", err))
	}
	req.body = body
	return req, nil
}

// callJSON sends a request and decodes the JSON answer into dst.
func (p *policy) callJSON(ctx context.Context, req request, dst any) error {
	got, err := p.call(ctx, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(got.body, dst); err != nil {
		return p.transport.unknownOutcomeError(req, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}
