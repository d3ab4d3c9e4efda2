package platform

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
)

// checkedRoundTripper makes a single attempt over a connection of the client, and rejects responses
// with an invalid header. It implements fasthttp.RoundTripper.
type checkedRoundTripper struct{}

// RoundTrip implements fasthttp.RoundTripper. The request must have a timeout. A retry is never asked
// for.
func (checkedRoundTripper) RoundTrip(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	deadline := time.Now().Add(req.GetTimeOut())
	cc, err := client.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	conn := cc.Conn()
	if err := conn.SetDeadline(deadline); err != nil {
		client.CloseConn(cc)
		return false, err
	}
	if err := exchange(client, conn, req, resp); err != nil {
		client.CloseConn(cc)
		return false, err
	}
	if req.ConnectionClose() || resp.ConnectionClose() {
		client.CloseConn(cc)
	} else {
		client.ReleaseConn(cc)
	}
	return false, nil
}

// exchange sends a request and reads its response.
func exchange(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	bw := client.AcquireWriter(conn)
	defer client.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	br := client.AcquireReader(conn)
	defer client.ReleaseReader(br)
	return httpresponse.Read(br, resp, client.MaxResponseBodySize)
}
