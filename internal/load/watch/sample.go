// Package watch samples the load that the owners of backend servers report during
// an experiment. It compares the growth of spill and of usable slots with the shift
// cap, and finds refused requests that the backend servers report as run.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// statusTimeout limits one status request to one instance.
const statusTimeout = 500 * time.Millisecond

// ZoneService identifies a service in an availability zone.
type ZoneService struct {
	Zone    model.ZoneName    `json:"zone"`
	Service model.ServiceName `json:"service"`
}

// Point is one sample of a service in a zone, summed over its owners.
type Point struct {
	At         time.Duration // since the start of sampling
	Slots      int           // usable
	InUse      int
	SpillLevel float64
	SpillInUse int
}

// Series holds the samples of a run.
type Series struct {
	Started time.Time
	Every   time.Duration
	Points  map[ZoneService][]Point
	Samples int // one per entry instance and interval
	Missed  int // samples without an answer
}

// Sample queries the load of every entry instance at the given interval until ctx
// ends.
func Sample(ctx context.Context, text *config.Text, entries []string, every time.Duration) *Series {
	client := control.NewClient(statusTimeout)
	defer client.Close()
	s := &Series{Started: time.Now(), Every: every, Points: make(map[ZoneService][]Point)}
	zones := make(map[model.BackendName]model.ZoneName, len(text.Backends))
	for _, b := range text.Backends {
		zones[b.Name] = b.Zone
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.add(time.Since(s.Started), zones, fetchStatuses(ctx, client, entries))
		select {
		case <-ctx.Done():
			return s
		case <-ticker.C:
		}
	}
}

// fetchStatuses queries all entry instances at once and returns their statuses in the
// order of entries, with nil for an instance that did not answer.
func fetchStatuses(ctx context.Context, client *control.Client, entries []string) []*control.Status {
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

// add sums the loads by zone and service. The servers that an owner has of a service
// are in one zone, unless the owner takes over for a zone without instances. In that
// case its load counts for the zone in which most of these servers are.
func (s *Series) add(at time.Duration, zones map[model.BackendName]model.ZoneName, answers []*control.Status) {
	sums := make(map[ZoneService]*Point)
	for _, status := range answers {
		s.Samples++
		if status == nil {
			s.Missed++
			continue
		}
		for _, load := range status.Loads {
			key := ZoneService{Zone: zoneOf(status, load.Service, zones), Service: load.Service}
			if sums[key] == nil {
				sums[key] = &Point{At: at}
			}
			sums[key].Slots += load.Slots
			sums[key].InUse += load.InUse
			sums[key].SpillLevel += load.SpillLevel
			sums[key].SpillInUse += load.SpillInUse
		}
	}
	for key, point := range sums {
		s.Points[key] = append(s.Points[key], *point)
	}
}

// zoneOf returns the zone in which most of the instance's servers of a service are,
// or the zone of the instance if none has more.
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
