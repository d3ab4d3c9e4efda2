package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestRequestsThatWereNotRunAreListed(t *testing.T) {
	e := &Experiment{Phases: []Phase{{Name: "steady"}}}
	r := newClassRecorder(e, &Class{Name: "order"})
	r.add(&request{id: "r1"}, observation{outcome: model.NotRun.String()}, 0, 0)
	r.add(&request{id: "r2"}, observation{outcome: servedOutcome}, 0, 0)
	r.add(&request{id: "r3"}, observation{outcome: model.Unknown.String()}, 0, 0)
	require.Equal(t, []string{"r1"}, r.notRun)

	repeated := newClassRecorder(e, &Class{Name: "order", Repeat: 0.1})
	repeated.add(&request{id: "r1"}, observation{outcome: model.NotRun.String()}, 0, 0)
	require.Empty(t, repeated.notRun, "another request with the same ID may have run")
}
