package link

import (
	"io"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
)

// TrafficKind classifies frames by purpose. Its string form is a metric label.
type TrafficKind uint8

// The kinds of traffic.
const (
	TrafficMembership    TrafficKind = iota // hello and membership messages, reports about quotas
	TrafficConfiguration                    // configuration revisions and store state, and requests for them
	TrafficRequests                         // offers, responses and bodies

	trafficKindCount = 3
)

var trafficLabels = [trafficKindCount]string{"membership", "configuration", "requests"}

// String returns the metric label.
func (k TrafficKind) String() string { return trafficLabels[k] }

// Traffic counts the bytes of frames of one kind that the links have carried since
// New. It includes neither requests that an instance offers to itself nor
// yamux headers and pings.
type Traffic struct {
	Kind           TrafficKind
	Sent, Received int64
}

// traffic counts the bytes of frames by kind.
type traffic struct {
	sent, received [trafficKindCount]atomic.Int64
}

func trafficKindOf(f *linkpb.Frame) TrafficKind {
	switch f.GetBody().(type) {
	case *linkpb.Frame_Hello, *linkpb.Frame_Gossip,
		*linkpb.Frame_QuotaReport, *linkpb.Frame_QuotaReply:
		return TrafficMembership
	case *linkpb.Frame_Revision, *linkpb.Frame_RevisionRequest,
		*linkpb.Frame_State, *linkpb.Frame_StateRequest:
		return TrafficConfiguration
	default:
		return TrafficRequests
	}
}

// Traffic returns the traffic of all links by kind.
func (l *Links) Traffic() []Traffic {
	list := make([]Traffic, trafficKindCount)
	for kind := range list {
		list[kind] = Traffic{
			Kind:     TrafficKind(kind),
			Sent:     l.traffic.sent[kind].Load(),
			Received: l.traffic.received[kind].Load(),
		}
	}
	return list
}

// countingReader counts the bytes read from a stream.
type countingReader struct {
	reader io.Reader
	read   int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.read += int64(n)
	return n, err
}
