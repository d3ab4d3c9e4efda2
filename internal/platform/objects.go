package platform

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

const contentTypeBytes = "application/octet-stream"

// objectsClient implements Objects.
type objectsClient struct{ *policy }

// Put implements Objects. It fails with *UnavailableError or *UncertainError.
func (o *objectsClient) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.call(ctx, request{
		step:        StepPutObject,
		method:      fasthttp.MethodPut,
		path:        wire.PathObject,
		objectName:  name,
		body:        data,
		contentType: contentTypeBytes,
	})
	return err
}

// Get implements Objects. It fails with *NotFoundError or *UnavailableError.
func (o *objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	got, err := o.call(ctx, request{
		step:       StepGetObject,
		method:     fasthttp.MethodGet,
		path:       wire.PathObject,
		objectName: name,
		readOnly:   true,
	})
	if err != nil {
		return nil, err
	}
	if got.notFound {
		return nil, &NotFoundError{Peer: o.transport.peer, Name: name}
	}
	return got.body, nil
}
