//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const healthPath = "/health"

// rig is what one case runs: the store, the workers, the system's processes and the clients, and the
// record of them.
type rig struct {
	trouble       bool
	partialAnswer bool // a worker that crashes has begun its answer
	started       time.Time
	dir           string // temporary folder
	net           string // second and third byte of the loopback addresses of the case
	ports         ports
	store         *store
	arrivals      arrivals
	zones         map[string]string // region by zone

	mu       sync.Mutex
	file     *os.File
	runs     map[string]int // by attempt id
	crashes  []crash
	closers  []func()
	closed   bool
	edges    []*edge
	answered []answered
}

type crash struct {
	at     time.Time
	worker string
}

// ports holds the ports of a day, which are the same on all machines.
type ports struct{ front, ready, control, directory, links int }

func newRig(trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, started: time.Now(), dir: dir, net: fmt.Sprintf("%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)), file: file, runs: map[string]int{}, zones: map[string]string{}}
	r.onClose(func() { _ = os.RemoveAll(dir) })
	if err := r.pickPorts(); err != nil {
		return nil, err
	}
	r.store, err = newStore(r.host(100))
	if err != nil {
		return nil, err
	}
	r.onClose(r.store.close)
	return r, nil
}

// host returns one of the case's loopback addresses.
func (r *rig) host(n int) string { return fmt.Sprintf("127.%s.%d", r.net, n) }

// maxEdges is the number of addresses at which the ports must be free.
const maxEdges = 12

func (r *rig) pickPorts() error {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if r.portsAreFree(base) {
			r.ports = ports{front: base, ready: base + 1, control: 9464, directory: base + 2, links: base + 3}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (r *rig) portsAreFree(base int) bool {
	for n := range maxEdges {
		for _, port := range [...]int{base, base + 1, base + 2, base + 3, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.host(1+n), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// record writes a line with the seconds since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *rig) crashed(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, crash{time.Now(), worker})
}

func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

func (r *rig) closing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// close ends everything that the case has started.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	closers := r.closers
	r.closers = nil
	r.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = r.file.Close()
}

// edge is one process of the system.
type edge struct {
	rig      *rig
	name     string
	zone     string
	ip       string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// settingsText is deploy/edge.ini with its fields filled in, for a machine of a small deployment.
func (e *edge) settingsText() string {
	p := e.rig.ports
	var zones strings.Builder
	for zone, region := range e.rig.zones {
		fmt.Fprintf(&zones, "%s = %s\n", zone, region)
	}
	return fmt.Sprintf(`[instance]
id   = %s
zone = %s
bandwidth mbit = 1000.0
cpus = 0.32
memory mb = 284
[listen]
callers = %s:%d
links   = %s:%d
control = %s:%d

[direct]
lookups = %s:%d
ready   = %s:%d
bounds  = %s

[platform]
address = %s

[regions]
%s
[log]
level  = info
format = json
`, e.name, e.zone, e.ip, p.front, e.ip, p.links, e.ip, p.control, e.ip, p.directory, e.ip, p.ready, bounds, e.rig.store.address(), zones.String())
}

// bounds are those of the site anrf-balanco.
const bounds = "seedLagS=3,reuseAfterS=2,stableWindowMs=4000,ackMs=5000,catchUpS=4,drainMs=2500,graceS=6,lostSlackMs=200,configMs=2500,rollbackSlackMs=250,outerMs=6000,budgetRatio=0.2,budgetWindowS=10,budgetExtra=56,coldOver=1.5,coldSlack=5,evacuateMs=5000,recoveryS=15,ttl_max_s=5,maxShift=0.15"

// The bounds that the checks use.
const (
	stableWindow = 4 * time.Second
	coldOver     = 1.5
	coldSlack    = 5.0
)

// startEdge starts a process of the system on the machine with the given number.
func (r *rig) startEdge(machine int, zone string) (*edge, error) {
	e := &edge{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, machine), zone: zone, ip: r.host(machine)}
	e.settings = filepath.Join(r.dir, e.name+".ini")
	if err := os.WriteFile(e.settings, []byte(e.settingsText()), 0o600); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.edges = append(r.edges, e)
	r.mu.Unlock()
	r.onClose(e.kill)
	return e, nil
}

func (e *edge) start() error {
	out, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(edgeProgram(), "--settings", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.done = done
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		e.rig.record("%s ended: %s", e.name, cmd.ProcessState)
		close(done)
	}()
	e.rig.record("%s started in %s", e.name, e.zone)
	return nil
}

func (e *edge) signal(s syscall.Signal) {
	e.rig.record("%s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *edge) kill() {
	_ = e.cmd.Process.Kill()
	<-e.done
	if os.Getenv("KEEP_LOGS") != "" {
		if text, err := os.ReadFile(e.settings + ".log"); err == nil {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), e.name+".log"), text, 0o600)
		}
	}
}

func (e *edge) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// edgeProgram returns the program that the deploy file builds.
func edgeProgram() string {
	if p := os.Getenv("EDGE_PROGRAM"); p != "" {
		return p
	}
	return "target/primrosenotch-edge"
}
