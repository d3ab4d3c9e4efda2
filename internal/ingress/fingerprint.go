package ingress

import (
	"sync"

	"github.com/zeebo/xxh3"
)

// hashers pools the hashers, each of which is over 1 KB.
var hashers = sync.Pool{New: func() any { return xxh3.New() }}

// Fingerprint hashes the parts of a request by which a repetition of it is
// recognised: method, URI and body. Only the declared length of a streamed body is
// known, so it stands for the body.
func (x *Exchange) Fingerprint() uint64 {
	h := hashers.Get().(*xxh3.Hasher)
	defer hashers.Put(h)
	h.Reset()
	_, _ = h.WriteString(x.Method)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(x.URI)
	_, _ = h.Write([]byte{0})
	if x.BodyStream == nil {
		_, _ = h.Write(x.Body)
		return h.Sum64()
	}
	n := uint64(x.BodyBytes)
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(n >> shift)})
	}
	return h.Sum64()
}
