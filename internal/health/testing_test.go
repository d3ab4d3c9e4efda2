package health

import (
	"fmt"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const epoch = model.Instant(time.Hour)

func at(seconds float64) model.Instant {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func threeSlotServers(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{
			Name: model.BackendName(fmt.Sprintf("permits-%d", i+1)), Service: "permits", Zone: "petrolina-a", Slots: 3,
		})
	}
	return servers
}

var resultNames = map[string]event.AttemptResult{
	"complete": event.AttemptComplete, "failed": event.AttemptFailed, "shed": event.AttemptShed,
	"not-sent": event.AttemptNotSent, "broken": event.AttemptBroken, "cut": event.AttemptTruncated,
	"timeout": event.AttemptTimeout, "cancelled": event.AttemptCancelled, "stale": event.AttemptStaleBroken,
}

// session runs a script with one command per line and logs the changes of condition
// and limit after each command.
type session struct {
	tracker *Tracker
	servers []Server
	stops   []config.Stop
	log     strings.Builder
}

func (s *session) run(script string) string {
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		fmt.Fprintf(&s.log, "%s\n", line)
		var seconds float64
		var command, rest string
		_, _ = fmt.Sscan(line, &seconds, &command)
		if parts := strings.SplitN(line, " ", 3); len(parts) == 3 {
			rest = parts[2]
		}
		s.do(at(seconds), command, strings.Fields(rest))
		s.show()
	}
	return s.log.String()
}

func (s *session) do(now model.Instant, command string, args []string) {
	var name model.BackendName
	if len(args) > 0 {
		name = model.BackendName(args[0])
	}
	switch command {
	case "configure":
		s.tracker.Configure(now, s.servers, s.stops, func(model.ZoneName) model.RegionName { return "petrolina" })
	case "add":
		s.servers = append(s.servers, Server{Name: name, Service: "permits", Zone: "petrolina-a", Slots: 3})
	case "stop":
		s.stops = append(s.stops, config.Stop{Scope: config.StopScope(args[0]), Target: args[1]})
	case "cancel-stops":
		s.stops = nil
	case "tick":
		s.tracker.Tick(now)
	case "outcome":
		s.tracker.RecordOutcome(now, name, resultNames[args[1]], len(args) > 2 && args[2] == "draining")
	case "report":
		s.tracker.RecordReport(now, reportOf(now, name, args[1:]))
	case "leaving":
		s.tracker.MarkDraining(now, name, SourcePlatform)
	case "staying":
		s.tracker.ClearDraining(now, name, SourcePlatform)
	case "probes":
		fmt.Fprintf(&s.log, "    due %v\n", s.tracker.DueProbes(now, nil))
	default:
		fmt.Fprintf(&s.log, "    unknown command %q\n", command)
	}
}

func reportOf(now model.Instant, name model.BackendName, words []string) *event.ServerReported {
	r := &event.ServerReported{At: now, Backend: name, Healthy: true, Slots: 3}
	for _, word := range words {
		switch word {
		case "unhealthy":
			r.Healthy = false
		case "draining":
			r.Draining = true
		case "cold":
			r.Cold = true
		case "error":
			r.Err = fmt.Errorf("probe %s: no answer", name)
		case "old":
			r.At = now.Add(-time.Minute)
		}
	}
	return r
}

func (s *session) show() {
	for _, c := range s.tracker.Changes(nil) {
		fmt.Fprintf(&s.log, "    %s %s -> %s (%s)\n", c.Name, c.From, c.To, c.Reason)
	}
	for _, l := range s.tracker.Limits(nil) {
		fmt.Fprintf(&s.log, "    %s limit %d\n", l.Name, l.Limit)
	}
}
