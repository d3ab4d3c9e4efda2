// Package cli implements the operators' command-line tool: it checks and applies
// configuration texts, announces planned stops, and shows the decisions of the
// entry instances with their reasons.
package cli

import (
	"context"
	"io"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Environment holds the external dependencies of the commands.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
	// Author is the default of --author.
	Author string
	// NewID returns a unique identifier for an operation or a planned stop.
	NewID    func() string
	ReadFile func(name string) ([]byte, error)
	// OpenFile opens a file that may be too long to be held in memory.
	OpenFile func(name string) (io.ReadCloser, error)
	// OpenTable returns a client of the platform's table service at address
	// (host:port).
	OpenTable func(address string) (platform.Table, error)
}

// globalOptions are accepted by every command.
type globalOptions struct {
	Platform string        `long:"platform" value-name:"HOST:PORT" env:"PRIMROSENOTCH_PLATFORM" description:"address of the platform's table service"`
	Entries  []string      `long:"entry" value-name:"HOST:PORT" env:"PRIMROSENOTCH_ENTRY" env-delim:"," description:"control address of an entry instance; may be repeated; other instances are discovered from its list of peers"`
	Format   string        `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"output format; html is supported only by report"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit for the whole command"`
}

const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// session is the state of one run of the command-line tool.
type session struct {
	ctx     context.Context
	env     *Environment
	global  *globalOptions
	clients *clients
}
