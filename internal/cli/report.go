package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/slo"
)

type reportCommand struct {
	s *session
}

func (*reportCommand) examples() string {
	return `  primrosenotch report --entry 10.1.0.10:7400
  primrosenotch report --entry 10.1.0.10:7400 --format html > report.html
`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	fleet, err := c.s.clients.fleet()
	if err != nil {
		return err
	}
	reports, unreachable, err := splitAnswers(fleet.Report(c.s.ctx, control.ReportQuery{}))
	if err != nil {
		return err
	}
	v := newReportView(latestTime(reports), reports, unreachable)
	if c.s.global.Format == formatHTML {
		return writeHTML(c.s.env.Stdout, v, reports)
	}
	return c.s.print(v)
}

// latestTime returns the latest time among the reports, so that the result does
// not depend on the clock of the operator's machine.
func latestTime(reports []control.Report) time.Time {
	return slices.MaxFunc(reports, func(a, b control.Report) int { return a.At.Compare(b.At) }).At
}

// reportView is the output of report.
type reportView struct {
	At          time.Time             `json:"at"`
	Instances   []reportInstance      `json:"instances"`
	Unreachable []unreachableInstance `json:"silent"`
	Windows     []time.Duration       `json:"windows_ns"`
	Burns       []slo.Burn            `json:"burns"`
	Alerts      int                   `json:"alerts"`
}

// reportInstance is an instance and the start of its counts: counts are not kept
// across restarts.
type reportInstance struct {
	Instance model.InstanceID `json:"instance"`
	Since    time.Time        `json:"since"`
}

func newReportView(now time.Time, reports []control.Report, unreachable []unreachableInstance) *reportView {
	slices.SortFunc(reports, func(a, b control.Report) int { return cmp.Compare(a.Instance, b.Instance) })
	v := &reportView{At: now.UTC(), Unreachable: orEmpty(unreachable), Windows: slo.Windows, Burns: orEmpty(slo.Evaluate(now, reports))}
	for _, report := range reports {
		v.Instances = append(v.Instances, reportInstance{Instance: report.Instance, Since: report.Since})
	}
	for _, burn := range v.Burns {
		if burn.Alert != slo.NoAlert {
			v.Alerts++
		}
	}
	return v
}

func (v *reportView) writeText(w io.Writer) {
	fmt.Fprintf(w, "at %s; at burn rate 1 the error budget lasts exactly 3 days\n", formatTime(v.At))
	t := newTextTable(w, "SERVICE", "RANK", "OBJECTIVE", "BURN 5m", "1h", "6h", "3d", "BUDGET LEFT", "REQUESTS 3d", "P50", "P99", "ALERT")
	for _, b := range v.Burns {
		cells := []string{string(b.Service), b.Rank.String(), formatObjective(b.Objective)}
		for _, window := range b.Windows {
			cells = append(cells, formatRate(b.Objective, window))
		}
		last := b.Windows[len(b.Windows)-1]
		cells = append(cells, formatBudget(b), fmt.Sprint(last.Total), formatLatency(b.Latency.P50), formatLatency(b.Latency.P99), orDash(string(b.Alert)))
		t.row(cells...)
	}
	t.flush()
	v.writeConsumption(w)
	v.writeCoverage(w)
}

// writeConsumption lists the outcomes and causes that used up the error budgets.
func (v *reportView) writeConsumption(w io.Writer) {
	t := newTextTable(w, "\nBUDGET USED BY", "RANK", "OUTCOME", "CAUSE", "REQUESTS", "SHARE")
	for _, b := range v.Burns {
		for _, c := range b.Consumed {
			t.row(string(b.Service), b.Rank.String(), c.Outcome.String(), formatCause(c), fmt.Sprint(c.Requests), fmt.Sprintf("%.1f%%", c.Share*100))
		}
		for _, c := range b.Excluded {
			t.row(string(b.Service), b.Rank.String(), c.Outcome.String(), formatCause(c), fmt.Sprint(c.Requests), "excluded (caller)")
		}
	}
	t.flush()
}

// writeCoverage lists the instances in the report, with the start of their counts,
// and those that did not answer.
func (v *reportView) writeCoverage(w io.Writer) {
	fmt.Fprintln(w)
	for _, i := range v.Instances {
		fmt.Fprintf(w, "%s has counts since %s\n", i.Instance, formatTime(i.Since))
	}
	writeUnreachable(w, v.Unreachable)
}

func formatObjective(o control.Objective) string {
	if o.Ratio == 0 {
		return "-"
	}
	return fmt.Sprintf("%.6g%% in %s", o.Ratio*100, o.Latency)
}

func formatRate(o control.Objective, window slo.WindowBurn) string {
	if o.Ratio == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", window.Rate)
}

func formatBudget(b slo.Burn) string {
	if b.Objective.Ratio == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", b.BudgetLeft*100)
}

func formatLatency(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(100 * time.Microsecond).String()
}

func formatCause(c slo.Consumption) string {
	if c.Outcome == model.Served {
		return "slower than the objective"
	}
	if c.Outcome == model.Late {
		return "after the deadline"
	}
	return orDash(string(c.Cause))
}
