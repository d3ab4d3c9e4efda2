package health

import "github.com/primrosenotch/primrosenotch/internal/model"

// DueProbes appends the servers that are due for a probe to out, sorted by name,
// and schedules their next probes as if they were probed now.
func (t *Tracker) DueProbes(now model.Instant, out []model.BackendName) []model.BackendName {
	for _, s := range t.servers {
		if now < s.nextProbe {
			continue
		}
		out = append(out, s.Name)
		s.probes++
		interval := t.settings.ProbeInterval
		if s.condition == Probing {
			interval = t.settings.TrialProbeInterval
		}
		s.nextProbe = now.Add(jittered(interval, s.Name, s.probes))
	}
	return out
}
