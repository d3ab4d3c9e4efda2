package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
)

// Step names the API call that failed.
type Step string

// API calls.
const (
	StepStatus  Step = "get status"
	StepExplain Step = "get explanation"
	StepReport  Step = "get report"
)

// CallError reports an API call to an entry instance that failed or was answered
// with an error.
type CallError struct {
	Step Step
	Peer string // host:port
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s from %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Code, e.Message) }

const (
	maxResponseBytes = 64 << 20 // far above the size of a three-day report in the largest deployment expected within two years; decoding a longer response fails
	maxErrorBytes    = 4 << 10
)

// Client calls the API of entry instances. It is safe for concurrent use.
type Client struct {
	http http.Client
}

// NewClient returns a Client that limits each call to timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the status of the instance at address (host:port). The error is a
// *CallError.
func (c *Client) Status(ctx context.Context, address string) (*Status, error) {
	return get[Status](ctx, c, StepStatus, address, StatusPath, nil)
}

// Explain returns the journal entries of the instance at address (host:port) that
// match query. The error is a *CallError.
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

// Report returns the request counts of the instance at address (host:port). The
// error is a *CallError.
func (c *Client) Report(ctx context.Context, address string, query ReportQuery) (*Report, error) {
	values := url.Values{}
	if query.Window > 0 {
		values.Set(queryWindow, query.Window.String())
	}
	return get[Report](ctx, c, StepReport, address, ReportPath, values)
}

func get[T any](ctx context.Context, c *Client, step Step, address, path string, query url.Values) (*T, error) {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	var value T
	if err := c.getJSON(ctx, target.String(), &value); err != nil {
		return nil, &CallError{Step: step, Peer: address, Err: err}
	}
	return &value, nil
}

func (c *Client) getJSON(ctx context.Context, target string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := checkFieldNames(response.Header); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return newStatusError(response)
	}
	body := io.LimitReader(response.Body, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// checkFieldNames rejects a header with blanks in a field name, which net/http accepts.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", httpresponse.ErrInvalid, name)
		}
	}
	return nil
}

// newStatusError converts a response with a status other than 200. Its message is the
// error of the JSON body or, if the body has another format, the body itself.
func newStatusError(response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // the status code is sufficient without a body
	var parsed ErrorResponse
	if json.Unmarshal(body, &parsed) != nil || parsed.Error == "" {
		parsed.Error = string(body)
	}
	return &StatusError{Code: response.StatusCode, Message: parsed.Error}
}
