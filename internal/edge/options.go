// Package edge runs an entry instance that sends callers' requests to backend
// servers itself, where the platform's store lists routes and servers. It carries
// out what the pure packages dispatch and membership decide.
package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// Bounds are what the platform requires of all instances together.
type Bounds struct {
	Stop        time.Duration // from SIGTERM to the end of the process
	LookupTTL   time.Duration // longest time that callers keep look-up answers
	RetryRatio  float64       // requests sent once more, of those sent
	RetryExtra  float64       // requests sent once more in a window beside the ratio
	RetryWindow time.Duration
	ColdFactor  float64 // times a service's cold rate that a cold server may get in a second
	ColdSlack   float64 // requests beside it
	ShiftCap    float64 // share of a region's requests that may change region in 2 s
	// InForce is the time within which a change in the store has to be in force here.
	InForce time.Duration
}

// Registry lists entry instances in the platform's store.
type Registry interface {
	List(ctx context.Context, instance catalog.Instance) error
	// Unlist removes an instance's entry if it has the version, or any with 0.
	Unlist(ctx context.Context, id model.InstanceID, version int64) error
}

// Tables are the followed tables of the store.
type Tables struct {
	Operator  string // configuration and evacuations
	Servers   string
	Instances string
}

// Options are what an Edge is made of.
type Options struct {
	Self     catalog.Instance
	Region   model.RegionName
	Regions  map[model.ZoneName]model.RegionName
	Bounds   Bounds
	Dialect  *httpheader.Dialect
	Store    follow.Store
	Registry Registry
	Tables   Tables
	Decode   func(table string, row follow.Row) (catalog.Change, error)
	Log      *logrus.Entry
	Naive    bool
}

const (
	// operatorShare of InForce is how long the store holds a call for the operator's
	// rows: it bounds how long a connection that went silent hides a change.
	operatorShare = 0.44
	// serversShare of InForce is the time between two reads of the servers' rows,
	// which change with every heartbeat of every server.
	serversShare = 0.32
	// instancesEvery is the time between two reads of the instances' rows; links
	// tell sooner who is alive.
	instancesEvery = 3 * time.Second
	// instancesStale is the age beyond which an instance reads those rows itself.
	instancesStale = 6 * time.Second
	// readTime of InForce is left for an instance that finds its copy too old: a look
	// at the age, a call from another region, and one more when that fails.
	readTime = 700 * time.Millisecond
	// tickEvery is the period of everything that depends on time alone.
	tickEvery = 100 * time.Millisecond
)

// staleAfter is the age of a table beyond which the store is read by instances that
// otherwise leave that to peers.
func (e *Edge) staleAfter(table string) time.Duration {
	if table == e.options.Tables.Instances {
		return instancesStale
	}
	return max(e.bounds.Load().InForce-readTime, tickEvery)
}

func (b *Bounds) retry() pacing.RetrySettings {
	return pacing.RetrySettings{Window: b.RetryWindow, Ratio: b.RetryRatio, Extra: b.RetryExtra}
}

func (b *Bounds) cold() dispatch.ColdSettings {
	return dispatch.ColdSettings{Factor: b.ColdFactor, Slack: b.ColdSlack}
}

func (o *Options) shareOfInForce(share float64) time.Duration {
	return time.Duration(share * float64(o.Bounds.InForce))
}

func (o *Options) tableNames() []string {
	return []string{o.Tables.Operator, o.Tables.Servers, o.Tables.Instances}
}

func (o *Options) follows() []follow.Table {
	return []follow.Table{
		{Name: o.Tables.Operator, Wait: o.shareOfInForce(operatorShare)},
		{Name: o.Tables.Servers, Every: o.shareOfInForce(serversShare)},
		{Name: o.Tables.Instances, Every: instancesEvery},
	}
}
