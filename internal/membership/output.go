package membership

import "github.com/primrosenotch/primrosenotch/internal/model"

// Output holds the actions that a call of a Group requests from its caller.
type Output struct {
	Messages []Addressed
	// Open lists peers to which a link must be kept open. Both ends request it.
	Open []PeerAddr
	// Close lists links to close before Open is processed. A peer in both gets a new
	// link, because the old one delivers no messages.
	Close []model.InstanceID
	// OwnershipChanged reports that the results of Owned, Owner or Owners changed.
	OwnershipChanged bool
	// FetchFrom is a peer with a later configuration revision, empty if there is
	// none.
	FetchFrom model.InstanceID
	// Suspects are request fingerprints that are new, or have new servers or a later
	// expiry.
	Suspects []Suspect
	// Terms are news of what backend servers take.
	Terms []ServerTerms
	// LimitShares are news of the shares of backend servers' limits.
	LimitShares []LimitShare
	Notes       []Note
}

// Addressed is a message with its receiver.
type Addressed struct {
	To      model.InstanceID
	Message *Message
}

// PeerAddr is a peer and its host:port for links between entry instances.
type PeerAddr struct {
	ID   model.InstanceID
	Addr string
}

// Note describes one decision for the log.
type Note struct {
	Subject string
	Message string
	Reason  string
}

func (g *Group) note(subject model.InstanceID, what, why string) {
	g.out.Notes = append(g.out.Notes, Note{Subject: string(subject), Message: what, Reason: why})
}
