// Package memory divides the memory that this process may use.
package memory

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// cgroupLimitFile holds the limit of a container, which sees its own group as the root.
const cgroupLimitFile = "/sys/fs/cgroup/memory.max"

const (
	// heapShare is the fraction of the memory that the runtime may use before it collects
	// garbage more often. The rest is for what it cannot give back at once.
	heapShare = 0.8
	// bodyShare is the fraction for the bodies of requests and answers.
	bodyShare = 0.25
	// connectionShare is the fraction for callers' connections. What configuration and garbage
	// need comes on top.
	connectionShare = 0.25
	// connectionBytes is what a caller's connection costs, with its buffers and goroutine.
	connectionBytes = 32 << 10
)

// Share is what the parts of the process may use.
type Share struct {
	Bodies      int64 // bytes of requests' and answers' bodies
	Connections int   // of callers
}

// Limit returns the memory in bytes that this process may use: configured unless that is 0,
// else the limit of its container or the memory of its machine.
func Limit(configured int64) int64 {
	if configured > 0 {
		return configured
	}
	limit := int64(math.MaxInt64)
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		limit = int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	if text, err := os.ReadFile(cgroupLimitFile); err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			limit = min(limit, n)
		}
	}
	return limit
}

// Apply has the runtime keep to its share of limit, in bytes, unless GOMEMLIMIT sets one, and
// returns the shares of the rest.
func Apply(limit int64) Share {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	}
	return Share{
		Bodies:      int64(bodyShare * float64(limit)),
		Connections: int(min(connectionShare*float64(limit)/connectionBytes, math.MaxInt32)),
	}
}
