package control

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ExplainQuery selects journal entries. Exactly one field must be set.
type ExplainQuery struct {
	Request string // X-Request-Id of a request
	Subject string // instance, backend server, zone or service
}

// Explanation is the response body of GET /v1/explain: the matching journal entries
// of one instance, followed by an entry for each matching request in flight.
type Explanation struct {
	Instance model.InstanceID `json:"instance"`
	Entries  []JournalEntry   `json:"entries"` // oldest first
	// Since is the time of the oldest entry that the journal still contains.
	Since time.Time `json:"since,omitzero"`
}

// JournalEntry is one decision and the reason for it.
type JournalEntry struct {
	At      time.Time `json:"at"`
	Request string    `json:"request,omitempty"`
	Subject string    `json:"subject,omitempty"`
	Event   string    `json:"what"`
	Reason  string    `json:"why"`
}
