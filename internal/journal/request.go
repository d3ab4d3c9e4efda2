package journal

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Step is a kind of decision about one request.
type Step uint8

// The steps. The first ones are taken at the ingress, the others at the owner.
const (
	StepForwarded      Step = iota // offered to an owner after something was passed over
	StepOwnerRefused               // an owner refused the offer
	StepOwnerLost                  // the link to an owner broke before its word
	StepSettled                    // the ledger was asked whether the request can still run
	StepRefused                    // the caller was told that it was not served
	StepAnswered                   // an answer was passed on to the caller
	StepAnswerCut                  // the answer broke off
	StepOfferRefused               // this owner refused an offer
	StepClaimed                    // the ledger did not grant the idempotency key
	StepReplayed                   // a repeat was answered with the stored answer
	StepServerAnswered             // a backend server began its answer
	StepAttemptFailed              // an attempt at a backend server failed
	StepServerCut                  // a backend server's answer broke off
	StepNotStored                  // the answer could not be kept for repeats
)

// ordinary reports steps that every request takes. They are kept apart, so that
// they do not push out the others.
func (s Step) ordinary() bool { return s == StepAnswered || s == StepServerAnswered }

// RequestEntry is one decision about a request. It holds values rather than
// text; Lines formats it when it is asked for.
type RequestEntry struct {
	At      model.Instant
	Request string // trace identifier
	Step    Step
	Outcome model.Outcome
	Spill   bool
	// Announced reports that an earlier entry says how the owner was chosen.
	Announced bool
	Claimed   bool  // the idempotency key was claimed first
	Attempt   uint8 // number of the attempt at a backend server, from 1
	Status    uint16
	Subject   string // owner, backend server or ledger
	Zone      model.ZoneName
	Cause     model.Cause
	Took      time.Duration // up to At: since arrival at the ingress, or of the attempt
	Waited    time.Duration // for a slot
	// Candidates are the zones that the owner was chosen among, nil where none was
	// chosen.
	Candidates *model.Candidates
	// Detail holds what few entries have, nil for the others.
	Detail *Detail
}

// Detail is the part of a RequestEntry that few entries have.
type Detail struct {
	Rejected []model.Rejected
	Final    event.Final
	Err      string
}

// AddRequest records a decision about a request. The oldest of its kind, ordinary
// or not, gives way.
func (j *Journal) AddRequest(e RequestEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Step.ordinary() {
		j.ordinary.add(e)
		return
	}
	j.notable.add(e)
}
