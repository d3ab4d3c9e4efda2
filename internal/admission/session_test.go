package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// session runs a script and logs the decisions of the Controller. Each line of the
// script is a time in milliseconds followed by a command.
type session struct {
	ctrl   *Controller
	policy Policy
	owned  []Server
	log    strings.Builder
}

func (s *session) run(script string) string {
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		var at int64
		var command string
		_, _ = fmt.Sscan(line, &at, &command)
		now := model.Instant(time.Hour).Add(time.Duration(at) * time.Millisecond)
		fmt.Fprintf(&s.log, "%s\n", line)
		s.do(now, command, strings.Fields(line)[2:])
		s.next(now)
	}
	return s.log.String()
}

func (s *session) do(now model.Instant, command string, args []string) {
	switch command {
	case "own": // own SERVER=SLOTS…
		s.owned = nil
		for _, arg := range args {
			server := Server{Service: "registry"}
			_, _ = fmt.Sscanf(strings.Replace(arg, "=", " ", 1), "%s %d", &server.Name, &server.Slots)
			s.owned = append(s.owned, server)
		}
		s.ctrl.Configure(now, s.policy, s.owned)
	case "offer": // offer ID RANK GROUP DEADLINE [spill]
		s.offer(now, args)
	case "finish": // finish ID
		s.ctrl.Finish(now, parseID(args[0]), 100*time.Millisecond, true)
	case "shed": // shed ID SERVER RETRY-AFTER
		pause, _ := time.ParseDuration(args[2])
		s.ctrl.Shed(now, model.BackendName(args[1]), pause)
		s.logRefusal(s.ctrl.Requeue(now, parseID(args[0]), model.BackendName(args[1])))
	case "withdraw":
		queued, running := s.ctrl.Withdraw(now, parseID(args[0]))
		fmt.Fprintf(&s.log, "    queued=%v running=%v\n", queued, running)
	case "limit":
		var limit int
		_, _ = fmt.Sscan(args[1], &limit)
		s.ctrl.SetLimit(now, model.BackendName(args[0]), limit)
	case "seed":
		s.ctrl.Seed(now, "registry", 2, 0)
	case "loads":
		for _, load := range s.ctrl.Loads(now) {
			fmt.Fprintf(&s.log, "    %s %d/%d queued %v mean %v spill %d/%v\n", load.Service,
				load.InUse, load.Slots, load.Queued, load.MeanRun, load.SpillInUse, load.SpillLevel)
		}
	}
}

func (s *session) offer(now model.Instant, args []string) {
	meta := &model.RequestMeta{Service: "registry", CallerGroup: model.CallerGroupName(args[2])}
	_ = meta.Rank.UnmarshalText([]byte(args[1]))
	deadline, _ := time.ParseDuration(args[3])
	meta.Deadline = now.Add(deadline)
	s.logRefusal(s.ctrl.Offer(now, Request{ID: parseID(args[0]), Meta: meta, Spill: len(args) > 4}))
}

func (s *session) logRefusal(cause model.Cause) {
	if cause != model.CauseNone {
		fmt.Fprintf(&s.log, "    refused %s\n", cause)
	}
}

func parseID(word string) (id model.RequestID) {
	_, _ = fmt.Sscan(word, &id)
	return id
}

func (s *session) next(now model.Instant) {
	var d Decisions
	s.ctrl.Next(now, &d)
	for _, start := range d.Start {
		fmt.Fprintf(&s.log, "    start %d at %s\n", start.ID, start.Backend)
	}
	for _, refuse := range d.Refuse {
		fmt.Fprintf(&s.log, "    refuse %d: %s\n", refuse.ID, refuse.Cause)
	}
}

func TestSessions(t *testing.T) {
	sessions := map[string]string{
		"ranks-and-groups": `
			0 own registry-1=2
			1 offer 1 background club 9s
			2 offer 2 background club 9s
			3 offer 3 background club 9s
			4 offer 4 normal club 9s
			5 offer 5 normal club 9s
			6 offer 6 normal club 9s
			7 offer 7 normal parents 9s
			8 offer 8 urgent parents 9s
			100 finish 1
			101 finish 2
			200 finish 8
			201 finish 4
			300 finish 7
			301 finish 5
			302 loads`,
		"deadlines": `
			0 own registry-1=1
			1 offer 1 urgent club 500ms
			101 finish 1
			102 offer 2 urgent club 500ms
			103 offer 3 urgent club 250ms
			104 offer 4 urgent club 250ms
			105 offer 5 urgent club 40ms
			300 finish 9
			400 finish 2
			401 withdraw 3`,
		"spill": `
			0 own registry-1=3 registry-2=3
			1 offer 1 normal club 9s spill
			2 offer 2 urgent club 9s spill
			3000 offer 3 urgent club 9s spill
			3001 offer 4 normal club 9s spill
			3002 seed
			3003 offer 5 normal club 9s spill
			4500 offer 6 normal club 9s spill
			4600 loads
			5000 finish 1
			5001 finish 3
			9000 loads
			13000 loads`,
		"shed-and-leave": `
			0 own registry-1=3 registry-2=3
			1 offer 1 urgent club 9s
			2 offer 2 urgent club 9s
			3 offer 3 urgent club 9s
			4 shed 1 registry-1 0s
			5 offer 4 urgent club 9s
			6 offer 5 urgent club 9s
			7 offer 6 urgent club 9s
			8 shed 1 registry-2 2s
			9 loads
			2100 loads
			2200 limit registry-2 0
			2201 finish 2
			2300 own registry-2=3
			2301 offer 7 urgent club 9s
			2302 loads
			2400 limit registry-2 3
			2401 finish 4
			2500 loads
			2600 own
			2601 offer 8 urgent club 9s
			2602 loads`,
	}
	golden := goldie.New(t)
	for name, script := range sessions {
		t.Run(name, func(t *testing.T) {
			policy := Policy{
				Floors:   [model.RankCount]float64{0.6, 0.25, 0.15},
				ShiftCap: config.ShiftCap{Fraction: 0.2, Window: 2 * time.Second},
			}
			s := &session{ctrl: New(policy), policy: policy}
			golden.Assert(t, name, []byte(s.run(script)))
		})
	}
}
