//go:build prove

package prove

import (
	"fmt"
	"strings"
)

// The services of the fleet: one for reads, one for requests that run at most once.
const (
	readService = "catalogue"
	onceService = "checkout"
)

var services = []string{readService, onceService}

// configurationText returns the operators' text of the fleet, with note as a comment
// that makes it differ from other revisions.
func (f *fleet) configurationText(note string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "; %s\n", note)
	for i := range f.shape.zones {
		fmt.Fprintf(&b, "[zone %s]\nregion = munich\n", zoneName(i))
	}
	for _, s := range services {
		fmt.Fprintf(&b, "[service %s]\ntarget = 99.9%% in 1s\n", s)
	}
	b.WriteString("[route browse]\nservice = catalogue\nmatch = GET /catalogue/*\nrank = normal\nkind = read\ndeadline = 2s\n")
	b.WriteString("[route order]\nservice = checkout\nmatch = POST /orders\nrank = urgent\nkind = once\ndeadline = 3s\n")
	for i := range f.shape.zones {
		home := zoneName(i)
		for j := 1; j < f.shape.zones; j++ {
			home += ", " + zoneName((i+j)%f.shape.zones)
		}
		fmt.Fprintf(&b, "[callers block-%d]\nblocks = 127.0.%d.0/24\nhome = %s\n", i, 10+i, home)
	}
	b.WriteString("[limits]\nshift cap = 50% of capacity per 1s\nurgent floor = 60%\nnormal floor = 25%\nbackground floor = 10%\n")
	for z := range f.shape.zones {
		for _, s := range services {
			for i := range f.shape.servers {
				name := fmt.Sprintf("%s-%s-%d", s, zoneName(z), i)
				fmt.Fprintf(&b, "[backend %s]\nservice = %s\nzone = %s\naddress = %s\nslots = %d\n",
					name, s, zoneName(z), f.servers[name].Addr(), f.shape.slots)
			}
		}
	}
	return []byte(b.String())
}
