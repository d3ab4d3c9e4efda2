package ingress

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// EntriesPath serves lookups of the entry instances that a caller should use.
const EntriesPath = "/v1/entries"

// reservedPrefix is the path prefix reserved for the entry instance's own endpoints.
// Unless Settings.NoLookups is set, requests below it never reach the handler.
const reservedPrefix = "/v1/"

// addressParameter is the query parameter with the address or address prefix
// (CIDR) of another caller, for resolvers that look up entry instances on behalf of others.
const addressParameter = "address"

// Entry is one entry instance that a caller may use.
type Entry struct {
	Instance model.InstanceID
	Zone     model.ZoneName
	Address  string // host and port for callers' HTTP requests
}

// Directory finds the entry instances for a caller. It must be safe for concurrent use
// and cheap, as it is called for every lookup.
type Directory interface {
	// Entries appends the entry instances for a caller to dst, best first, and
	// returns how long the result may be cached.
	Entries(remote netip.Addr, dst []Entry) (entries []Entry, ttl time.Duration)
}

// lookupBuffer holds the buffers of one lookup for reuse.
type lookupBuffer struct {
	entries []Entry
	body    []byte
}

var lookupBuffers = sync.Pool{New: func() any { return new(lookupBuffer) }}

// lookup serves EntriesPath.
func (s *Server) lookup(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	requestID := s.requestIDOf(&ctx.Request.Header)
	resp := &ctx.Response
	if s.lookups.Add(1) > int64(s.settings.MaxLookups) {
		s.lookups.Add(-1)
		s.refusedLookups.Add(1)
		s.writeRefusal(resp, requestID, model.NotRun, model.CauseOverload, s.settings.OverloadRetryAfter)
		return nil
	}
	defer s.lookups.Add(-1)
	remote, err := lookupAddress(ctx.QueryArgs().Peek(addressParameter), ctx.RemoteAddr())
	if err != nil {
		s.writeRefusal(resp, requestID, model.NotRun, model.CauseInvalidRequest, 0)
		return nil
	}
	directory := s.directory.Load()
	if directory == nil {
		s.writeRefusal(resp, requestID, model.NotRun, model.CauseNoConfiguration, time.Second)
		return nil
	}
	b := lookupBuffers.Get().(*lookupBuffer)
	defer lookupBuffers.Put(b)
	var ttl time.Duration
	b.entries, ttl = (*directory).Entries(remote, b.entries[:0])
	b.body = appendEntries(b.body[:0], b.entries, ttl)
	resp.Header.Set(s.settings.Dialect.RequestID, requestID)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(fiber.HeaderCacheControl, "private, max-age="+strconv.FormatInt(int64(ttl/time.Second), 10))
	resp.SetBody(b.body)
	return nil
}
