package model

import "fmt"

// Rank orders work by urgency; a smaller value is more urgent.
type Rank uint8

// The ranks of the operators' text, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Background

	// RankCount is the number of ranks, for arrays indexed by Rank.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "normal", "background"}

// String returns the word that the operators' text uses.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// MarshalText writes the word that the operators' text uses.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the word that the operators' text uses.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return fmt.Errorf("rank %q is none of urgent, normal, background", text)
}

// Kind says how often a request may be run.
type Kind uint8

// The kinds of the operators' text.
const (
	// Read changes nothing on the backend server.
	Read Kind = iota
	// Idempotent may be run again with the same effect.
	Idempotent
	// Once must be run at most once.
	Once

	kindCount = 3
)

var kindNames = [kindCount]string{"read", "idempotent", "once"}

// String returns the word that the operators' text uses.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText writes the word that the operators' text uses.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the word that the operators' text uses.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("kind %q is none of read, idempotent, once", text)
}

// Repeatable reports whether a request may be sent again after an attempt
// with an unknown outcome.
func (k Kind) Repeatable() bool { return k == Read || k == Idempotent }
