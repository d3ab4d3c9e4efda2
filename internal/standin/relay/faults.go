package relay

import "time"

// State says what a link does with connections.
type State string

// The states of a link.
const (
	StateOpen   State = ""       // bytes pass
	StateCut    State = "cut"    // open connections are reset, new ones refused
	StateFrozen State = "frozen" // connections stay open and bytes are held
)

// Faults are the switches of a link. The zero value passes everything on.
type Faults struct {
	State State `json:"state"`
	// OnlyBack makes StateFrozen hold only the bytes that come back from the target.
	OnlyBack bool `json:"only_back"`
	// LatencyMillis and JitterMillis delay bytes each way: the fixed part and the
	// bound of a uniformly distributed part. Bytes keep their order.
	LatencyMillis int64 `json:"latency_ms"`
	JitterMillis  int64 `json:"jitter_ms"`
	// BytesPerSecond bounds each direction, shared by all connections; 0 is no
	// bound.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Seed restarts the random part of the latency when the switches are set.
	Seed uint64 `json:"seed"`
}

func (f Faults) latency() time.Duration { return time.Duration(f.LatencyMillis) * time.Millisecond }
func (f Faults) jitter() time.Duration  { return time.Duration(f.JitterMillis) * time.Millisecond }

// Counters counts what passed since the relay started.
type Counters struct {
	Connections int   `json:"connections"` // open now
	Accepted    int64 `json:"accepted"`
	BytesOut    int64 `json:"bytes_out"` // towards the target
	BytesBack   int64 `json:"bytes_back"`
}
