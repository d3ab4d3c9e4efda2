package model

import "fmt"

// Rank is the urgency of a request; smaller values are more urgent.
type Rank uint8

// Ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Background

	// RankCount is the length of arrays indexed by Rank.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "normal", "background"}

// String returns the name used in the operators' text.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// MarshalText implements encoding.TextMarshaler; the text is that of String.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the names that
// String returns.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q; want urgent, normal or background", text)
}

// Kind classifies a request by how often it may be run.
type Kind uint8

// Request kinds.
const (
	// Read requests have no side effects on the backend server.
	Read Kind = iota
	// Idempotent requests may be run again with the same effect.
	Idempotent
	// Once requests must be run at most once.
	Once

	kindCount = 3
)

var kindNames = [kindCount]string{"read", "idempotent", "once"}

// String returns the name used in the operators' text.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText implements encoding.TextMarshaler; the text is that of String.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the names that
// String returns.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("unknown kind %q; want read, idempotent or once", text)
}

// Repeatable reports whether a request may be sent again after an attempt
// with an unknown outcome.
func (k Kind) Repeatable() bool { return k == Read || k == Idempotent }
