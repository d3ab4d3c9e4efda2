// Package watch samples what the owners of a fleet's backend servers say of
// their load during an experiment, and checks shifts of traffic against the
// shift cap and against what the backend servers say they ran.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// statusTimeout bounds one sample of one instance.
const statusTimeout = 500 * time.Millisecond

// Cell names a service in a zone.
type Cell struct {
	Zone    model.ZoneName    `json:"zone"`
	Service model.ServiceName `json:"service"`
}

// Point is the sum over a cell's owners at one time.
type Point struct {
	At         time.Duration // since the first sample
	Slots      int           // usable
	InUse      int
	SpillLevel float64
	SpillInUse int
}

// Series are the samples of a run.
type Series struct {
	Started time.Time
	Every   time.Duration
	Cells   map[Cell][]Point
	Samples int
	Missed  int // samples of an instance that did not answer
}

// Sample asks every entry instance for its load until ctx ends.
func Sample(ctx context.Context, text *config.Text, entries []string, every time.Duration) *Series {
	client := control.NewClient(statusTimeout)
	defer client.Close()
	s := &Series{Started: time.Now(), Every: every, Cells: make(map[Cell][]Point)}
	zones := make(map[model.BackendName]model.ZoneName, len(text.Backends))
	for _, b := range text.Backends {
		zones[b.Name] = b.Zone
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.add(time.Since(s.Started), zones, askAll(ctx, client, entries))
		select {
		case <-ctx.Done():
			return s
		case <-ticker.C:
		}
	}
}

// askAll returns the answers in the order of the entries, nil for none.
func askAll(ctx context.Context, client *control.Client, entries []string) []*control.Status {
	answers := make([]*control.Status, len(entries))
	var wg sync.WaitGroup
	for i, address := range entries {
		wg.Go(func() {
			if status, err := client.Status(ctx, address); err == nil {
				answers[i] = status
			}
		})
	}
	wg.Wait()
	return answers
}

// add sums the answers by cell. An owner's servers of a service are in one zone
// but where it takes over for a zone without instances; its load then counts
// for the zone of most of its servers of that service.
func (s *Series) add(at time.Duration, zones map[model.BackendName]model.ZoneName, answers []*control.Status) {
	sums := make(map[Cell]*Point)
	for _, status := range answers {
		s.Samples++
		if status == nil {
			s.Missed++
			continue
		}
		for _, load := range status.Loads {
			cell := Cell{Zone: zoneOf(status, load.Service, zones), Service: load.Service}
			if sums[cell] == nil {
				sums[cell] = &Point{At: at}
			}
			sums[cell].Slots += load.Slots
			sums[cell].InUse += load.InUse
			sums[cell].SpillLevel += load.SpillLevel
			sums[cell].SpillInUse += load.SpillInUse
		}
	}
	for cell, point := range sums {
		s.Cells[cell] = append(s.Cells[cell], *point)
	}
}

func zoneOf(status *control.Status, service model.ServiceName, zones map[model.BackendName]model.ZoneName) model.ZoneName {
	counts := make(map[model.ZoneName]int)
	best := status.Zone
	for _, b := range status.Backends {
		if b.Service != service {
			continue
		}
		zone := zones[b.Backend]
		counts[zone]++
		if counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}
