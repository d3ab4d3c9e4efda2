package ingress

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestRejectionsNameTheRequestAndTheReason(t *testing.T) {
	rejected := make(chan *Rejection, 1)
	s, address := startServer(t, Settings{OnReject: func(r *Rejection) { rejected <- r }}, func(context.Context, *Exchange) {})
	s.SetLimits(Limits{BodyBytes: 10})
	dial(t, address).send("POST /orders HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nContent-Length: 11\r\n\r\n01234567890")
	r := <-rejected
	require.EqualError(t, r.Err, "body of 11 bytes is too long")
	r.Err = nil
	require.Equal(t, &Rejection{RequestID: "id-1", Host: "shop.example", Path: "/orders", Cause: model.CauseInvalidRequest}, r)

	dial(t, address).send("GET /orders\r\n\r\n")
	r = <-rejected
	require.ErrorContains(t, r.Err, "read header: ")
	require.NotEmpty(t, r.RequestID)
	require.Equal(t, model.CauseInvalidRequest, r.Cause)
}
