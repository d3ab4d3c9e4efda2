package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// instancesClient implements Instances.
type instancesClient struct{ *policy }

// List implements Instances. It fails with *UnavailableError, or returns a list with an
// *InvalidEntriesError.
func (i *instancesClient) List(ctx context.Context) ([]ListedInstance, error) {
	req := request{step: StepList, method: fasthttp.MethodGet, path: wire.PathInstances, readOnly: true}
	got, err := i.call(ctx, req)
	if err != nil {
		return nil, err
	}
	entries, invalid, err := decodeInstances(got.body)
	if err != nil {
		return nil, i.transport.unknownOutcomeError(req, fmt.Errorf("decode answer: %w", err))
	}
	list := lo.Map(entries, func(instance wire.Instance, _ int) ListedInstance { return fromWire(instance) })
	if len(invalid) > 0 {
		return list, &InvalidEntriesError{Errs: invalid}
	}
	return list, nil
}

// Register implements Instances. It fails with *UnavailableError or
// *UncertainError.
func (i *instancesClient) Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error {
	message := wire.RegisterRequest{Instance: toWire(instance), TTLMillis: ttl.Milliseconds()}
	req, err := i.jsonRequest(StepRegister, wire.PathInstances, message)
	if err != nil {
		return err
	}
	_, err = i.call(ctx, req)
	return err
}

func fromWire(instance wire.Instance) ListedInstance {
	return ListedInstance{
		ID:         model.InstanceID(instance.ID),
		Zone:       model.ZoneName(instance.Zone),
		LinkAddr:   instance.LinkAddr,
		CallerAddr: instance.CallerAddr,
		Leaving:    instance.Leaving,
		Backend:    model.BackendName(instance.Backend),
	}
}

func toWire(instance ListedInstance) wire.Instance {
	return wire.Instance{
		ID:         string(instance.ID),
		Zone:       string(instance.Zone),
		LinkAddr:   instance.LinkAddr,
		CallerAddr: instance.CallerAddr,
		Leaving:    instance.Leaving,
		Backend:    string(instance.Backend),
	}
}
