// Package descriptors divides the process's file descriptors among its uses.
package descriptors

import (
	"errors"
	"math"
	"syscall"
)

// Reserve is the number of descriptors kept for everything that has no share: links, the
// store, readiness checks, operators, logs.
const Reserve = 256

// MaxControl bounds the connections for operators and for readiness checks, each. They are part
// of the reserve.
const MaxControl = 32

// lookupDivisor is the ratio of all descriptors to those for lookups.
const lookupDivisor = 16

// minConnections is the least number of connections that a use gets, whatever the limit.
const minConnections = 16

// Share holds the numbers of connections that a process may have open. Those of callers and
// to backend servers are equal because a request in flight needs one of each.
type Share struct {
	Callers        int
	BackendServers int
	Lookups        int // on a listener of their own
}

// Available returns the division of the descriptors that this process may open.
func Available() Share {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return divide(math.MaxInt32) // not limited as far as is known
	}
	return divide(limit.Cur)
}

func divide(limit uint64) Share {
	total := int(min(limit, math.MaxInt32))
	lookups := max(total/lookupDivisor, minConnections)
	each := max((total-Reserve-lookups)/2, minConnections)
	return Share{Callers: each, BackendServers: each, Lookups: lookups}
}

// IsShortage reports whether an error of a socket call shows that this process or machine
// lacks a resource. It says nothing about the peer.
func IsShortage(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL:
		return true
	default:
		return false
	}
}
