package load

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// maxSources bounds the source addresses of one class.
const maxSources = 16

// repeatWindow is how many of a class's latest requests may be repeated.
const repeatWindow = 1024

// request is one request of a class, the same in all its attempts.
type request struct {
	id     string // X-Request-Id, unique in the run
	key    string // Idempotency-Key, "" unless the class's kind is once
	source netip.Addr
	digest uint64 // xxh3 of the body
	class  int
	phase  int
}

// requests makes the requests of one class. It is not safe for concurrent use.
type requests struct {
	class   *Class
	index   int
	prefix  string
	random  *rand.Rand
	sources []netip.Addr
	made    int
	latest  []request
}

func newRequests(e *Experiment, index int, run string) *requests {
	c := &e.Classes[index]
	return &requests{
		class:   c,
		index:   index,
		prefix:  run + "-" + strconv.Itoa(index) + "-",
		random:  rand.New(rand.NewPCG(e.Seed, uint64(index)|1<<32)),
		sources: sourcesOf(c.Callers),
	}
}

// sourcesOf returns the first addresses of a block.
func sourcesOf(block netip.Prefix) []netip.Addr {
	var sources []netip.Addr
	for a := block.Addr(); block.Contains(a) && len(sources) < maxSources; a = a.Next() {
		if block.Bits() < 31 && a == block.Addr() {
			continue // the block's own address
		}
		sources = append(sources, a)
	}
	return sources
}

// next returns a new request, or an earlier one to be repeated.
func (r *requests) next(phase int) request {
	if len(r.latest) > 0 && r.random.Float64() < r.class.Repeat {
		q := r.latest[r.random.IntN(len(r.latest))]
		q.phase = phase
		return q
	}
	r.made++
	q := request{
		id:     r.prefix + strconv.Itoa(r.made),
		source: r.sources[r.random.IntN(len(r.sources))],
		class:  r.index,
		phase:  phase,
	}
	if r.class.Kind == model.Once {
		q.key = "key-" + q.id
	}
	q.digest = bodyDigest(q.id, r.class.BodyBytes)
	r.remember(q)
	return q
}

func (r *requests) remember(q request) {
	if r.class.Repeat == 0 {
		return
	}
	if len(r.latest) < repeatWindow {
		r.latest = append(r.latest, q)
		return
	}
	r.latest[r.made%repeatWindow] = q
}

var bodies = sync.Pool{New: func() any { return new([]byte) }}

func bodyDigest(id string, size int) uint64 {
	buf := bodies.Get().(*[]byte)
	defer bodies.Put(buf)
	*buf = appendBody((*buf)[:0], id, size)
	return xxh3.Hash(*buf)
}

// appendBody appends the body of a request: bytes that depend on its id.
func appendBody(dst []byte, id string, size int) []byte {
	seed := xxh3.HashString(id)
	for len(dst)+8 <= size {
		dst = binary.LittleEndian.AppendUint64(dst, seed)
		seed = seed*6364136223846793005 + 1442695040888963407
	}
	for len(dst) < size {
		dst = append(dst, byte(seed))
	}
	return dst
}

// fill writes a request in the form that is sent.
func (q *request) fill(req *fasthttp.Request, c *Class, host string) {
	req.Header.SetMethod(c.Method)
	req.Header.SetHost(host)
	req.SetRequestURI(c.Path + "?answer_bytes=" + strconv.Itoa(c.AnswerBytes))
	req.Header.Set(httpheader.RequestID, q.id)
	if q.key != "" {
		req.Header.Set(httpheader.IdempotencyKey, q.key)
	}
	if c.Deadline > 0 {
		req.Header.Set(httpheader.DeadlineMillis, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if c.BodyBytes > 0 {
		req.SetBody(appendBody(req.Body()[:0], q.id, c.BodyBytes))
	}
}
