// Package edge runs an entry instance that sends callers' requests to backend servers
// itself, on a platform whose store lists routes and servers. It carries out the decisions
// of the packages dispatch and membership, which do no I/O.
package edge

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/memory"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// Bounds holds the limits that the platform sets for all instances together.
type Bounds struct {
	StopTimeout time.Duration // from SIGTERM to the end of the process
	LookupTTL   time.Duration // maximum time for which callers may cache lookup answers
	RetryRatio  float64       // maximum retries per request sent
	RetryExtra  float64       // retries allowed per window in addition to the ratio
	RetryWindow time.Duration
	ColdFactor  float64 // maximum requests per second to a cold server, as a multiple of its service's cold rate
	ColdSlack   float64 // requests allowed in addition
	ShiftCap    float64 // maximum fraction of a region's requests that may change region within 2 s
	// QuotaWindow, QuotaOver and QuotaSlack say in which window, and by which fraction and number
	// of requests, an organisation's requests may exceed its limit.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// PropagationLimit is the time within which a change in the store must take effect in
	// this instance.
	PropagationLimit time.Duration
}

// Registry registers entry instances in the platform's store.
type Registry interface {
	Register(ctx context.Context, instance catalog.Instance) error
	// Registered returns the entry of an instance, and false if there is none.
	Registered(ctx context.Context, id model.InstanceID) (catalog.Instance, bool, error)
	// Unregister removes an instance's entry if it has the given version. Version 0 matches
	// any version.
	Unregister(ctx context.Context, id model.InstanceID, version int64) error
}

// Tables holds the names of the tables of the store that an instance follows.
type Tables struct {
	Operator  string // configuration and evacuations
	Servers   string
	Instances string
	// Suspects is read at the start only.
	Suspects string
}

// Options holds the settings and dependencies of an Edge.
type Options struct {
	Self          catalog.Instance
	ControlAddr   string // host:port for operators, as peers tell them
	Region        model.RegionName
	Regions       map[model.ZoneName]model.RegionName
	Bounds        Bounds
	Dialect       *httpheader.Dialect
	Store         follow.Store
	Registry      Registry
	Suspects      SuspectStore // nil to keep suspects in memory only
	Tables        Tables
	Decode        func(table string, row follow.Row) (catalog.Change, error)
	Log           *logrus.Entry
	RandomServers bool
	// RouteUrgency is as in dispatch.Settings.
	RouteUrgency  bool
	SpreadObjects bool // dispatch.Settings.SpreadObjects
	// Memory bounds what callers cost; zero values mean the defaults of package ingress.
	Memory memory.Share
	// DroppedLogLines returns the number of log lines dropped since the start; nil means
	// that none are.
	DroppedLogLines func() int64
	// FailedLogLines returns the number of log lines that could not be written; nil means that
	// none are.
	FailedLogLines func() int64
}

const (
	// operatorWaitShare is the fraction of PropagationLimit for which the store may hold a
	// call for the operator's table. It limits how long a connection that went silent can
	// hide a change.
	operatorWaitShare = 0.44
	// serversIntervalShare is the fraction of PropagationLimit between two reads of the
	// servers' table, whose rows change with every heartbeat of every server.
	serversIntervalShare = 0.32
	// instancesInterval is the time between two reads of the instances' table. Links show
	// sooner which instances are alive.
	instancesInterval = 3 * time.Second
	// instancesMaxAge is the age beyond which an instance reads that table itself.
	instancesMaxAge = 6 * time.Second
	// readAllowance is the part of PropagationLimit that is reserved for an instance that
	// finds its copy too old: one check of the age, one call from another region, and
	// another call if that fails.
	readAllowance = 700 * time.Millisecond
	// tickInterval is the period of all work that depends on time alone.
	tickInterval = 100 * time.Millisecond
)

// maxAge returns the age of a table beyond which instances that otherwise rely on peers
// read the store themselves.
func (e *Edge) maxAge(table string) time.Duration {
	if table == e.options.Tables.Instances {
		return instancesMaxAge
	}
	return max(e.bounds.Load().PropagationLimit-readAllowance, tickInterval)
}

func (b *Bounds) retry() pacing.RetrySettings {
	return pacing.RetrySettings{Window: b.RetryWindow, Ratio: b.RetryRatio, Extra: b.RetryExtra}
}

func (b *Bounds) cold() dispatch.ColdSettings {
	return dispatch.ColdSettings{Factor: b.ColdFactor, Slack: b.ColdSlack}
}

func (b *Bounds) quota() quota.Settings {
	return quota.Settings{Window: cmp.Or(b.QuotaWindow, quota.DefaultWindow), Over: b.QuotaOver, Slack: b.QuotaSlack}
}

func (o *Options) shareOfPropagationLimit(share float64) time.Duration {
	return time.Duration(share * float64(o.Bounds.PropagationLimit))
}

func (o *Options) tableNames() []string {
	return []string{o.Tables.Operator, o.Tables.Servers, o.Tables.Instances}
}

func (o *Options) followedTables() []follow.Table {
	return []follow.Table{
		{Name: o.Tables.Operator, Wait: o.shareOfPropagationLimit(operatorWaitShare)},
		{Name: o.Tables.Servers, Interval: o.shareOfPropagationLimit(serversIntervalShare)},
		{Name: o.Tables.Instances, Interval: instancesInterval},
	}
}
