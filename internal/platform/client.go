package platform

import (
	"time"
)

// Settings configure a Client or a RetryingClient.
type Settings struct {
	Address        string        // host:port of the service or services
	AttemptTimeout time.Duration // limit of one attempt, including connecting
	MaxConns       int           // maximum number of open connections to each service
	Retry          RetrySettings
	Breaker        BreakerSettings
}

// RetrySettings configure the back-off between the attempts of a call.
type RetrySettings struct {
	InitialInterval time.Duration // mean wait before the second attempt
	MaxInterval     time.Duration // upper bound of the mean wait between attempts
	MaxElapsed      time.Duration // no attempt starts later than this after the first one
}

// DefaultSettings returns the settings for a platform at address.
func DefaultSettings(address string) Settings {
	return Settings{
		Address:        address,
		AttemptTimeout: 2 * time.Second,
		MaxConns:       64,
		Retry: RetrySettings{
			InitialInterval: 50 * time.Millisecond,
			MaxInterval:     time.Second,
			MaxElapsed:      5 * time.Second,
		},
		Breaker: BreakerSettings{
			Failures: 5,
			Cooldown: time.Second,
		},
	}
}

// Client calls the platform's three services over HTTP. Each service has its
// own connections and circuit breaker. It is safe for concurrent use.
//
// Each attempt ends at its timeout or at the deadline of the caller's context,
// whichever comes first. Cancelling the context ends a call before its next attempt,
// but does not interrupt an attempt in flight.
type Client struct {
	table     *tableClient
	objects   *objectsClient
	instances *instancesClient
}

// NewClient returns a client. It connects on first use.
func NewClient(settings Settings) *Client {
	return &Client{
		table:     &tableClient{newPolicy(settings)},
		objects:   &objectsClient{newPolicy(settings)},
		instances: &instancesClient{newPolicy(settings)},
	}
}

// Table returns the transactional table service.
func (c *Client) Table() Table { return c.table }

// Objects returns the object store.
func (c *Client) Objects() Objects { return c.objects }

// Instances returns the instance list.
func (c *Client) Instances() Instances { return c.instances }

// Close closes idle connections.
func (c *Client) Close() {
	c.table.close()
	c.objects.close()
	c.instances.close()
}

// Service names one of the platform's services, as a metric label.
type Service string

// The platform's services.
const (
	ServiceTable     Service = "table"
	ServiceObjects   Service = "objects"
	ServiceInstances Service = "instances"
)

// ServiceStats holds the breaker state of a service and the counts of its attempts since
// the client was created.
type ServiceStats struct {
	Service          Service
	Breaker          BreakerState
	Attempts         int64 // attempts that the circuit breaker allowed, sent or not
	Failures         int64 // attempts without an answer or with an error answer
	Retries          int64 // attempts after the first one of a call
	RefusedByBreaker int64 // attempts refused by the circuit breaker
}

// Stats returns the statistics of each service for metrics.
func (c *Client) Stats() []ServiceStats {
	return []ServiceStats{
		c.table.stats(ServiceTable),
		c.objects.stats(ServiceObjects),
		c.instances.stats(ServiceInstances),
	}
}
