package health

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Condition is a Tracker's assessment of a backend server.
type Condition uint8

const (
	// Healthy servers take work up to their slots.
	Healthy Condition = iota
	// SlowStart servers take work up to a limit that rises step by step.
	SlowStart
	// Probing servers take no work, or one trial request, until a probe or the trial
	// request succeeds.
	Probing
	// Ejected servers take no work until their ejection runs out.
	Ejected
	// Draining servers take no work until every source has withdrawn the drain.
	Draining

	conditionCount = 5
)

var conditionNames = [conditionCount]string{"healthy", "slow-start", "probing", "ejected", "draining"}

// String returns the label used in the journal and in metrics.
func (c Condition) String() string {
	if int(c) < len(conditionNames) {
		return conditionNames[c]
	}
	return fmt.Sprintf("condition(%d)", uint8(c))
}

// Reason is why a server is in its condition. The values are metric labels.
type Reason string

const (
	ReasonNone           Reason = ""
	ReasonNew            Reason = "new"                 // first seen after start
	ReasonFailures       Reason = "failures in a row"   // ConsecutiveFailures
	ReasonFailureShare   Reason = "failure share"       // FailureShare
	ReasonRefused        Reason = "refuses connections" // RefusedConnections
	ReasonReported       Reason = "reported unhealthy"
	ReasonCold           Reason = "reported cold"
	ReasonElapsed        Reason = "ejection elapsed"
	ReasonProbed         Reason = "probe succeeded"
	ReasonProbeFailed    Reason = "probe failed"
	ReasonTrial          Reason = "trial request succeeded"
	ReasonTrialFailed    Reason = "trial request failed"
	ReasonRecovered      Reason = "answers again"
	ReasonOpened         Reason = "all slots open"
	ReasonPlannedStop    Reason = "planned stop"
	ReasonServerDraining Reason = "server says that it leaves"
	ReasonPlatform       Reason = "platform lists it as leaving"
	ReasonDrainWithdrawn Reason = "stop withdrawn" // no source announces the drain any longer
)

// State holds a server's condition and the reason for it.
type State struct {
	Condition Condition
	Reason    Reason
	Since     model.Instant // start of the condition; while Draining, of the condition that the drain hides
	// HeldInService reports that only the bound on the ejected share keeps the
	// server from ejection. It takes one request at a time.
	HeldInService bool
}

// Change records one change of a server's condition, for the journal.
type Change struct {
	At       model.Instant
	Name     model.BackendName
	From, To Condition
	Reason   Reason
}

// LimitChange holds a new limit on the slots of a server.
type LimitChange struct {
	Name  model.BackendName
	Limit int
}
