// Command primrosenotch-standin hosts stand-ins for the platform's services, for the users'
// backend servers, and for the network links between processes.
// docs/PLATFORM.md describes the faults that they can inject.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		logrus.WithError(err).Fatal("stand-in failed")
	}
}

// hostCommand is a subcommand. Its flags specify the stand-ins to host.
type hostCommand interface {
	standins() ([]hostedStandin, error)
}

// run hosts the stand-ins specified by args until ctx is done. It writes a line
// "NAME HOST:PORT" to out for each stand-in when it has started.
func run(ctx context.Context, args []string, out io.Writer) error {
	commands := map[string]hostCommand{
		"platform": &platformCommand{},
		"backend":  &backendCommand{},
		"relay":    &relayCommand{},
	}
	name, err := parse(args, commands)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, err = io.WriteString(out, help.Message+"\n")
		return err
	}
	if err != nil {
		return err
	}
	standins, err := commands[name].standins()
	if err != nil {
		return err
	}
	return host(ctx, standins, out)
}

// parse parses args into the flags of the subcommand that they select, and returns the name
// of the subcommand.
func parse(args []string, commands map[string]hostCommand) (string, error) {
	parser := flags.NewNamedParser("primrosenotch-standin", flags.HelpFlag|flags.PassDoubleDash)
	descriptions := map[string]string{
		"platform": "table service, object store and instance list",
		"backend":  "backend servers",
		"relay":    "links that can be cut, frozen, slowed and silenced",
	}
	for name, command := range commands {
		if _, err := parser.AddCommand(name, descriptions[name], descriptions[name], command); err != nil {
			return "", fmt.Errorf("add command %s: %w", name, err)
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return "", err
	}
	return parser.Active.Name, nil
}
