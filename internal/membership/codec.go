package membership

import (
	"fmt"
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// DecodeError reports a received message with a value that no instance of this
// version sends.
type DecodeError struct {
	Part  string // the invalid part of the message
	Peer  model.InstanceID
	Value string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s of message from %q: invalid value %s", e.Part, e.Peer, e.Value)
}

// ToProto converts a message for sending. Expiry times are encoded as the time
// left at now, because the clocks of instances are not compared.
func ToProto(now model.Instant, m *Message) *linkpb.Gossip {
	return &linkpb.Gossip{
		From:        string(m.From),
		Incarnation: m.Incarnation,
		Revision:    m.Revision.Number,
		Records:     lo.Map(m.Records, func(r Record, _ int) *linkpb.Record { return recordToProto(&r) }),
		Zones:       lo.Map(m.Zones, func(z ZoneSummary, _ int) *linkpb.ZoneSummary { return zoneToProto(&z) }),
		Suspects:    lo.Map(m.Suspects, func(s Suspect, _ int) *linkpb.Suspect { return suspectToProto(now, &s) }),
		Terms:       lo.Map(m.Terms, func(t ServerTerms, _ int) *linkpb.ServerTerms { return termsToProto(now, &t) }),
		LimitShares: lo.Map(m.LimitShares, func(s LimitShare, _ int) *linkpb.LimitShare { return limitShareToProto(now, &s) }),
		Known:       lo.Map(m.Known, func(v RecordVersion, _ int) *linkpb.RecordVersion { return versionToProto(v) }),

		RevisionAcceptedAt: int64(m.Revision.AcceptedAt),
		RevisionRestores:   m.Revision.Restores,
		RevisionIdentity:   m.Revision.Identity,
	}
}

func recordToProto(r *Record) *linkpb.Record {
	return &linkpb.Record{
		Id:          string(r.ID),
		Zone:        string(r.Zone),
		LinkAddr:    r.LinkAddr,
		CallerAddr:  r.CallerAddr,
		ControlAddr: r.ControlAddr,
		State:       uint32(r.State),
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Revision:    r.Revision,
		StartedAt:   int64(r.StartedAt),
		Loads:       loadsToProto(r.Loads),
	}
}

func loadsToProto(loads []ServiceLoad) []*linkpb.ServiceLoad {
	return lo.Map(loads, func(load ServiceLoad, _ int) *linkpb.ServiceLoad {
		return &linkpb.ServiceLoad{
			Service:       string(load.Service),
			Slots:         int32(load.Slots),
			InUse:         int32(load.InUse),
			Queued:        queuedToProto(&load),
			MeanRunNs:     int64(load.MeanRun),
			SpillLevel:    load.SpillLevel,
			SpillInUse:    int32(load.SpillInUse),
			BaselineSince: int64(load.BaselineSince),
		}
	})
}

// queuedToProto returns the queue length of each rank, or nil if all queues are
// empty.
func queuedToProto(load *ServiceLoad) []int32 {
	if load.Queued == [model.RankCount]int{} {
		return nil
	}
	return lo.Map(load.Queued[:], func(n, _ int) int32 { return int32(n) })
}

func zoneToProto(z *ZoneSummary) *linkpb.ZoneSummary {
	return &linkpb.ZoneSummary{Zone: string(z.Zone), Epoch: z.Epoch, Loads: loadsToProto(z.Loads)}
}

func suspectToProto(now model.Instant, s *Suspect) *linkpb.Suspect {
	return &linkpb.Suspect{
		Fingerprint: s.Fingerprint,
		Servers:     namesToProto(s.Servers),
		Coincident:  namesToProto(s.Coincident),
		TimeLeftNs:  int64(s.Expires.Sub(now)),
	}
}

func versionToProto(v RecordVersion) *linkpb.RecordVersion {
	return &linkpb.RecordVersion{Id: string(v.ID), Incarnation: v.Incarnation, Sequence: v.Sequence}
}

// FromProto converts a message received at now. It returns an error that wraps a
// DecodeError if the message holds an invalid value.
func FromProto(now model.Instant, p *linkpb.Gossip) (*Message, error) {
	from := model.InstanceID(p.GetFrom())
	if from == "" {
		return nil, &DecodeError{Part: "sender", Peer: from, Value: `""`}
	}
	m := &Message{From: from, Incarnation: p.GetIncarnation(), Revision: config.Order{
		Restores:   p.GetRevisionRestores(),
		AcceptedAt: model.Instant(p.GetRevisionAcceptedAt()),
		Number:     p.GetRevision(),
		Identity:   p.GetRevisionIdentity(),
	}}
	for _, r := range p.GetRecords() {
		record, err := recordFromProto(from, r)
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", r.GetId(), err)
		}
		m.Records = append(m.Records, record)
	}
	for _, z := range p.GetZones() {
		loads, err := loadsFromProto(from, z.GetLoads())
		if err != nil {
			return nil, fmt.Errorf("summary of zone %q: %w", z.GetZone(), err)
		}
		m.Zones = append(m.Zones, ZoneSummary{Zone: model.ZoneName(z.GetZone()), Epoch: z.GetEpoch(), Loads: loads})
	}
	for _, s := range p.GetSuspects() {
		m.Suspects = append(m.Suspects, suspectFromProto(now, s))
	}
	for _, t := range p.GetTerms() {
		m.Terms = append(m.Terms, termsFromProto(now, t))
	}
	for _, s := range p.GetLimitShares() {
		m.LimitShares = append(m.LimitShares, limitShareFromProto(now, s))
	}
	for _, v := range p.GetKnown() {
		m.Known = append(m.Known, versionFromProto(v))
	}
	return m, nil
}

func recordFromProto(from model.InstanceID, r *linkpb.Record) (Record, error) {
	if r.GetId() == "" {
		return Record{}, &DecodeError{Part: "record identifier", Peer: from, Value: `""`}
	}
	if r.GetState() > uint32(Suspected) {
		return Record{}, &DecodeError{Part: "record state", Peer: from, Value: fmt.Sprint(r.GetState())}
	}
	loads, err := loadsFromProto(from, r.GetLoads())
	if err != nil {
		return Record{}, err
	}
	return Record{
		ID:          model.InstanceID(r.GetId()),
		Zone:        model.ZoneName(r.GetZone()),
		LinkAddr:    r.GetLinkAddr(),
		CallerAddr:  r.GetCallerAddr(),
		ControlAddr: r.GetControlAddr(),
		State:       State(r.GetState()),
		Incarnation: r.GetIncarnation(),
		Sequence:    r.GetSequence(),
		Revision:    r.GetRevision(),
		StartedAt:   model.Instant(r.GetStartedAt()),
		Loads:       loads,
	}, nil
}

func loadsFromProto(from model.InstanceID, list []*linkpb.ServiceLoad) ([]ServiceLoad, error) {
	var loads []ServiceLoad
	for _, p := range list {
		load, err := loadFromProto(from, p)
		if err != nil {
			return nil, err
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func loadFromProto(from model.InstanceID, p *linkpb.ServiceLoad) (ServiceLoad, error) {
	negative := p.GetSlots() < 0 || p.GetInUse() < 0 || p.GetSpillInUse() < 0 || p.GetMeanRunNs() < 0
	// The negated comparison also rejects NaN.
	if negative || !(p.GetSpillLevel() >= 0) || len(p.GetQueued()) > model.RankCount {
		return ServiceLoad{}, &DecodeError{Part: "load", Peer: from, Value: p.String()}
	}
	load := ServiceLoad{
		Service:       model.ServiceName(p.GetService()),
		Slots:         int(p.GetSlots()),
		InUse:         int(p.GetInUse()),
		MeanRun:       time.Duration(p.GetMeanRunNs()),
		SpillLevel:    p.GetSpillLevel(),
		SpillInUse:    int(p.GetSpillInUse()),
		BaselineSince: model.Instant(p.GetBaselineSince()),
	}
	for i, n := range p.GetQueued() {
		if n < 0 {
			return ServiceLoad{}, &DecodeError{Part: "queue length", Peer: from, Value: fmt.Sprint(n)}
		}
		load.Queued[i] = int(n)
	}
	return load, nil
}

func suspectFromProto(now model.Instant, s *linkpb.Suspect) Suspect {
	left := min(time.Duration(s.GetTimeLeftNs()), maxSuspectLifetime)
	return Suspect{
		Fingerprint: s.GetFingerprint(),
		Servers:     namesFromProto(s.GetServers()),
		Coincident:  namesFromProto(s.GetCoincident()),
		Expires:     now.Add(left),
	}
}

func termsToProto(now model.Instant, t *ServerTerms) *linkpb.ServerTerms {
	return &linkpb.ServerTerms{
		Server:      string(t.Server),
		Incarnation: t.Incarnation,
		Limited:     t.Terms.Limited,
		Limit:       t.Terms.Limit,
		Leaving:     t.Terms.Leaving,
		AgeNs:       int64(now.Sub(t.At)),
	}
}

// termsFromProto decodes the terms of a server. A limit that is no rate counts as 0.
func termsFromProto(now model.Instant, t *linkpb.ServerTerms) ServerTerms {
	terms := Terms{Limited: t.GetLimited(), Leaving: t.GetLeaving()}
	if limit := t.GetLimit(); terms.Limited && limit > 0 {
		terms.Limit = limit
	}
	age := min(max(0, time.Duration(t.GetAgeNs())), terms.Lifetime())
	return ServerTerms{Server: model.BackendName(t.GetServer()), Incarnation: t.GetIncarnation(), Terms: terms, At: now.Add(-age)}
}

func namesToProto(names []model.BackendName) []string {
	return lo.Map(names, func(n model.BackendName, _ int) string { return string(n) })
}

func namesFromProto(names []string) []model.BackendName {
	var list []model.BackendName
	for _, n := range names {
		list = append(list, model.BackendName(n))
	}
	return list
}

func versionFromProto(v *linkpb.RecordVersion) RecordVersion {
	return RecordVersion{
		ID:          model.InstanceID(v.GetId()),
		Incarnation: v.GetIncarnation(),
		Sequence:    v.GetSequence(),
	}
}

func limitShareToProto(now model.Instant, s *LimitShare) *linkpb.LimitShare {
	return &linkpb.LimitShare{
		Server:      string(s.Server),
		Incarnation: s.Incarnation,
		Instance:    string(s.Instance),
		Number:      int64(s.Number),
		Urgent:      uint32(s.Urgent),
		All:         uint32(s.All),
		AgeNs:       int64(now.Sub(s.At)),
		Loans: lo.Map(s.Loans, func(l Loan, _ int) *linkpb.Loan {
			return &linkpb.Loan{Borrower: string(l.Borrower), Number: int64(l.Number)}
		}),
	}
}

// limitShareFromProto decodes a statement. One whose age is no age counts as expired.
func limitShareFromProto(now model.Instant, s *linkpb.LimitShare) LimitShare {
	age := time.Duration(s.GetAgeNs())
	if age < 0 || age > LoanTime {
		age = LoanTime
	}
	share := LimitShare{
		Server:      model.BackendName(s.GetServer()),
		Incarnation: s.GetIncarnation(),
		Instance:    model.InstanceID(s.GetInstance()),
		Number:      model.Instant(s.GetNumber()),
		Urgent:      int(min(s.GetUrgent(), math.MaxInt32)),
		All:         int(min(s.GetAll(), math.MaxInt32)),
		At:          now.Add(-age),
	}
	for _, l := range s.GetLoans() {
		share.Loans = append(share.Loans, Loan{Borrower: model.InstanceID(l.GetBorrower()), Number: model.Instant(l.GetNumber())})
	}
	return share
}
