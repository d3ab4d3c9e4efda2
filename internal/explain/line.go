// Package explain finds out from the log lines of entry instances why a request ended as
// it did. It reads the JSON lines that package edge writes.
package explain

import (
	"bytes"
	"encoding/json"
	"time"
)

// Messages of the lines about a request.
const (
	messageAnswered  = "answered"
	messageFailed    = "attempt failed"
	messageTruncated = "answer broke off"
	messageRefused   = "refused"
)

// Messages of other lines that are interpreted.
const (
	messageStarted   = "started"
	messageStopping  = "stopping"
	messageStopped   = "stopped"
	messageAborted   = "requests still in flight aborted"
	messageDropped   = "log lines dropped"
	messageStoreLost = "store lost"
	messageStoreBack = "store regained"
	messageSuspected = "suspected"
	messageEjected   = "ejected"
	messageNotUsed   = "not used"
	messageRestarted = "restarted"
	messageLeaves    = "leaves"
	messageRemoved   = "removed"
	messageEvacuated = "evacuated"
	messageUsedAgain = "used again"
	messageEvacEnded = "evacuation ended"
	messagePaused    = "suspended ownership"

	subjectConfiguration = "configuration"
)

// Line is one line of an entry instance's log. Only the fields of its kind are set.
type Line struct {
	Time     time.Time `json:"time"`
	Level    string    `json:"level"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Error    string    `json:"error,omitempty"`

	// of a line about a request
	Request            string   `json:"request,omitempty"`
	Host               string   `json:"host,omitempty"`
	Path               string   `json:"path,omitempty"`
	Route              string   `json:"route,omitempty"`
	Service            string   `json:"service,omitempty"`
	Configuration      int64    `json:"configuration,omitempty"` // version
	ConfigurationAgeMS *float64 `json:"configuration_age_ms,omitempty"`

	// of an attempt
	Server      string  `json:"server,omitempty"`
	Zone        string  `json:"zone,omitempty"`
	Attempt     int     `json:"attempt,omitempty"`
	Status      int     `json:"status,omitempty"`
	Step        string  `json:"step,omitempty"`
	Sent        *bool   `json:"sent,omitempty"`
	TookMS      float64 `json:"took_ms,omitempty"`
	LeftMS      float64 `json:"left_ms,omitempty"`    // until the deadline, at its start
	ElapsedMS   float64 `json:"elapsed_ms,omitempty"` // since the request arrived, at its start
	ObjectiveMS float64 `json:"objective_ms,omitempty"`
	Late        bool    `json:"late,omitempty"`
	KnowsObject *bool   `json:"knows_object,omitempty"`
	Moved       bool    `json:"moved,omitempty"`
	Load        float64 `json:"load,omitempty"`
	LoadAgeMS   float64 `json:"load_age_ms,omitempty"`
	Slots       int     `json:"slots,omitempty"`

	// of a refusal
	Outcome      string         `json:"outcome,omitempty"`
	Cause        string         `json:"cause,omitempty"`
	RetryAfterMS float64        `json:"retry_after_ms,omitempty"`
	HostKnown    *bool          `json:"host_known,omitempty"`
	Attempts     int            `json:"attempts,omitempty"`
	MaxAttempts  int            `json:"max_attempts,omitempty"`
	Repeatable   *bool          `json:"repeatable,omitempty"`
	Servers      *int           `json:"servers,omitempty"`
	RuledOut     map[string]int `json:"ruled_out,omitempty"`
	Full         int            `json:"full,omitempty"`
	MayMove      *bool          `json:"may_move,omitempty"`
	Candidates   []Candidate    `json:"candidates,omitempty"`
	Limits       []LimitUse     `json:"limits,omitempty"`
	Standing     *Standing      `json:"standing,omitempty"`
	Quota        *QuotaUse      `json:"quota,omitempty"`

	// of other lines
	Subject     string `json:"subject,omitempty"`
	SubjectKind string `json:"subject_kind,omitempty"` // "fleet" for entry instances and their zones, "" for all else
	Why         string `json:"why,omitempty"`
	Table       string `json:"table,omitempty"`
	Dropped     int64  `json:"dropped,omitempty"`
}

// Candidate is a server that had no room for a refused request.
type Candidate struct {
	Server    string  `json:"server"`
	Zone      string  `json:"zone"`
	Reason    string  `json:"reason"`
	Load      float64 `json:"load"`
	LoadAgeMS float64 `json:"load_age_ms"`
	Slots     int     `json:"slots"`
	WaitMS    float64 `json:"wait_ms"`
}

// Standing is what a refused request might claim of a service that was short of room.
type Standing struct {
	Urgency   int      `json:"urgency"`
	Admitted  int      `json:"admitted"`
	Due       *float64 `json:"due,omitempty"`
	OverShare bool     `json:"over_share"`
	Early     bool     `json:"early"`
	MaxWaitMS float64  `json:"max_wait_ms"`
	Arrived   int      `json:"arrived"`
	Refused   int      `json:"refused"`
}

// QuotaUse is an instance's use of the limit of a request's organisation.
type QuotaUse struct {
	Rate        float64 `json:"rate"` // limit over all instances, requests a second
	Burst       float64 `json:"burst"`
	Coordinator string  `json:"coordinator"`
	Demand      float64 `json:"demand"`     // at the instance, requests a second
	LeaseRate   float64 `json:"lease_rate"` // 0 without a lease
	LeaseDepth  float64 `json:"lease_depth"`
	Tokens      float64 `json:"tokens"`
	Reserved    int     `json:"reserved"`
	Reserve     int     `json:"reserve"`
	Saturated   bool    `json:"saturated"`
}

// LimitUse is an instance's use of its share of the limit that a server names.
type LimitUse struct {
	Server   string  `json:"server"`
	Limit    float64 `json:"limit"` // requests a second from all instances
	Used     int     `json:"used"`
	Share    int     `json:"share"`
	SpanMS   float64 `json:"span_ms"`
	Owned    int     `json:"owned"`
	Borrowed int     `json:"borrowed"`
	Lent     int     `json:"lent"`
}

// ends reports whether the line tells what a request's caller got.
func (l *Line) ends() bool {
	return l.Message == messageAnswered || l.Message == messageRefused || l.Message == messageTruncated
}

// maxObjectStarts bounds the braces of a line at which its JSON object may begin.
const maxObjectStarts = 4

// jsonObject returns the JSON object at the end of a line, which may have a prefix, or nil.
func jsonObject(line []byte) []byte {
	line = bytes.TrimSpace(line)
	for range maxObjectStarts {
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			return nil
		}
		line = line[start:]
		if json.Valid(line) {
			return line
		}
		line = line[1:]
	}
	return nil
}

// stringField returns the value of a field of a JSON object written without spaces, as it
// is encoded, or "" if there is none.
func stringField(object []byte, key string) []byte {
	_, rest, found := bytes.Cut(object, []byte(key))
	if !found {
		return nil
	}
	value, _, _ := bytes.Cut(rest, []byte{'"'})
	return value
}
