package backend_test

import (
	"testing"

	"go.uber.org/goleak"
)

// The HTTP server keeps these goroutines for a while after it has shut down.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
