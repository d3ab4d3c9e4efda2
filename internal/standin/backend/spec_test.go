package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

func TestParseSpec(t *testing.T) {
	spec, err := backend.ParseSpec(
		"checkout-1=127.0.0.1:9001,slots=8,queue=2,time=lognormal:80ms:0.5,time/orders=exponential:20ms,cold=30s,cold-factor=4,limit=1.5,draining=true,refuse=3",
		backend.Config{Slots: 3, AnswerBytes: 512},
	)
	require.NoError(t, err)
	require.Equal(t, backend.Spec{
		Addr: "127.0.0.1:9001",
		Config: backend.Config{
			Name:        "checkout-1",
			Slots:       8,
			Queue:       2,
			AnswerBytes: 512,
			Time:        backend.ServiceTime{Distribution: backend.Lognormal, Mean: 80 * time.Millisecond, Sigma: 0.5},
			PathTimes: []backend.PathTime{{
				Prefix: "/orders",
				Time:   backend.ServiceTime{Distribution: backend.Exponential, Mean: 20 * time.Millisecond},
			}},
			Cold:   backend.ColdStart{Duration: 30 * time.Second, Factor: 4},
			Faults: backend.Faults{Limit: 1.5, Draining: true, RetryAfterSeconds: 3},
		},
	}, spec)
}

func TestParseSpecReportsInvalidField(t *testing.T) {
	for text, wanted := range map[string]string{
		"checkout":                       "NAME=HOST:PORT",
		"a=:0,speed=3":                   `key "speed"`,
		"a=:0,limit=some":                `key "limit"`,
		"a=:0,slots=many":                `key "slots"`,
		"a=:0,time=lognormal:80ms":       "service time",
		"a=:0,time/x=exponential:80ms:1": `key "time/x"`,
	} {
		_, err := backend.ParseSpec(text, backend.Config{})
		require.ErrorContains(t, err, wanted, text)
	}
}
