package config

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/samber/lo"
	"github.com/zeebo/xxh3"
)

// HashError reports a revision whose content does not match the hash sent with it.
type HashError struct {
	Number int64
	Want   uint64 // hash sent with the revision
	Got    uint64 // hash of the received content
}

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("decode revision %d: content hash is %016x, want %016x", e.Number, e.Got, e.Want)
}

// HashRevision returns the content hash of a revision. Each part is prefixed with its
// length, so that different contents never form the same byte sequence.
func HashRevision(source []byte, stops []Stop) uint64 {
	h := xxh3.New()
	hashBytes(h, source)
	for _, s := range stops {
		for _, part := range []string{s.ID, string(s.Scope), s.Target, s.Author, s.Reason} {
			hashBytes(h, []byte(part))
		}
		hashNumber(h, uint64(unixNano(s.At)))
	}
	return h.Sum64()
}

func hashBytes(h *xxh3.Hasher, b []byte) {
	hashNumber(h, uint64(len(b)))
	_, _ = h.Write(b) // never fails
}

func hashNumber(h *xxh3.Hasher, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:]) // never fails
}

// EncodeRevision converts a revision to the message that is stored and sent to peers.
func EncodeRevision(r *Revision) *linkpb.Revision {
	return &linkpb.Revision{
		Number:         r.Number,
		Source:         r.Source,
		Hash:           r.Hash,
		Stops:          lo.Map(r.Stops, func(s Stop, _ int) *linkpb.Stop { return encodeStop(s) }),
		Author:         r.Author,
		Reason:         r.Reason,
		AcceptedAt:     unixNano(r.AcceptedAt),
		OperationId:    r.OperationID,
		TextAcceptedAt: unixNano(r.TextAcceptedAt),
		Earlier:        lo.Map(r.Earlier, func(c TextChange, _ int) *linkpb.TextChange { return encodeTextChange(c) }),
		Ancestors:      r.Ancestors,
		Restores:       r.Restores,
	}
}

func encodeTextChange(c TextChange) *linkpb.TextChange {
	return &linkpb.TextChange{Source: c.Source, AcceptedAt: unixNano(c.AcceptedAt)}
}

func encodeStop(s Stop) *linkpb.Stop {
	return &linkpb.Stop{
		Id:     s.ID,
		Scope:  string(s.Scope),
		Target: s.Target,
		Author: s.Author,
		Reason: s.Reason,
		At:     unixNano(s.At),
	}
}

// DecodeRevision converts a stored or received message to a revision and checks its
// content against its hash. The error is a *HashError.
func DecodeRevision(m *linkpb.Revision) (*Revision, error) {
	r := &Revision{
		Number:         m.GetNumber(),
		Source:         m.GetSource(),
		Hash:           m.GetHash(),
		Author:         m.GetAuthor(),
		Reason:         m.GetReason(),
		AcceptedAt:     fromUnixNano(m.GetAcceptedAt()),
		OperationID:    m.GetOperationId(),
		TextAcceptedAt: fromUnixNano(m.GetTextAcceptedAt()),
		Ancestors:      m.GetAncestors(),
		Restores:       m.GetRestores(),
	}
	for _, stop := range m.GetStops() {
		r.Stops = append(r.Stops, decodeStop(stop))
	}
	for _, change := range m.GetEarlier() {
		r.Earlier = append(r.Earlier, TextChange{Source: change.GetSource(), AcceptedAt: fromUnixNano(change.GetAcceptedAt())})
	}
	if got := HashRevision(r.Source, r.Stops); got != r.Hash {
		return nil, &HashError{Number: r.Number, Want: r.Hash, Got: got}
	}
	return r, nil
}

func decodeStop(m *linkpb.Stop) Stop {
	return Stop{
		ID:     m.GetId(),
		Scope:  StopScope(m.GetScope()),
		Target: m.GetTarget(),
		Author: m.GetAuthor(),
		Reason: m.GetReason(),
		At:     fromUnixNano(m.GetAt()),
	}
}

// unixNano returns t in nanoseconds since the epoch, 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNano is the inverse of unixNano; the result is in UTC.
func fromUnixNano(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
