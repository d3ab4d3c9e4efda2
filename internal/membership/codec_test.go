package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func drawName[N ~string](label string) *rapid.Generator[N] {
	return rapid.Map(rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`), func(s string) N { return N(label + s) })
}

func drawLoad(t *rapid.T) ServiceLoad {
	count := rapid.IntRange(0, 1<<20)
	load := ServiceLoad{
		Service:       drawName[model.ServiceName]("s").Draw(t, "service"),
		Slots:         count.Draw(t, "slots"),
		InUse:         count.Draw(t, "in use"),
		MeanRun:       time.Duration(rapid.Int64Min(0).Draw(t, "run")),
		SpillLevel:    rapid.Float64Range(0, 1e6).Draw(t, "level"),
		SpillInUse:    count.Draw(t, "spill"),
		BaselineSince: model.Instant(rapid.Int64().Draw(t, "since")),
	}
	for i := range load.Queued {
		load.Queued[i] = count.Draw(t, "queued")
	}
	return load
}

func drawRecord(t *rapid.T) Record {
	address := rapid.StringMatching(`10\.0\.0\.[1-9]:[1-9]{4}`)
	return Record{
		ID:          drawName[model.InstanceID]("i").Draw(t, "id"),
		Zone:        drawName[model.ZoneName]("z").Draw(t, "zone"),
		LinkAddr:    address.Draw(t, "link"),
		CallerAddr:  address.Draw(t, "caller"),
		ControlAddr: address.Draw(t, "control"),
		State:       State(rapid.IntRange(0, int(Suspected)).Draw(t, "state")),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
		Revision:    rapid.Int64().Draw(t, "revision"),
		StartedAt:   model.Instant(rapid.Int64().Draw(t, "started")),
		Loads:       drawList(t, drawLoad),
	}
}

// drawList draws a list. An empty one is nil, as protobuf decodes it.
func drawList[T any](t *rapid.T, draw func(*rapid.T) T) []T {
	list := rapid.SliceOfN(rapid.Custom(draw), 0, 4).Draw(t, "list")
	if len(list) == 0 {
		return nil
	}
	return list
}

func drawMessage(t *rapid.T, now model.Instant) *Message {
	return &Message{
		From:        drawName[model.InstanceID]("i").Draw(t, "from"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Revision: config.Order{
			Restores:   rapid.Int64().Draw(t, "restores"),
			AcceptedAt: model.Instant(rapid.Int64().Draw(t, "accepted")),
			Number:     rapid.Int64().Draw(t, "revision"),
			Identity:   rapid.Uint64().Draw(t, "identity"),
		},
		Records: drawList(t, drawRecord),
		Zones: drawList(t, func(t *rapid.T) ZoneSummary {
			zone := drawName[model.ZoneName]("z").Draw(t, "zone")
			return ZoneSummary{Zone: zone, Epoch: rapid.Uint64().Draw(t, "epoch"), Loads: drawList(t, drawLoad)}
		}),
		Suspects: drawList(t, func(t *rapid.T) Suspect {
			left := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "left"))
			return Suspect{
				Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
				Servers:     drawList(t, func(t *rapid.T) model.BackendName { return drawName[model.BackendName]("b").Draw(t, "b") }),
				Coincident:  drawList(t, func(t *rapid.T) model.BackendName { return drawName[model.BackendName]("b").Draw(t, "c") }),
				Expires:     now.Add(left),
			}
		}),
		Terms: drawList(t, func(t *rapid.T) ServerTerms {
			terms := ServerTerms{
				Server:      drawName[model.BackendName]("b").Draw(t, "server"),
				Incarnation: rapid.String().Draw(t, "incarnation"),
				At:          now.Add(-time.Duration(rapid.Int64Range(0, int64(TermsLifetime)).Draw(t, "age"))),
			}
			if rapid.Bool().Draw(t, "limited") {
				terms.Terms = Terms{Limited: true, Limit: rapid.Float64Range(0, 1e9).Draw(t, "limit")}
			}
			terms.Terms.Leaving = rapid.Bool().Draw(t, "leaving")
			return terms
		}),
		LimitShares: drawList(t, func(t *rapid.T) LimitShare {
			return LimitShare{
				Server:      drawName[model.BackendName]("b").Draw(t, "server"),
				Incarnation: rapid.String().Draw(t, "incarnation"),
				Instance:    drawName[model.InstanceID]("i").Draw(t, "id"),
				Number:      model.Instant(rapid.Int64().Draw(t, "number")),
				Urgent:      rapid.IntRange(0, 1e6).Draw(t, "urgent"),
				All:         rapid.IntRange(0, 1e6).Draw(t, "all"),
				Loans: drawList(t, func(t *rapid.T) Loan {
					return Loan{drawName[model.InstanceID]("i").Draw(t, "borrower"), model.Instant(rapid.Int64().Draw(t, "of"))}
				}),
				At: now.Add(-time.Duration(rapid.Int64Range(0, int64(LoanTime)).Draw(t, "age"))),
			}
		}),
		Known: drawList(t, func(t *rapid.T) RecordVersion {
			return RecordVersion{
				drawName[model.InstanceID]("i").Draw(t, "id"),
				rapid.Uint64().Draw(t, "incarnation"), rapid.Uint64().Draw(t, "sequence"),
			}
		}),
	}
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := drawMessage(t, testStart)
		data, err := proto.Marshal(ToProto(testStart, message))
		require.NoError(t, err)
		var p linkpb.Gossip
		require.NoError(t, proto.Unmarshal(data, &p))
		got, err := FromProto(testStart, &p)
		require.NoError(t, err)
		require.Empty(t, cmp.Diff(message, got))
	})
}

func TestExpiryIsSentAsTimeLeft(t *testing.T) {
	sent := &Message{From: "a", Suspects: []Suspect{{Fingerprint: 1, Expires: testStart.Add(time.Minute)}}}
	later := testStart.Add(-time.Hour) // the receiver's clock is an hour behind
	got, err := FromProto(later, ToProto(testStart, sent))
	require.NoError(t, err)
	require.Equal(t, later.Add(time.Minute), got.Suspects[0].Expires)
}

func TestInvalidMessagesAreRefused(t *testing.T) {
	record := func(r *linkpb.Record) *linkpb.Gossip {
		return &linkpb.Gossip{From: "a", Records: []*linkpb.Record{r}}
	}
	for name, p := range map[string]*linkpb.Gossip{
		"sender": {},
		"id":     record(&linkpb.Record{}),
		"state":  record(&linkpb.Record{Id: "a", State: uint32(Suspected) + 1}),
		"slots":  record(&linkpb.Record{Id: "a", Loads: []*linkpb.ServiceLoad{{Slots: -1}}}),
		"queue":  record(&linkpb.Record{Id: "a", Loads: []*linkpb.ServiceLoad{{Queued: []int32{1, -1}}}}),
		"ranks":  record(&linkpb.Record{Id: "a", Loads: []*linkpb.ServiceLoad{{Queued: []int32{1, 2, 3, 4}}}}),
		"zone":   {From: "a", Zones: []*linkpb.ZoneSummary{{Zone: "z", Loads: []*linkpb.ServiceLoad{{InUse: -1}}}}},
	} {
		_, err := FromProto(testStart, p)
		var decode *DecodeError
		require.ErrorAs(t, err, &decode, name)
	}
}

// FuzzReceive decodes arbitrary bytes and passes valid messages to a Group, which
// must not panic then or in later calls.
func FuzzReceive(f *testing.F) {
	for _, message := range []*Message{
		{From: "i1", Incarnation: 1, Records: []Record{{ID: "i1", State: Ready, Incarnation: 1, Sequence: 1}}},
		{From: "i1", Records: []Record{{ID: "i0", State: Suspected, Incarnation: 1 << 63, Sequence: 1 << 63}}},
		{From: "i1", Zones: []ZoneSummary{{Zone: "z", Epoch: 1, Loads: []ServiceLoad{{Service: "web", Slots: 3}}}}},
		{From: "i1", Known: []RecordVersion{{"i0", 1, 1}}, Suspects: []Suspect{{Fingerprint: 1, Expires: testStart + 1}}},
	} {
		data, err := proto.Marshal(ToProto(testStart, message))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p linkpb.Gossip
		if proto.Unmarshal(data, &p) != nil {
			return
		}
		message, err := FromProto(testStart, &p)
		if err != nil {
			return
		}
		c := sevenInstances(Settings{})
		n := c.byID["i0"]
		c.run(tickEvery)
		n.group.Receive(c.now, message.From, message)
		for range 50 {
			c.now = c.now.Add(tickEvery)
			n.group.Tick(c.now)
		}
		n.group.Peers()
		n.group.Entries(nil)
		n.group.Owners("web", n.zone)
	})
}
