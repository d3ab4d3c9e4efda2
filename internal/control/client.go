package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Step names the call during which an error arose.
type Step string

// The steps.
const (
	StepStatus  Step = "get status"
	StepExplain Step = "get explanation"
	StepReport  Step = "get report"
)

// CallError reports a call that an entry instance did not answer.
type CallError struct {
	Step Step
	Peer string // host:port
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s from %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError reports an answer with an HTTP status other than 200.
type StatusError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Code, e.Message) }

const (
	maxAnswerBytes = 64 << 20 // a report of three days at two years' size is far below
	maxErrorBytes  = 4 << 10
)

// Client calls the API of entry instances. It is safe for concurrent use.
type Client struct {
	http http.Client
}

// NewClient returns a client whose calls take at most timeout each.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status asks the instance at address for its status. The error is a *CallError.
func (c *Client) Status(ctx context.Context, address string) (*Status, error) {
	return get[Status](ctx, c, StepStatus, address, StatusPath, nil)
}

// Explain asks the instance at address for journal entries. The error is a
// *CallError.
func (c *Client) Explain(ctx context.Context, address string, query ExplainQuery) (*Explanation, error) {
	values := url.Values{}
	if query.Request != "" {
		values.Set(queryRequest, query.Request)
	}
	if query.Subject != "" {
		values.Set(querySubject, query.Subject)
	}
	return get[Explanation](ctx, c, StepExplain, address, ExplainPath, values)
}

// Report asks the instance at address for its buckets. The error is a
// *CallError.
func (c *Client) Report(ctx context.Context, address string, query ReportQuery) (*Report, error) {
	values := url.Values{}
	if query.Window > 0 {
		values.Set(queryWindow, query.Window.String())
	}
	return get[Report](ctx, c, StepReport, address, ReportPath, values)
}

func get[T any](ctx context.Context, c *Client, step Step, address, path string, query url.Values) (*T, error) {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	var answer T
	if err := c.getJSON(ctx, target.String(), &answer); err != nil {
		return nil, &CallError{Step: step, Peer: address, Err: err}
	}
	return &answer, nil
}

func (c *Client) getJSON(ctx context.Context, target string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if err := json.NewDecoder(body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func statusError(response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // the status says enough
	var failure Failure
	if json.Unmarshal(body, &failure) != nil || failure.Error == "" {
		failure.Error = string(body)
	}
	return &StatusError{Code: response.StatusCode, Message: failure.Error}
}
