package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// uploadBufferBytes is the size of the buffer in which a request body is read.
const uploadBufferBytes = 64 << 10

// upload is the result of reading a request body.
type upload struct {
	digest string // xxh3 hash of the body, 16 hex digits
	crash  bool   // the body contains CrashMarker
}

// readUpload reads the request body in pieces. It returns an error if the body ends before
// its declared length.
func readUpload(ctx *fasthttp.RequestCtx) (upload, error) {
	hash := xxh3.New()
	finder := &markerFinder{marker: []byte(CrashMarker)}
	length, err := copyBody(io.MultiWriter(hash, finder), ctx)
	if err != nil {
		return upload{}, fmt.Errorf("read request body: %w", err)
	}
	if declared := int64(ctx.Request.Header.ContentLength()); declared > length {
		return upload{}, fmt.Errorf("read request body: %d of %d bytes: %w", length, declared, io.ErrUnexpectedEOF)
	}
	return upload{digest: fmt.Sprintf("%016x", hash.Sum64()), crash: finder.found}, nil
}

func copyBody(to io.Writer, ctx *fasthttp.RequestCtx) (int64, error) {
	body := ctx.RequestBodyStream()
	if body == nil {
		n, err := to.Write(ctx.Request.Body())
		return int64(n), err
	}
	buffer := make([]byte, uploadBufferBytes)
	var length int64
	for {
		n, err := body.Read(buffer)
		length += int64(n)
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return length, writeErr
		}
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// markerFinder is a writer that searches the data for a marker, even if the marker is split
// across writes.
type markerFinder struct {
	marker []byte
	tail   []byte // last bytes of the data so far, at most len(marker)-1
	found  bool
}

// Write implements io.Writer.
func (f *markerFinder) Write(p []byte) (int, error) {
	if f.found {
		return len(p), nil
	}
	overlap := len(f.marker) - 1
	boundary := append(f.tail, p[:min(len(p), overlap)]...)
	f.found = bytes.Contains(boundary, f.marker) || bytes.Contains(p, f.marker)
	joined := boundary
	if len(p) >= overlap {
		joined = p
	}
	f.tail = bytes.Clone(joined[max(0, len(joined)-overlap):])
	return len(p), nil
}
