package relay

import "time"

// State determines how a link treats connections.
type State string

// States of a link.
const (
	StateOpen   State = ""       // data is forwarded
	StateCut    State = "cut"    // open connections are reset, new connections are refused
	StateFrozen State = "frozen" // connections stay open, data is held back
)

// Faults configures the injected faults of a link. The zero value injects none.
type Faults struct {
	State State `json:"state"`
	// OnlyBack limits StateFrozen to the data sent by the target.
	OnlyBack bool `json:"only_back"`
	// LatencyMillis and JitterMillis delay the data in each direction: LatencyMillis is
	// the fixed part, JitterMillis the upper bound of a uniformly distributed part. Data
	// is not reordered.
	LatencyMillis int64 `json:"latency_ms"`
	JitterMillis  int64 `json:"jitter_ms"`
	// BytesPerSecond is the bandwidth of each direction, shared by all connections; 0
	// means unlimited.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Seed seeds the jitter. Its generator is restarted whenever the faults are set.
	Seed uint64 `json:"seed"`
}

func (f Faults) latency() time.Duration { return time.Duration(f.LatencyMillis) * time.Millisecond }
func (f Faults) jitter() time.Duration  { return time.Duration(f.JitterMillis) * time.Millisecond }

// Counters holds the counts of a link since its start.
type Counters struct {
	Connections int   `json:"connections"` // open connections
	Accepted    int64 `json:"accepted"`
	BytesOut    int64 `json:"bytes_out"`  // sent to the target
	BytesBack   int64 `json:"bytes_back"` // sent by the target
}
