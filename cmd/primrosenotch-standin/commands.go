package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
	"github.com/primrosenotch/primrosenotch/internal/standin/relay"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

// platformCommand hosts the stand-in for the platform.
type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7400" description:"HOST:PORT to listen on"`
}

func (c *platformCommand) standins() ([]hostedStandin, error) {
	return []hostedStandin{{name: "platform", addr: c.Listen, standin: tablestore.New(tablestore.Faults{})}}, nil
}

// backendCommand hosts stand-ins for backend servers.
type backendCommand struct {
	Servers []string `long:"server" description:"NAME=HOST:PORT[,slots=N][,queue=N][,time=DURATION|exponential:MEAN|lognormal:MEAN:SIGMA][,time/PREFIX=...][,answer=BYTES][,cold=DURATION][,cold-factor=X][,cold-requests=N][,retry-after=DURATION][,crash-downtime=DURATION][,cancellable=BOOL][,limit=REQUESTS-PER-SECOND][,draining=BOOL][,refuse=SECONDS][,seed=N]; repeatable"`
	Count   int      `long:"count" description:"number of servers to start, named NAME-01, NAME-02, and so on, each on a free port"`
	Name    string   `long:"name" default:"backend" description:"name prefix (NAME) of the servers started by --count"`
	Host    string   `long:"host" default:"127.0.0.1" description:"host address on which the servers started by --count listen"`
	Options string   `long:"options" description:"options of the servers started by --count, as they follow the address in --server"`
}

func (c *backendCommand) standins() ([]hostedStandin, error) {
	specs := append([]string(nil), c.Servers...)
	for i := range c.Count {
		spec := fmt.Sprintf("%s-%02d=%s:0", c.Name, i+1, c.Host)
		if c.Options != "" {
			spec += "," + c.Options
		}
		specs = append(specs, spec)
	}
	if len(specs) == 0 {
		return nil, errors.New("backend: neither --server nor --count is given")
	}
	standins := make([]hostedStandin, 0, len(specs))
	for i, text := range specs {
		spec, err := backend.ParseSpec(text, backend.Config{Slots: 1, Seed: uint64(i)})
		if err != nil {
			return nil, err
		}
		standins = append(standins, hostedStandin{name: spec.Config.Name, addr: spec.Addr, standin: backend.New(spec.Config)})
	}
	return standins, nil
}

// relayCommand hosts stand-ins for network links and their control service.
type relayCommand struct {
	Links   []string `long:"link" required:"true" description:"NAME=LISTEN-HOST:PORT,TARGET-HOST:PORT; repeatable"`
	Control string   `long:"control" default:"127.0.0.1:7401" description:"HOST:PORT of the control service"`
}

func (c *relayCommand) standins() ([]hostedStandin, error) {
	var standins []hostedStandin
	var relays []*relay.Relay
	for _, text := range c.Links {
		name, addresses, _ := strings.Cut(text, "=")
		addr, target, ok := strings.Cut(addresses, ",")
		if !ok || name == "" {
			return nil, fmt.Errorf("link %q is not NAME=LISTEN-HOST:PORT,TARGET-HOST:PORT", text)
		}
		r := relay.New(relay.Config{Name: name, Target: target})
		relays = append(relays, r)
		standins = append(standins, hostedStandin{name: name, addr: addr, standin: r})
	}
	return append(standins, hostedStandin{name: "control", addr: c.Control, standin: relay.NewControl(relays)}), nil
}
