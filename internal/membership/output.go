package membership

import "github.com/primrosenotch/primrosenotch/internal/model"

// Output is what a call of a Group asks its caller to do.
type Output struct {
	Messages []Addressed
	// Open lists peers to which a link is wanted from now on; both ends ask for it.
	Open []PeerAddr
	// Close lists links to give up, before Open is looked at: a peer in both gets a
	// new link, since the old one carries nothing.
	Close []model.InstanceID
	// OwnershipChanged reports that Owned, Owner or Owners give other answers now.
	OwnershipChanged bool
	// FetchFrom is a peer with a higher configuration revision, empty for none.
	FetchFrom model.InstanceID
	// Suspects are request fingerprints that were not known before.
	Suspects []Suspect
	Notes    []Note
}

// Addressed is a message to one peer.
type Addressed struct {
	To      model.InstanceID
	Message *Message
}

// PeerAddr is a peer and its host:port for links between entry instances.
type PeerAddr struct {
	ID   model.InstanceID
	Addr string
}

// Note is one decision for the journal.
type Note struct {
	Subject string
	What    string
	Why     string
}

func (g *Group) note(subject model.InstanceID, what, why string) {
	g.out.Notes = append(g.out.Notes, Note{Subject: string(subject), What: what, Why: why})
}
