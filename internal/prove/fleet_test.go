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

// firstPort is where listening ports begin; PROVE_PORT names another, so that
// two runs do not meet.
const firstPort = 30000

// nextPort hands out listening ports, so that an instance can be restarted on
// the addresses that it had.
var nextPort = int(numberFromEnvironment("PROVE_PORT", firstPort))

func takeAddress() string {
	nextPort++
	return fmt.Sprintf("127.0.0.1:%d", nextPort)
}

// shape says how large a fleet is.
type shape struct {
	zones     int
	instances int // over all zones
	servers   int // of each service in each zone
	slots     int
	time      backend.ServiceTime
	list      time.Duration // lag of the platform's list
}

var defaultShape = shape{
	zones: 2, instances: 7, servers: 3, slots: 4,
	time: backend.ServiceTime{Distribution: backend.Exponential, Mean: 10 * time.Millisecond},
}

// process is one entry instance.
type process struct {
	name, zone                        string
	callers, links, control, platform string
	settings                          string
	relay                             *relay.Relay // before its links
	command                           *exec.Cmd
	log                               *os.File
	exited                            chan error
}

// fleet is everything of a run.
type fleet struct {
	t         *testing.T
	dir       string
	shape     shape
	table     *tablestore.Server
	store     *confstore.Store
	toTable   map[string]*relay.Relay // by zone
	servers   map[string]*backend.Server
	processes []*process
	status    *control.Client
}

// startFleet starts stand-ins and entry instances and waits until all are ready.
func startFleet(t *testing.T, s shape) *fleet {
	f := &fleet{
		t: t, dir: t.TempDir(), shape: s,
		table:   tablestore.New(tablestore.Faults{ListLagMillis: s.list.Milliseconds()}),
		toTable: make(map[string]*relay.Relay),
		servers: make(map[string]*backend.Server),
		status:  control.NewClient(statusTimeout),
	}
	t.Cleanup(f.stop)
	require.NoError(t, f.table.Start("127.0.0.1:0"))
	f.store = confstore.New(platform.NewClient(platform.DefaultSettings(f.table.Addr())).Table())
	for i := range s.zones {
		r := relay.New(relay.Config{Name: zoneName(i), Target: f.table.Addr()})
		require.NoError(t, r.Start("127.0.0.1:0"))
		f.toTable[zoneName(i)] = r
	}
	f.startServers()
	_, err := f.store.Apply(context.Background(), confstore.Change{Source: f.text(""), Author: "prove", Reason: "start", OperationID: "start"})
	require.NoError(t, err)
	for i := range s.instances {
		f.processes = append(f.processes, f.newProcess(i))
		f.start(f.processes[i])
	}
	for _, p := range f.processes {
		f.waitReady(p)
	}
	time.Sleep(time.Second) // the look-ups and owners settle
	return f
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i%26)) }

func (f *fleet) startServers() {
	for z := range f.shape.zones {
		for _, service := range services {
			for i := range f.shape.servers {
				name := fmt.Sprintf("%s-%s-%d", service, zoneName(z), i)
				server := backend.New(backend.Config{Name: name, Slots: f.shape.slots, Time: f.shape.time, Seed: uint64(i)})
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
		callers: takeAddress(), links: takeAddress(), control: takeAddress(),
		platform: f.toTable[zone].Addr(),
	}
	p.relay = relay.New(relay.Config{Name: p.name, Target: p.links})
	require.NoError(f.t, p.relay.Start("127.0.0.1:0"))
	p.settings = filepath.Join(f.dir, p.name+".ini")
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\n[listen]\ncallers = %s\nlinks = %s\ncontrol = %s\n"+
		"[advertise]\nlinks = %s\n[platform]\naddress = %s\n[log]\nlevel = warn\n",
		p.name, p.zone, p.callers, p.links, p.control, p.relay.Addr(), p.platform)
	if len(f.processes) > 0 {
		text += "[peers]\n"
	}
	for _, peer := range f.processes {
		text += fmt.Sprintf("%s = %s\n", peer.name, peer.relay.Addr())
	}
	require.NoError(f.t, os.WriteFile(p.settings, []byte(text), 0o600))
	return p
}

// binary is the entry program; PROVE_BIN names another directory, such as one
// with a program whose guard was taken out.
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
	p.log = log
	p.command = exec.Command(binary("primrosenotch-entry"), "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(f.t, p.command.Start())
	p.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan<- error) { exited <- c.Wait() }(p.command, p.exited)
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	require.NoError(f.t, p.command.Process.Signal(s))
}

// kill ends a process at once and waits until it is gone.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

// terminate asks a process to leave and reports how it did.
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
		f.showLog(p)
		_ = p.relay.Close()
	}
	for _, r := range f.toTable {
		_ = r.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = f.table.Close()
	f.status.Close()
}

// showLog prints what an instance noted as wrong, where the test failed.
func (f *fleet) showLog(p *process) {
	if !f.t.Failed() {
		return
	}
	text, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
	lines := bytes.Split(text, []byte("\n"))
	for _, line := range lines[max(0, len(lines)-shownLogLines):] {
		if len(line) > 0 {
			f.t.Logf("%s", line)
		}
	}
}

const shownLogLines = 12

func (f *fleet) statusOf(p *process) (*control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return f.status.Status(ctx, p.control)
}

func (f *fleet) waitReady(p *process) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		s, err := f.statusOf(p)
		return err == nil && s.State == "ready" && s.Configuration.Revision > 0
	}, readyTimeout, pollStatus, "instance %s is not ready", p.name)
}

// addresses lists the callers' addresses of all instances.
func (f *fleet) addresses() []string {
	var list []string
	for _, p := range f.processes {
		list = append(list, p.callers)
	}
	return list
}

// operator runs the operators' command line.
func (f *fleet) operator(args ...string) string {
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
