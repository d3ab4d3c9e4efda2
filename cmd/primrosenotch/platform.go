package main

import "github.com/primrosenotch/primrosenotch/internal/platform"

// openTable returns a client of the platform's table service at address
// (host:port).
func openTable(address string) (platform.Table, error) {
	return platform.NewClient(platform.DefaultSettings(address)).Table(), nil
}
