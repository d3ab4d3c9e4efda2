// Package linkpb holds the protobuf messages that entry instances exchange.
package linkpb
