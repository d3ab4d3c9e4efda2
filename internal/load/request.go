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

// maxSources limits the number of source addresses of a class.
const maxSources = 16

// repeatWindow is the number of recent requests of a class that may be repeated.
const repeatWindow = 1024

// request is one request of a class. All its attempts use the same values.
type request struct {
	id     string // X-Request-Id, unique within the run except for repeats
	key    string // Idempotency-Key, empty unless the kind of the class is once
	source netip.Addr
	digest uint64 // xxh3 of the body
	class  int
	phase  int
}

// requestGenerator creates the requests of one class. It is not safe for concurrent use.
type requestGenerator struct {
	class   *Class
	index   int
	prefix  string
	random  *rand.Rand
	sources []netip.Addr
	created int
	recent  []request
}

func newRequestGenerator(e *Experiment, index int, run string) *requestGenerator {
	c := &e.Classes[index]
	return &requestGenerator{
		class:  c,
		index:  index,
		prefix: run + "-" + strconv.Itoa(index) + "-",
		// 1<<32 keeps the random numbers independent of those of newArrivals.
		random:  rand.New(rand.NewPCG(e.Seed, uint64(index)|1<<32)),
		sources: sourcesOf(c.Callers),
	}
}

// sourcesOf returns the first addresses of a block, up to maxSources. It leaves out the
// network address of a block with more than two addresses.
func sourcesOf(block netip.Prefix) []netip.Addr {
	var sources []netip.Addr
	for a := block.Addr(); block.Contains(a) && len(sources) < maxSources; a = a.Next() {
		if block.Bits() < 31 && a == block.Addr() {
			continue // skip the network address
		}
		sources = append(sources, a)
	}
	return sources
}

// next returns a new request or, with probability Repeat, a recent one.
func (r *requestGenerator) next(phase int) request {
	if len(r.recent) > 0 && r.random.Float64() < r.class.Repeat {
		q := r.recent[r.random.IntN(len(r.recent))]
		q.phase = phase
		return q
	}
	r.created++
	q := request{
		id:     r.prefix + strconv.Itoa(r.created),
		source: r.sources[r.random.IntN(len(r.sources))],
		class:  r.index,
		phase:  phase,
	}
	if r.class.Kind == model.Once {
		q.key = "key-" + q.id
	}
	q.digest = bodyDigest(q.id, r.class.BodyBytes)
	r.keepForRepeat(q)
	return q
}

func (r *requestGenerator) keepForRepeat(q request) {
	if r.class.Repeat == 0 {
		return
	}
	if len(r.recent) < repeatWindow {
		r.recent = append(r.recent, q)
		return
	}
	r.recent[r.created%repeatWindow] = q
}

var bodyBuffers = sync.Pool{New: func() any { return new([]byte) }}

func bodyDigest(id string, size int) uint64 {
	buf := bodyBuffers.Get().(*[]byte)
	defer bodyBuffers.Put(buf)
	*buf = appendBody((*buf)[:0], id, size)
	return xxh3.Hash(*buf)
}

// appendBody appends the body of a request, pseudorandom bytes derived from its ID.
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

// fill sets method, URI, headers and body of the HTTP request.
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
