package health

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// Defaults of Settings fields that are zero.
const (
	defaultConsecutiveFailures = 5
	defaultRefusedConnections  = 2
	defaultFailureWindow       = 10 * time.Second
	defaultFailureShare        = 0.5
	defaultMinAttempts         = 10
	defaultEjection            = 5 * time.Second
	defaultMaxEjection         = 2 * time.Minute
	defaultForgetAfter         = 5 * time.Minute
	defaultMaxEjectShare       = 0.5
	defaultReportShare         = 0.34
	defaultReportLifetime      = 10 * time.Second
	defaultProbeInterval       = 5 * time.Second
	defaultTrialProbeInterval  = time.Second
	defaultTrialAfter          = 3 * time.Second
)

// Settings holds the limits by which a Tracker evaluates backend servers. A zero
// field takes its default, except ShiftCap and SlowStartStep.
type Settings struct {
	// ConsecutiveFailures is the number of failures without a success that ejects a
	// server.
	ConsecutiveFailures int
	// RefusedConnections is the number of refused connections in a row that ejects a
	// server and proves it unreachable.
	RefusedConnections int
	// A server is ejected if FailureShare of its attempts within FailureWindow
	// failed and there were at least MinAttempts.
	FailureWindow time.Duration
	FailureShare  float64
	MinAttempts   int
	// Ejection is the duration of the first ejection. Each further one lasts twice
	// as long, up to MaxEjection. After ForgetAfter in the Healthy condition it
	// starts from Ejection again.
	Ejection    time.Duration
	MaxEjection time.Duration
	ForgetAfter time.Duration
	// MaxEjectShare bounds the ejected share of a service's servers in a zone.
	MaxEjectShare float64
	// ReportShare bounds the share of a service's servers in a zone that reports
	// alone may eject or put through a slow start.
	ReportShare float64
	// ReportLifetime is the age beyond which a report is ignored.
	ReportLifetime time.Duration
	// ProbeInterval is the mean time between two probes of a server.
	// TrialProbeInterval applies instead to a server whose ejection has run out.
	ProbeInterval      time.Duration
	TrialProbeInterval time.Duration
	// TrialAfter is the time without a successful probe after which a server whose
	// ejection has run out gets one trial request.
	TrialAfter time.Duration
	// ShiftCap is the rate at which the slots of returned and cold servers of a
	// service in a zone open. With a zero Window they open at once.
	ShiftCap config.ShiftCap
	// SlowStartStep is the time between the openings of two slots, if it is shorter
	// than the interval that ShiftCap gives. At 0, ShiftCap alone sets the rate.
	SlowStartStep time.Duration
}

func (s Settings) withDefaults() Settings {
	s.ConsecutiveFailures = lo.CoalesceOrEmpty(s.ConsecutiveFailures, defaultConsecutiveFailures)
	s.RefusedConnections = lo.CoalesceOrEmpty(s.RefusedConnections, defaultRefusedConnections)
	s.FailureWindow = lo.CoalesceOrEmpty(s.FailureWindow, defaultFailureWindow)
	s.FailureShare = lo.CoalesceOrEmpty(s.FailureShare, defaultFailureShare)
	s.MinAttempts = lo.CoalesceOrEmpty(s.MinAttempts, defaultMinAttempts)
	s.Ejection = lo.CoalesceOrEmpty(s.Ejection, defaultEjection)
	s.MaxEjection = lo.CoalesceOrEmpty(s.MaxEjection, defaultMaxEjection)
	s.ForgetAfter = lo.CoalesceOrEmpty(s.ForgetAfter, defaultForgetAfter)
	s.MaxEjectShare = lo.CoalesceOrEmpty(s.MaxEjectShare, defaultMaxEjectShare)
	s.ReportShare = lo.CoalesceOrEmpty(s.ReportShare, defaultReportShare)
	s.ReportLifetime = lo.CoalesceOrEmpty(s.ReportLifetime, defaultReportLifetime)
	s.ProbeInterval = lo.CoalesceOrEmpty(s.ProbeInterval, defaultProbeInterval)
	s.TrialProbeInterval = lo.CoalesceOrEmpty(s.TrialProbeInterval, defaultTrialProbeInterval)
	s.TrialAfter = lo.CoalesceOrEmpty(s.TrialAfter, defaultTrialAfter)
	return s
}
