package backend_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if tests leak goroutines. It ignores two that the HTTP server keeps running
// for some time after its shutdown.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
