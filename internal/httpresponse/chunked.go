package httpresponse

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// chunkedLength is fasthttp's content length of a response in chunks.
const chunkedLength = -1

// chunkedBody is a body in chunks. It returns io.EOF only after a valid trailer, whose fields it drops.
// fasthttp's own stream does not check the names in the trailer.
type chunkedBody struct {
	br     *bufio.Reader
	header *fasthttp.ResponseHeader
	chunks io.Reader
	err    error // returned by every further read
}

// streamChunks makes resp read its body, which must be in chunks, as a stream from br.
func streamChunks(br *bufio.Reader, resp *fasthttp.Response) {
	resp.SetBodyStream(&chunkedBody{br: br, header: &resp.Header, chunks: httputil.NewChunkedReader(br)}, chunkedLength)
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is not the last chunk
		err = readTrailer(b.br, b.header)
		if err == nil {
			err = io.EOF
		}
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer that follows the last chunk.
func readTrailer(br *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := checkTrailer(br); err != nil {
		return err
	}
	if err := header.ReadTrailer(br); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}
