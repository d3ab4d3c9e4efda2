//go:build prove

package prove

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
	"github.com/primrosenotch/primrosenotch/internal/standin/relay"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

const (
	readyTimeout   = 20 * time.Second
	stopTimeout    = 40 * time.Second
	pollStatus     = 20 * time.Millisecond
	statusTimeout  = 500 * time.Millisecond
	startStaggered = 300 * time.Millisecond
)

// firstPort is the port below the first listening port. PROVE_PORT overrides it, so
// that concurrent runs use different ports.
const firstPort = 30000

// nextPort is the listening port assigned last. Ports are assigned here and not by
// the kernel, so that an instance can be restarted on the same addresses.
var nextPort = int(numberFromEnvironment("PROVE_PORT", firstPort))

func nextAddress() string {
	nextPort++
	return fmt.Sprintf("127.0.0.1:%d", nextPort)
}

// shape sets the size and timing of a fleet.
type shape struct {
	zones       int
	instances   int // over all zones
	servers     int // of each service in each zone
	slots       int
	serviceTime backend.ServiceTime
	listLag     time.Duration // lag of the platform's list of backend servers
}

var defaultShape = shape{
	zones: 2, instances: 7, servers: 3, slots: 4,
	serviceTime: backend.ServiceTime{Distribution: backend.Exponential, Mean: 10 * time.Millisecond},
}

// process is an entry instance that runs as a process of its own.
type process struct {
	name, zone                                        string
	callersAddr, linksAddr, controlAddr, platformAddr string
	settingsFile                                      string
	relay                                             *relay.Relay // in front of linksAddr
	command                                           *exec.Cmd    // nil after kill or terminate
	logFile                                           *os.File
	exited                                            chan error
}

// fleet holds the stand-ins and entry instances of one test.
type fleet struct {
	t            *testing.T
	dir          string
	shape        shape
	table        *tablestore.Server
	store        *confstore.Store
	tableRelays  map[string]*relay.Relay // by zone
	servers      map[string]*backend.Server
	processes    []*process
	statusClient *control.Client
}

// startFleet starts stand-ins and entry instances, and waits until all instances are
// ready. The fleet is stopped when the test ends.
func startFleet(t *testing.T, s shape) *fleet {
	f := &fleet{
		t: t, dir: t.TempDir(), shape: s,
		table:        tablestore.New(tablestore.Faults{ListLagMillis: s.listLag.Milliseconds()}),
		tableRelays:  make(map[string]*relay.Relay),
		servers:      make(map[string]*backend.Server),
		statusClient: control.NewClient(statusTimeout),
	}
	t.Cleanup(f.stop)
	require.NoError(t, f.table.Start("127.0.0.1:0"))
	f.store = confstore.New(platform.NewClient(platform.DefaultSettings(f.table.Addr())).Table())
	for i := range s.zones {
		r := relay.New(relay.Config{Name: zoneName(i), Target: f.table.Addr()})
		require.NoError(t, r.Start("127.0.0.1:0"))
		f.tableRelays[zoneName(i)] = r
	}
	f.startServers()
	_, err := f.store.Apply(context.Background(), confstore.Change{Source: f.configurationText(""), Author: "prove", Reason: "start", OperationID: "start"})
	require.NoError(t, err)
	for i := range s.instances {
		f.processes = append(f.processes, f.newProcess(i))
		f.start(f.processes[i])
	}
	for _, p := range f.processes {
		f.waitReady(p)
	}
	time.Sleep(time.Second) // for look-ups and ownership to settle
	return f
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i%26)) }

func (f *fleet) startServers() {
	for z := range f.shape.zones {
		for _, service := range services {
			for i := range f.shape.servers {
				name := fmt.Sprintf("%s-%s-%d", service, zoneName(z), i)
				server := backend.New(backend.Config{Name: name, Slots: f.shape.slots, Time: f.shape.serviceTime, Seed: uint64(i)})
				require.NoError(f.t, server.Start("127.0.0.1:0"))
				f.servers[name] = server
			}
		}
	}
}

func (f *fleet) newProcess(i int) *process {
	zone := zoneName(i % f.shape.zones)
	p := &process{
		name: fmt.Sprintf("entry-%d-%s", i+1, zone), zone: zone,
		callersAddr: nextAddress(), linksAddr: nextAddress(), controlAddr: nextAddress(),
		platformAddr: f.tableRelays[zone].Addr(),
	}
	p.relay = relay.New(relay.Config{Name: p.name, Target: p.linksAddr})
	require.NoError(f.t, p.relay.Start("127.0.0.1:0"))
	p.settingsFile = filepath.Join(f.dir, p.name+".ini")
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\n[listen]\ncallers = %s\nlinks = %s\ncontrol = %s\n"+
		"[advertise]\nlinks = %s\n[platform]\naddress = %s\n[log]\nlevel = warn\n",
		p.name, p.zone, p.callersAddr, p.linksAddr, p.controlAddr, p.relay.Addr(), p.platformAddr)
	if len(f.processes) > 0 {
		text += "[peers]\n"
	}
	for _, peer := range f.processes {
		text += fmt.Sprintf("%s = %s\n", peer.name, peer.relay.Addr())
	}
	require.NoError(f.t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
	return p
}

// binary returns the path of a program. PROVE_BIN overrides its directory, for
// example to test a program from which a guard was removed.
func binary(name string) string {
	dir := os.Getenv("PROVE_BIN")
	if dir == "" {
		dir = "../../bin"
	}
	return filepath.Join(dir, name)
}

func (f *fleet) start(p *process) {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	p.logFile = log
	p.command = exec.Command(binary("primrosenotch-entry"), "--settings", p.settingsFile)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(f.t, p.command.Start())
	p.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan<- error) { exited <- c.Wait() }(p.command, p.exited)
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	require.NoError(f.t, p.command.Process.Signal(s))
}

// kill sends SIGKILL to a process and waits until it has ended.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

// terminate sends SIGTERM to a process and returns its exit error, or an error if it
// is still running after stopTimeout.
func (f *fleet) terminate(p *process) error {
	f.signal(p, syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.command = nil
		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("stop %s: still running after %v", p.name, stopTimeout)
	}
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGKILL)
			<-p.exited
		}
		f.logTail(p)
		_ = p.relay.Close()
	}
	for _, r := range f.tableRelays {
		_ = r.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = f.table.Close()
	f.statusClient.Close()
}

// logTail prints the last lines of an instance's log if the test has failed.
func (f *fleet) logTail(p *process) {
	if !f.t.Failed() {
		return
	}
	text, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
	lines := bytes.Split(text, []byte("\n"))
	for _, line := range lines[max(0, len(lines)-logTailLines):] {
		if len(line) > 0 {
			f.t.Logf("%s", line)
		}
	}
}

const logTailLines = 12

func (f *fleet) statusOf(p *process) (*control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return f.statusClient.Status(ctx, p.controlAddr)
}

func (f *fleet) waitReady(p *process) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		s, err := f.statusOf(p)
		return err == nil && s.State == "ready" && s.Configuration.Revision > 0
	}, readyTimeout, pollStatus, "instance %s is not ready", p.name)
}

// addresses returns the addresses at which the instances listen for callers.
func (f *fleet) addresses() []string {
	var list []string
	for _, p := range f.processes {
		list = append(list, p.callersAddr)
	}
	return list
}

// runCommand runs the operators' command-line program and returns its output.
func (f *fleet) runCommand(args ...string) string {
	f.t.Helper()
	out, err := exec.Command(binary("primrosenotch"), append(args, "--platform", f.table.Addr())...).CombinedOutput()
	require.NoError(f.t, err, "%s", out)
	return string(out)
}

func seedsFromEnvironment(defaults ...uint64) []uint64 {
	if seed := numberFromEnvironment("PROVE_SEED", 0); seed != 0 {
		return []uint64{seed}
	}
	return defaults
}

func numberFromEnvironment(name string, absent uint64) uint64 {
	number, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return absent
	}
	return number
}
