package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// statusPath is where backend servers report their health and load.
const statusPath = "/_status"

// maxStatusBytes bounds the body of a status report.
const maxStatusBytes = 4096

// Status is a backend server's report of its health and load.
type Status struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InUse    int  `json:"in_use"`
	Slots    int  `json:"slots"`
}

// Status requests a backend server's status over a new connection, so that a stalled
// pooled connection does not make the server look unhealthy.
func (c *Client) Status(ctx context.Context, backend model.BackendName, address netip.AddrPort) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StatusTimeout)
	defer cancel()
	attempt := &Attempt{
		Backend:         backend,
		Address:         address,
		Method:          fasthttp.MethodGet,
		URI:             []byte(statusPath),
		DeadlineLeft:    c.settings.StatusTimeout,
		FreshConnection: true,
	}
	response, sendErr := c.Send(ctx, attempt)
	if sendErr != nil {
		return Status{}, sendErr
	}
	defer response.Body.Close()
	status, err := decodeStatus(response)
	if err != nil {
		return Status{}, &SendError{
			Result:  event.AttemptTruncated,
			Sent:    true,
			Step:    StepStatus,
			Backend: backend,
			Peer:    address,
			Err:     err,
		}
	}
	return status, nil
}

func decodeStatus(response *Response) (Status, error) {
	var status Status
	if response.Status != fasthttp.StatusOK {
		return status, fmt.Errorf("unexpected status code %d", response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(text, &status); err != nil {
		return status, fmt.Errorf("decode status report: %w", err)
	}
	return status, nil
}

// Check sends a health check and closes the response body unread.
func (c *Client) Check(ctx context.Context, a *Attempt) (*Response, error) {
	response, failed := c.Send(ctx, a)
	if failed != nil {
		return nil, failed
	}
	return response, response.Body.Close()
}
