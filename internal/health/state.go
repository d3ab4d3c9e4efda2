package health

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Condition is what a Tracker thinks of a backend server.
type Condition uint8

// The conditions.
const (
	// Healthy servers take work up to their slots.
	Healthy Condition = iota
	// SlowStart servers take work up to a limit that rises step by step.
	SlowStart
	// Probing servers take nothing, or one trial request, until a probe or the
	// trial succeeds.
	Probing
	// Ejected servers take nothing for a while.
	Ejected
	// Draining servers take nothing until all who said that they leave withdraw it.
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

// Reason says why a server is in its condition. The values are metric labels.
type Reason string

// The reasons.
const (
	ReasonNone         Reason = ""
	ReasonNew          Reason = "new"                 // first seen after start
	ReasonFailures     Reason = "failures in a row"   // ConsecutiveFailures
	ReasonFailureShare Reason = "failure share"       // FailureShare
	ReasonRefused      Reason = "refuses connections" // RefusedConnections
	ReasonReported     Reason = "reported unhealthy"
	ReasonCold         Reason = "reported cold"
	ReasonElapsed      Reason = "ejection elapsed"
	ReasonProbed       Reason = "probe succeeded"
	ReasonProbeFailed  Reason = "probe failed"
	ReasonTrial        Reason = "trial request succeeded"
	ReasonTrialFailed  Reason = "trial request failed"
	ReasonRecovered    Reason = "answers again"
	ReasonOpened       Reason = "all slots open"
	ReasonStop         Reason = "planned stop"
	ReasonServerWord   Reason = "server says that it leaves"
	ReasonPlatform     Reason = "platform lists it as leaving"
	ReasonReturned     Reason = "stop withdrawn"
)

// State is a server's condition and the reason for it.
type State struct {
	Condition Condition
	Why       Reason
	Since     model.Instant
	// HeldInService reports that the server would be ejected but for the bound on
	// the ejected share; it takes one request at a time.
	HeldInService bool
}

// Change is one change of a server's condition, for the journal.
type Change struct {
	At       model.Instant
	Name     model.BackendName
	From, To Condition
	Why      Reason
}

// LimitChange is a new limit on the slots of a server.
type LimitChange struct {
	Name  model.BackendName
	Limit int
}
