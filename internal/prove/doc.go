// Package prove holds fault-injection tests. They run fleets of entry processes
// against stand-ins and compare the outcomes that callers received with the
// requests that backend servers ran. The tests take minutes and need the build
// tag "prove"; run them with make prove.
package prove
