package ingress

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// EntriesPath answers which entry instances a caller should use.
const EntriesPath = "/v1/entries"

// reservedPrefix is kept for the system's own paths.
const reservedPrefix = "/v1/"

// addressParameter names another caller's address, or the first address of its
// block, for resolvers that ask on behalf of others.
const addressParameter = "address"

// Entry is one entry instance that a caller may use.
type Entry struct {
	Instance model.InstanceID
	Zone     model.ZoneName
	Address  string // host and port of the callers' HTTP
}

// Directory answers look-ups. It must be safe for concurrent use and cheap.
type Directory interface {
	// Entries appends the entry instances for a caller to dst, best first, and
	// says how long the answer may be cached.
	Entries(remote netip.Addr, dst []Entry) (entries []Entry, ttl time.Duration)
}

// lookupBuffer is the memory of one look-up.
type lookupBuffer struct {
	entries []Entry
	body    []byte
}

var lookupBuffers = sync.Pool{New: func() any { return new(lookupBuffer) }}

// lookup handles EntriesPath.
func (s *Server) lookup(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	trace := s.traceOf(&ctx.Request.Header)
	resp := &ctx.Response
	if s.lookups.Add(1) > int64(s.settings.MaxLookups) {
		s.lookups.Add(-1)
		s.refusedLookups.Add(1)
		s.writeRefusal(resp, trace, model.NotRun, model.CauseOverload, s.settings.OverloadRetryAfter)
		return nil
	}
	defer s.lookups.Add(-1)
	remote, err := lookupAddress(ctx.QueryArgs().Peek(addressParameter), ctx.RemoteAddr())
	if err != nil {
		s.writeRefusal(resp, trace, model.NotRun, model.CauseInvalidRequest, 0)
		return nil
	}
	directory := s.directory.Load()
	if directory == nil {
		s.writeRefusal(resp, trace, model.NotRun, model.CauseNoConfiguration, time.Second)
		return nil
	}
	b := lookupBuffers.Get().(*lookupBuffer)
	defer lookupBuffers.Put(b)
	var ttl time.Duration
	b.entries, ttl = (*directory).Entries(remote, b.entries[:0])
	b.body = appendEntries(b.body[:0], b.entries, ttl)
	resp.Header.Set(s.settings.Dialect.RequestID, trace)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(fiber.HeaderCacheControl, "private, max-age="+strconv.FormatInt(int64(ttl/time.Second), 10))
	resp.SetBody(b.body)
	return nil
}
