//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["11"] = memoryCase }

const (
	// memoryLimitMB is the memory of the machine, in MB of 1,048,576 bytes.
	memoryLimitMB = 284
	// usualUsers and burstUsers are the numbers of users with a kept connection, who send an upload
	// each at about the same time: the second is 2.6 times the first.
	usualUsers = 650
	burstUsers = 1690
	// cookieBytes is the length of the users' cookie. Their headers are shorter than
	// maxHeaderBytes, 16,384.
	cookieBytes = 15_000
	uploadBytes = 60_000
	uploadWork  = 760 * time.Millisecond
	// burstTime is the time over which the users send their uploads: 68 Mbytes a second, about half of
	// the machine's link of 1,000 Mbit/s, so that no packet waits there.
	burstTime = 1500 * time.Millisecond
	// memoryPoll is how often the platform looks at the process's memory.
	memoryPoll = 10 * time.Millisecond
	// memoryWatch is how long it does so.
	memoryWatch = 10 * time.Second
)

// memoryCase has many users come at once, who stay within the limits of the configuration. The
// platform kills a process that exceeds the memory of its machine. That is an end of its own, and
// LOST is broken if more than three requests from kept connections were passed on to sound workers
// and got no answer.
func memoryCase(r *rig) error {
	view, upload := route("view", "/view/", "idempotent"), route("upload", "/upload/", "upload")
	r.store.Put("op", "config", configuration(1, view, upload))
	var passedOn sync.Map
	for i := range 8 {
		w, err := r.addWorker(fmt.Sprint("w-", i+1), "shop", "muc-a", func(w *worker, c *workerConn, q *workerRequest) bool {
			work := 5 * time.Millisecond
			if q.method == http.MethodPost {
				w.ran(q)
				passedOn.Store(q.id, true)
				work = uploadWork
			}
			if _, err := io.Copy(io.Discard, q.body); err != nil {
				return false
			}
			time.Sleep(work)
			return w.answer(c, q, "stored")
		})
		if err != nil {
			return err
		}
		w.setSlots(46) // in all as many as the workers of kaderwerk-prod have
	}
	e, err := r.addEdge(edgeOptions{zone: "muc-a", memoryMB: memoryLimitMB})
	if err != nil {
		return err
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(trafficDelay)
	watched := make(chan struct{})
	var killed atomic.Bool
	go func() {
		defer close(watched)
		killed.Store(r.watchMemory(e, memoryLimitMB<<10))
	}()
	users := usualUsers
	if r.trouble {
		users = burstUsers
	}
	r.logf("%d users", users)
	cookie := "Cookie: session=" + strings.Repeat("c", cookieBytes) + "\r\n"
	body := strings.Repeat("u", uploadBytes)
	var lost atomic.Int64
	var connected, done sync.WaitGroup
	start := make(chan struct{})
	codes := map[int]int{}
	var mu sync.Mutex
	for k := range users {
		connected.Add(1)
		done.Go(func() {
			c, answers, ok := r.user(e, k, cookie)
			connected.Done()
			if !ok {
				return
			}
			defer func() { _ = c.Close() }()
			<-start
			time.Sleep(time.Duration(k) * burstTime / burstUsers)
			id := fmt.Sprintf("user-%d-upload", k)
			status := 0
			head := request(http.MethodPost, fmt.Sprintf("/upload/%d", k), id, 4*time.Second) + cookie
			if _, err := io.WriteString(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body); err == nil {
				status = readStatus(answers)
			}
			mu.Lock()
			codes[status]++
			mu.Unlock()
			if _, ran := passedOn.Load(id); status == 0 && ran {
				lost.Add(1)
				r.logf("user %d: no answer to %s, which was passed on", k, id)
			}
		})
		if k%50 == 49 {
			time.Sleep(20 * time.Millisecond) // no queue of new connections
		}
	}
	connected.Wait()
	r.logf("all users have connected; resident memory %d kB", residentKB(e))
	close(start)
	done.Wait()
	<-watched
	r.logf("answers to uploads by status, 0 for none: %v; killed: %v", codes, killed.Load())
	if lost.Load() > 3 {
		r.breakRule("LOST: %d requests", lost.Load())
	}
	return nil
}

// user opens a user's connection and sends a first request on it.
func (r *rig) user(e *edgeProcess, k int, cookie string) (net.Conn, *bufio.Reader, bool) {
	c, err := dialEdge(e)
	if err != nil {
		r.logf("user %d: %v", k, err)
		return nil, nil, false
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // an error shows with the first read
	answers := bufio.NewReader(c)
	_, err = io.WriteString(c, request(http.MethodGet, fmt.Sprintf("/view/%d", k), fmt.Sprintf("user-%d-view", k), 4*time.Second)+cookie+"\r\n")
	if err != nil || readStatus(answers) != http.StatusOK {
		_ = c.Close()
		return nil, nil, false
	}
	return c, answers, true
}

// readStatus reads a whole answer and returns its status, 0 if there is none.
func readStatus(answers *bufio.Reader) int {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// watchMemory kills a process that exceeds limit, in kB of resident memory, as the platform does.
func (r *rig) watchMemory(e *edgeProcess, limit int) (killed bool) {
	most := 0
	for end := time.Now().Add(memoryWatch); time.Now().Before(end); time.Sleep(memoryPoll) {
		resident := residentKB(e)
		most = max(most, resident)
		if resident > limit {
			r.logf("%s has %d kB of resident memory, over its machine's %d kB; the platform kills it", e.id, resident, limit)
			_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			return true
		}
	}
	r.logf("%s had %d kB of resident memory at most, of %d kB", e.id, most, limit)
	return false
}

// residentKB returns the resident memory of an instance, 0 if it has ended.
func residentKB(e *edgeProcess) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(string(value)), "kB")))
			return kB
		}
	}
	return 0
}
