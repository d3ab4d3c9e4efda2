package cli

import (
	"bytes"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

type routeCommand struct {
	s            *session
	Method       string `long:"method" short:"X" default:"GET" value-name:"METHOD" description:"method of the request; routes do not depend on it"`
	Object       string `long:"object" value-name:"KEY" description:"affinity key of the object that the request is about"`
	KeyFile      string `long:"key-file" value-name:"FILE" description:"file with the key of an organisation; - for standard input"`
	Organisation string `long:"organisation" value-name:"NAME" description:"name of the organisation, in place of its key"`
	All          bool   `long:"all" description:"ask all instances of the fleet, not only those given with --entry"`
	Args         struct {
		URL string `positional-arg-name:"URL|HOST/PATH" description:"host and path of the request"`
	} `positional-args:"true" required:"true"`
}

func (*routeCommand) examples() string {
	return `  primrosenotch route shop.example/browse/7 --object 7 --entry 10.1.0.10:7400
  primrosenotch route http://shop.example/browse/7 --organisation cuka620 --entry 10.1.0.10:7400 --all
  primrosenotch route shop.example/browse/7 --key-file key.txt --entry 10.1.0.10:7400 --format json
`
}

// Execute implements flags.Commander.
func (c *routeCommand) Execute([]string) error {
	query, err := c.query()
	if err != nil {
		return err
	}
	fleet, err := c.s.clients.fleet()
	if err != nil {
		return err
	}
	answers, unreachable, err := splitAnswers(fleet.Route(c.s.ctx, query, c.All))
	if err != nil {
		return err
	}
	slices.SortFunc(answers, func(a, b control.RouteAnswer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return c.s.print(&routeView{Instances: answers, Unreachable: orEmpty(unreachable)})
}

func (c *routeCommand) query() (control.RouteQuery, error) {
	q := control.RouteQuery{Method: c.Method, Question: dispatch.Question{Affinity: c.Object, Organisation: model.OrganisationName(c.Organisation)}}
	text := c.Args.URL
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	target, err := url.Parse(text)
	if err != nil || target.Host == "" {
		return q, &usageError{Message: fmt.Sprintf("%q is not a host with a path", c.Args.URL)}
	}
	q.Host, q.Path = target.Host, target.EscapedPath()
	if q.Path == "" {
		q.Path = "/"
	}
	if c.KeyFile == "" {
		return q, nil
	}
	if c.Organisation != "" {
		return q, &usageError{Message: "use at most one of --key-file and --organisation"}
	}
	q.Key, q.HasKey, err = c.readKey()
	return q, err
}

// readKey returns the digest of the key in the file. A key is no argument, as other users of the
// machine see those.
func (c *routeCommand) readKey() (digest catalog.KeyDigest, found bool, err error) {
	var text []byte
	if c.KeyFile == "-" {
		text, err = io.ReadAll(io.LimitReader(c.s.env.Stdin, catalog.MaxKeyBytes+2))
	} else {
		text, err = c.s.env.ReadFile(c.KeyFile)
	}
	if err != nil {
		return digest, false, fmt.Errorf("read key: %w", err)
	}
	digest, found = catalog.DigestKey(string(bytes.TrimSpace(text)))
	if !found {
		return digest, false, &usageError{Message: fmt.Sprintf("the file holds no key of 1 to %d bytes", catalog.MaxKeyBytes)}
	}
	return digest, true, nil
}

// routeView is the output of route.
type routeView struct {
	Instances   []control.RouteAnswer `json:"instances"`
	Unreachable []unreachableInstance `json:"silent"`
}

func (v *routeView) writeText(w io.Writer) {
	for i := range v.Instances {
		if i > 0 {
			fmt.Fprintln(w)
		}
		writeRoute(w, &v.Instances[i])
	}
	writeUnreachable(w, v.Unreachable)
}

// writeRoute writes the plan of one instance: what it would do, why, and the servers it looked at.
func writeRoute(w io.Writer, a *control.RouteAnswer) {
	t := newTextTable(w, "INSTANCE", "ZONE", "REGION", "CONFIGURATION", "ROUTE", "ORGANISATION", "PRIORITY", "SERVICE", "WOULD")
	t.row(string(a.Instance), string(a.Zone), string(a.Region), fmt.Sprint(a.Configuration), orDash(string(a.Route)),
		orDash(string(a.Organisation)), fmt.Sprint(a.Priority), orDash(string(a.Service)), describeDecision(a))
	t.flush()
	if q := a.Quota; q != nil {
		fmt.Fprintf(w, "quota: %g/s, burst %g over all instances; at this one %.1f/s arrived and %.1f/s were sent in 5s; %s\n", q.Rate, q.Burst, q.ArrivedPerSec, q.SentPerSec, describeQuotaLeft(q))
	}
	if len(a.HomeRegions) > 0 {
		fmt.Fprintf(w, "home regions: %s\n", strings.Join(lo.Map(a.HomeRegions, func(r model.RegionName, _ int) string { return string(r) }), ", "))
	}
	if st := a.Contended; st != nil {
		fmt.Fprintf(w, "the service is short of room (refused %d of %d requests in 2s): the request might wait at most %s in a queue, %s\n",
			st.Refused, st.Arrived, st.MaxWait.Round(time.Millisecond), describeShare(st))
	}
	if len(a.Candidates) > 0 {
		writeRouteCandidates(w, a.Candidates)
	}
	for _, l := range a.Limits {
		fmt.Fprintf(w, "%s takes %g/s, %d of %d requests in %s used here\n", l.Server, l.Limit, l.Used, l.Share, l.Span)
	}
	for _, reason := range slices.Sorted(slices.Values(lo.Keys(a.Excluded))) {
		fmt.Fprintf(w, "%d of %d servers excluded: %s\n", a.Excluded[reason], a.Servers, reason)
	}
	if !a.MoveAllowed && a.Servers > 0 {
		fmt.Fprintln(w, "no more requests may move to another region at the moment")
	}
}

func describeDecision(a *control.RouteAnswer) string {
	switch {
	case a.Cause == "" && a.Moved:
		return fmt.Sprintf("send to %s, in another region than the first candidate", a.Server)
	case a.Cause == "":
		return fmt.Sprintf("send to %s", a.Server)
	case a.Cause == model.CauseNoRoute && a.HostKnown:
		return "refuse: no-route, the host is known"
	case a.RetryAfter > 0:
		return fmt.Sprintf("refuse: %s, Retry-After %s", a.Cause, a.RetryAfter.Round(time.Millisecond))
	default:
		return fmt.Sprintf("refuse: %s", a.Cause)
	}
}

// describeQuotaLeft tells what an instance has left of an organisation's limit.
func describeQuotaLeft(q *dispatch.Quota) string {
	switch {
	case q.Coordinator == "":
		return "no requests lately, a first one asks for a lease"
	case q.LeaseRate > 0:
		return fmt.Sprintf("left: %.0f tokens of a lease of %.1f/s by %s, %d in reserve", q.Tokens, q.LeaseRate, q.Coordinator, q.ReserveLeft)
	default:
		return fmt.Sprintf("left: no lease by %s, %d in reserve", q.Coordinator, q.ReserveLeft)
	}
}

func describeShare(st *dispatch.PlanStanding) string {
	if st.Due == nil {
		return fmt.Sprintf("%d steps below the most urgent", st.Urgency)
	}
	within := "within"
	if st.OverShare {
		within = "over"
	}
	return fmt.Sprintf("%d steps below the most urgent, %s the share (admitted %d, due %.1f)", st.Urgency, within, st.Admitted, *st.Due)
}

func writeRouteCandidates(w io.Writer, candidates []dispatch.PlanCandidate) {
	t := newTextTable(w, "CANDIDATE", "ZONE", "REGION", "LOAD", "AGE", "SLOTS", "IN FLIGHT", "WARM", "COLD", "COST", "FULL")
	for i := range candidates {
		c := &candidates[i]
		full := "-"
		if c.Wait > 0 {
			full = fmt.Sprintf("%s, for %s", c.Reason, c.Wait.Round(time.Millisecond))
		}
		t.row(string(c.Server), string(c.Zone), string(c.Region), fmt.Sprintf("%.1f", c.Load), c.LoadAge.Round(time.Millisecond).String(),
			fmt.Sprint(c.Slots), fmt.Sprint(c.InFlight), yesNo(c.Warm), yesNo(c.Cold), c.Cost.Round(time.Millisecond).String(), full)
	}
	t.flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
