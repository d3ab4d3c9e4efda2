// Command primrosenotch is the operators' command-line tool; package
// internal/cli implements it.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/primrosenotch/primrosenotch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, newEnvironment(), os.Args[1:])
	stop()
	os.Exit(code)
}

func newEnvironment() *cli.Environment {
	return &cli.Environment{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Now:       time.Now,
		Author:    currentUser(),
		NewID:     uuid.NewString,
		ReadFile:  os.ReadFile,
		OpenFile:  func(name string) (io.ReadCloser, error) { return os.Open(name) },
		OpenTable: openTable,
	}
}

func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
