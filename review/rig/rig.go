//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosenotch/primrosenotch/platform/platformtest"
)

// Figures of the platform, as its pages give them for a small deployment.
const (
	beatInterval = 1500 * time.Millisecond
	silentBeats  = 3 // heartbeats without which an entry is removed
	stableWindow = 4 * time.Second
	drainTime    = 2500 * time.Millisecond
	bounds       = "seedLagS=3,reuseAfterS=2,stableWindowMs=4000,ackMs=5000,catchUpS=4,drainMs=2500,graceS=6," +
		"lostSlackMs=200,configMs=2500,rollbackSlackMs=250,outerMs=6000,budgetRatio=0.2,budgetWindowS=10," +
		"budgetExtra=60,coldOver=1.5,coldSlack=5,evacuateMs=5000,recoveryS=15,ttl_max_s=5,maxShift=0.15"
	callersHost = "hulo84.example"
)

// rig is one deployment on loopback.
type rig struct {
	program string
	trouble bool   // play the disruption
	control bool   // play only the part of it that shall be borne
	dir     string // of settings and logs
	store   *platformtest.Store
	started time.Time

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	edges   []*instance
	workers []*worker
	raw     []*rawWorker
	closed  bool
	ids     int
}

func newRig(record, program string, trouble, control bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return &rig{
		program: program, trouble: trouble, control: control, dir: dir, store: platformtest.NewStore(),
		started: time.Now(), file: file, record: bufio.NewWriter(file),
	}, nil
}

// logf adds a line with the time since the start, in seconds, to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
	}
}

// newID returns the identifier of the next attempt of a caller.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%016x", uint64(r.ids)*0x9e3779b97f4a7c15)
}

// close ends all that the rig started.
func (r *rig) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	edges, workers, raw := r.edges, r.workers, r.raw
	_ = r.record.Flush()
	_ = r.file.Close()
	r.mu.Unlock()
	for _, e := range edges {
		e.kill()
	}
	for _, w := range workers {
		w.stop()
	}
	for _, w := range raw {
		w.stop()
	}
	r.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// instance is an entry instance.
type instance struct {
	rig                                   *rig
	id, zone                              string
	front, ready, lookups, links, control string
	settings                              string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// freeAddresses sets addresses of a loopback host with different ports that are free now.
func freeAddresses(host string, to ...*string) error {
	for _, address := range to {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	return nil
}

// hostPart is a part of the loopback addresses by which rigs that run at a time differ.
func hostPart() int { return 16 + os.Getpid()%200 }

var zones = []string{"muc-a", "muc-b", "nue-a", "nue-b", "fra-a", "fra-b"}

func regionOf(zone string) string { return strings.Split(zone, "-")[0] }

// addInstance starts an entry instance in a zone, on an address of its own.
func (r *rig) addInstance(zone string) (*instance, error) {
	n := len(r.edges)
	e := &instance{rig: r, id: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone}
	host := fmt.Sprintf("127.%d.11.%d", hostPart(), n+1)
	if err := freeAddresses(host, &e.front, &e.ready, &e.lookups, &e.links, &e.control); err != nil {
		return nil, err
	}
	e.settings = filepath.Join(r.dir, e.id+".ini")
	var text strings.Builder
	fmt.Fprintf(&text, "[instance]\nid = %s\nzone = %s\nbandwidth mbit = 1000\ncpus = 0.32\n", e.id, zone)
	fmt.Fprintf(&text, "[listen]\ncallers = %s\nlinks = %s\ncontrol = %s\n", e.front, e.links, e.control)
	fmt.Fprintf(&text, "[direct]\nlookups = %s\nready = %s\nbounds = %s\n", e.lookups, e.ready, bounds)
	fmt.Fprintf(&text, "[platform]\naddress = %s\n[regions]\n", r.store.Address())
	for _, z := range zones {
		fmt.Fprintf(&text, "%s = %s\n", z, regionOf(z))
	}
	text.WriteString("[log]\nlevel = info\nformat = json\n")
	if err := os.WriteFile(e.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.edges = append(r.edges, e)
	r.mu.Unlock()
	return e, e.start()
}

// start starts the process.
func (e *instance) start() error {
	log, err := os.OpenFile(e.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.rig.program, "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is seen from outside
		_ = log.Close()
		close(done)
	}()
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	e.rig.logf("%s started", e.id)
	return nil
}

// kill ends the process at once.
func (e *instance) kill() {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-done
	e.rig.logf("%s killed", e.id)
}

// startInstances starts entry instances in zones and waits until all are in touch.
func (r *rig) startInstances(zones ...string) error {
	for _, zone := range zones {
		if _, err := r.addInstance(zone); err != nil {
			return err
		}
	}
	return r.awaitInstances()
}

// restartAll kills all entry instances at the same moment, starts them again after a short delay
// and waits until all are in touch.
func (r *rig) restartAll() error {
	var all sync.WaitGroup
	for _, e := range r.edges {
		all.Go(e.kill)
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, e := range r.edges {
		if err := e.start(); err != nil {
			return err
		}
	}
	return r.awaitInstances()
}

func (r *rig) awaitInstances() error {
	deadline := time.Now().Add(10 * time.Second)
	for _, e := range r.edges {
		for !e.isReady() {
			if time.Now().After(deadline) {
				log, _ := os.ReadFile(e.settings + ".log")
				return fmt.Errorf("%s is not ready; the end of its log: %s", e.id, log[max(0, len(log)-800):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(stableWindow) // all are in touch
	r.logf("%d instances are ready", len(r.edges))
	return nil
}

// spell is the length of a disruption, and of the pause after it.
const spell = 3 * time.Second

// inSpell reports whether a disruption that comes again and again is on.
func (r *rig) inSpell() bool { return time.Since(r.started)/spell%2 == 1 }
