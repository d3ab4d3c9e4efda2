package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Paths of the API.
const (
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	ReportPath  = "/v1/report"
)

const (
	queryRequest = "request"
	querySubject = "subject"
	queryWindow  = "window"
)

// Source provides the data that the API serves. Its methods are called concurrently
// and must not block on the network.
type Source interface {
	Status(ctx context.Context) Status
	Explain(ctx context.Context, query ExplainQuery) Explanation
	Report(ctx context.Context, query ReportQuery) Report
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
}

// errNoJournal is the answer of an instance that keeps no journal of its decisions.
var errNoJournal = errors.New("this instance keeps no journal; use explain --log with the logs of the instances")

// RegisterStatus adds the routes of an instance that only has a status. The others are
// answered with an error.
func RegisterStatus(router fiber.Router, status func(context.Context) Status) {
	router.Get(StatusPath, func(c fiber.Ctx) error {
		return c.JSON(status(c.Context()))
	})
	for _, path := range []string{ExplainPath, ReportPath} {
		router.Get(path, func(c fiber.Ctx) error {
			return c.Status(fiber.StatusNotImplemented).JSON(ErrorResponse{Error: errNoJournal.Error()})
		})
	}
}

// Register adds the API's routes to a fiber router.
func Register(router fiber.Router, source Source) {
	router.Get(StatusPath, func(c fiber.Ctx) error {
		return c.JSON(source.Status(c.Context()))
	})
	router.Get(ExplainPath, func(c fiber.Ctx) error {
		query := ExplainQuery{Request: c.Query(queryRequest), Subject: c.Query(querySubject)}
		if (query.Request == "") == (query.Subject == "") {
			return badRequest(c, fmt.Errorf("give exactly one of ?%s= and ?%s=", queryRequest, querySubject))
		}
		return c.JSON(source.Explain(c.Context(), query))
	})
	router.Get(ReportPath, func(c fiber.Ctx) error {
		query, err := parseReportQuery(c.Query(queryWindow))
		if err != nil {
			return badRequest(c, err)
		}
		return c.JSON(source.Report(c.Context(), query))
	})
}

func parseReportQuery(window string) (ReportQuery, error) {
	if window == "" {
		return ReportQuery{}, nil
	}
	d, err := time.ParseDuration(window)
	if err != nil || d <= 0 {
		return ReportQuery{}, fmt.Errorf("?%s=%s is not a positive duration such as 1h", queryWindow, window)
	}
	return ReportQuery{Window: d}, nil
}

func badRequest(c fiber.Ctx, err error) error {
	return c.Status(fiber.StatusBadRequest).JSON(ErrorResponse{Error: err.Error()})
}
