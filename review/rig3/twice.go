package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["11"] = twiceCase }

const (
	twiceWorkers = 6
	// lossyWorkers is the number of workers that lose answers: half of them.
	lossyWorkers = 3
	// lostEach makes a lossy worker lose one answer in so many, which is under 3 in 100.
	lostEach = 34
	// lossTime is how long answers are lost.
	lossTime     = 5 * time.Second
	twiceClients = 12
	twiceWork    = 25 * time.Millisecond
)

// twiceCase sends orders on a route that isn't idempotent while workers lose the answers of a few
// requests that they ran. The numbers of some orders contain a slash, which their paths have as
// %2F. A route for the state of orders is idempotent, and its prefix is longer; it doesn't begin
// these paths. TWICE is broken if an order runs more than once.
func twiceCase(r *rig) error {
	orders, state := route("order", "/orders/", "non_idempotent"), route("order-state", "/orders/os/", "idempotent")
	r.store.Put("op", "config", configuration(1, orders, state))
	var mu sync.Mutex
	var lossFrom time.Time // zero for none
	runs := map[string][]string{}
	ran := map[string]int{} // requests that each worker ran since lossFrom
	losses := 0
	for i := range twiceWorkers {
		lossy := i < lossyWorkers
		zone := []string{"muc-a", "nue-a"}[i%2]
		if _, err := r.addWorker(fmt.Sprint("w-", i+1), "shop", zone, func(w *worker, c *workerConn, q *workerRequest) bool {
			w.ran(q)
			if _, err := io.Copy(io.Discard, q.body); err != nil {
				return false
			}
			time.Sleep(twiceWork)
			mu.Lock()
			runs[q.id] = append(runs[q.id], w.id)
			lose := false
			if since := time.Since(lossFrom); lossy && !lossFrom.IsZero() && since < lossTime {
				ran[w.id]++
				lose = ran[w.id]%lostEach == 0
			}
			if lose {
				losses++
			}
			mu.Unlock()
			if lose {
				r.logf("worker %s ran %s, its answer is lost", w.id, q.id)
				return false
			}
			return w.answer(c, q, "done "+q.target)
		}); err != nil {
			return err
		}
	}
	var edges []*edgeProcess
	for _, zone := range []string{"muc-a", "nue-a"} {
		e, err := r.addEdge(edgeOptions{zone: zone})
		if err != nil {
			return err
		}
		edges = append(edges, e)
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	start := time.Now()
	end := start.Add(4*time.Second + lossTime + time.Second)
	go func() {
		time.Sleep(4 * time.Second)
		if !r.trouble {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		lossFrom = time.Now()
		r.logf("%d of %d workers lose one answer in %d, for %s", lossyWorkers, twiceWorkers, lostEach, lossTime)
	}()
	orderIDs := map[string]string{} // path by identifier
	codes := map[int]int{}
	var clients sync.WaitGroup
	for k := range twiceClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", k, n)
				var text, path string
				switch n % 4 {
				case 0:
					path = fmt.Sprintf("/orders/os/%d", n)
					text = request("GET", path, id, 4*time.Second) + "\r\n"
				case 1:
					path = fmt.Sprintf("/orders/%d", n)
					text = orderText(path, id)
				default:
					path = fmt.Sprintf("/orders/os%%2F%d", n)
					text = orderText(path, id)
				}
				if strings.HasPrefix(text, "POST") {
					mu.Lock()
					orderIDs[id] = path
					mu.Unlock()
				}
				status, _, _, _ := r.try(edges[(k+n)%len(edges)], id, text)
				mu.Lock()
				codes[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	r.logf("answers by status, 0 for none: %v; %d answers lost", codes, losses)
	if codes[http.StatusOK] == 0 || r.trouble && losses == 0 {
		return fmt.Errorf("no request was served, or no answer lost: %v", codes)
	}
	for id, path := range orderIDs {
		if len(runs[id]) > 1 {
			r.breakRule("TWICE: POST %s, %s, ran at %s", path, id, strings.Join(runs[id], " and "))
		}
	}
	return nil
}

// orderText returns the text of an order.
func orderText(path, id string) string {
	const body = "place order"
	return request(http.MethodPost, path, id, 4*time.Second) + fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
