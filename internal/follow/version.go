package follow

import "fmt"

// A Version orders what is read from the store. Its high bits are the store's epoch, which
// rises when the store is restored from a copy; its low bits are the store's own version
// number, which a restored store gives out again. Everything read in a later epoch is newer
// than everything read in an earlier one.
const (
	versionNumberBits = 48
	maxVersionNumber  = 1<<versionNumberBits - 1
	maxEpoch          = 1<<(63-versionNumberBits) - 1
)

// JoinVersion returns the version that consists of an epoch and a version number.
func JoinVersion(epoch, number int64) (int64, error) {
	if epoch < 0 || epoch > maxEpoch || number < 0 || number > maxVersionNumber {
		return 0, fmt.Errorf("version number %d in epoch %d of the store is out of range", number, epoch)
	}
	return epoch<<versionNumberBits | number, nil
}

// SplitVersion returns the epoch and the version number of a version.
func SplitVersion(version int64) (epoch, number int64) {
	return version >> versionNumberBits, version & maxVersionNumber
}

// Epoch returns the epoch of a version.
func Epoch(version int64) int64 { return version >> versionNumberBits }
