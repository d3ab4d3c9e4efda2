// Command primrosenotch-standin hosts the stand-ins for what the platform and
// the users' own machines give: the platform's services, backend servers, and
// links between them. docs/PLATFORM.md describes their switches.
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

// hostCommand is a subcommand: flags that name stand-ins.
type hostCommand interface {
	placements() ([]placement, error)
}

// run hosts the stand-ins that the arguments name until ctx ends. It writes a
// line "NAME HOST:PORT" to out for each one that has started.
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
	placements, err := commands[name].placements()
	if err != nil {
		return err
	}
	return host(ctx, placements, out)
}

// parse fills the flags of the subcommand that the arguments name, and returns
// its name.
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
