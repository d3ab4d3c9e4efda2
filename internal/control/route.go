package control

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/url"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RoutePath is the path of the API call that asks where a request would go.
const RoutePath = "/v1/route"

const (
	queryMethod       = "method"
	queryHost         = "host"
	queryPath         = "path"
	queryObject       = "object"
	queryKeySHA256    = "key_sha256"
	queryOrganisation = "organisation"
)

// RouteQuery describes a request that is asked about.
type RouteQuery struct {
	Method string // repeated in the answer; routes do not depend on it
	dispatch.Question
}

// RouteAnswer tells where an instance would send a request.
type RouteAnswer struct {
	Instance model.InstanceID `json:"instance"`
	Zone     model.ZoneName   `json:"zone"`
	Region   model.RegionName `json:"region"`
	Method   string           `json:"method"`
	Host     string           `json:"host"`
	Path     string           `json:"path"`
	Object   string           `json:"object,omitempty"`
	dispatch.Plan
}

// RegisterRoute adds the route of an instance that sends requests to backend servers itself.
func RegisterRoute(router fiber.Router, answer func(context.Context, RouteQuery) RouteAnswer) {
	router.Get(RoutePath, func(c fiber.Ctx) error {
		query, err := parseRouteQuery(func(name string) string { return c.Query(name) })
		if err != nil {
			return badRequest(c, err)
		}
		return c.JSON(answer(c.Context(), query))
	})
}

func parseRouteQuery(value func(string) string) (RouteQuery, error) {
	q := RouteQuery{Method: value(queryMethod), Question: dispatch.Question{
		Host: value(queryHost), Path: value(queryPath), Affinity: value(queryObject), Organisation: model.OrganisationName(value(queryOrganisation)),
	}}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return q, fmt.Errorf("give ?%s= and ?%s=, which begins with a slash", queryHost, queryPath)
	}
	digest := value(queryKeySHA256)
	if digest == "" {
		return q, nil
	}
	if q.Organisation != "" {
		return q, fmt.Errorf("give at most one of ?%s= and ?%s=", queryKeySHA256, queryOrganisation)
	}
	if n, err := hex.Decode(q.Key[:], []byte(digest[:min(len(digest), 2*len(q.Key))])); err != nil || n != len(q.Key) || len(digest) != 2*len(q.Key) {
		// The value is not repeated: it might be a key.
		return q, fmt.Errorf("?%s= is not a SHA-256 in hexadecimal", queryKeySHA256)
	}
	q.HasKey = true
	return q, nil
}

// StepRoute is the API call that asks where a request would go.
const StepRoute Step = "get route"

// Route asks the instance at address (host:port) where a request would go. The key of an
// organisation is sent as its digest only. The error is a *CallError.
func (c *Client) Route(ctx context.Context, address string, q RouteQuery) (*RouteAnswer, error) {
	values := url.Values{}
	for name, value := range map[string]string{
		queryMethod: q.Method, queryHost: q.Host, queryPath: q.Path, queryObject: q.Affinity, queryOrganisation: string(q.Organisation),
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if q.HasKey {
		values.Set(queryKeySHA256, hex.EncodeToString(q.Key[:]))
	}
	return get[RouteAnswer](ctx, c, StepRoute, address, RoutePath, values)
}

// Route asks the instances that the Fleet was made with where a request would go, or all members.
func (f *Fleet) Route(ctx context.Context, q RouteQuery, all bool) []Result[RouteAnswer] {
	members := make([]Member, 0, len(f.seeds))
	if all {
		members = f.Members(ctx)
	} else {
		for _, address := range f.seeds {
			members = append(members, Member{Address: address})
		}
	}
	return callAll(ctx, members, func(ctx context.Context, address string) (*RouteAnswer, error) {
		return f.client.Route(ctx, address, q)
	})
}
