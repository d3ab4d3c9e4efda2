// Package settings reads the INI settings of an entry instance: its name, its
// addresses and the bounds that it keeps. They are fixed for the life of the process,
// but for what primrosenotch-edge takes up again; what operators change at run time is
// the operators' text.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// Instance is the [instance] section.
type Instance struct {
	ID   string `ini:"id"`   // unique over all zones
	Zone string `ini:"zone"` // availability zone, as the operators' text names it
}

// Listen is the [listen] section; each value is host:port with an IP address.
type Listen struct {
	Callers string `ini:"callers"` // callers' HTTP and look-ups
	Links   string `ini:"links"`   // links from other entry instances
	Control string `ini:"control"` // operators' API and metrics
}

// Advertise is the optional [advertise] section: what others are told where the
// instance is reached by another address than the one that it listens on. Each
// value is host:port with an IP address; the default is that of [listen].
type Advertise struct {
	Callers string `ini:"callers"`
	Links   string `ini:"links"`
	Control string `ini:"control"`
}

// Platform is the [platform] section.
type Platform struct {
	Address    string        `ini:"address"`     // host:port of the platform's service
	Timeout    time.Duration `ini:"timeout"`     // of one call
	PollEvery  time.Duration `ini:"poll every"`  // by the few instances that poll often
	PollFactor int           `ini:"poll factor"` // the others poll so many times as rarely
}

// Serving is the [serving] section.
type Serving struct {
	MaxRequests int           `ini:"max requests"` // callers' requests in flight at this instance
	LookupTTL   time.Duration `ini:"lookup ttl"`   // how long callers keep look-up answers
	Drain       time.Duration `ini:"drain"`        // longest wait for requests in flight at shutdown
}

// Ledger is the [ledger] section.
type Ledger struct {
	WritesPerSecond int `ini:"writes per second"` // transactions of this instance
}

// Direct is the [direct] section, of an instance that sends requests itself to the
// backend servers that the platform's store lists (primrosenotch-edge). Addresses
// are host:port with an IP address.
type Direct struct {
	Lookups string `ini:"lookups"` // callers' look-ups
	Ready   string `ini:"ready"`   // the platform's question whether the instance is ready
	Bounds  string `ini:"bounds"`  // that the platform requires, name=value separated by commas
	Naive   bool   `ini:"naive"`   // pick random servers of the region, as a baseline for measurements
}

// Log is the [log] section.
type Log struct {
	Level  string `ini:"level"`  // logrus level
	Format string `ini:"format"` // text or json
}

// Settings are all sections of the file.
type Settings struct {
	Instance  Instance  `ini:"instance"`
	Listen    Listen    `ini:"listen"`
	Advertise Advertise `ini:"advertise"`
	Platform  Platform  `ini:"platform"`
	Serving   Serving   `ini:"serving"`
	Ledger    Ledger    `ini:"ledger"`
	Direct    Direct    `ini:"direct"`
	Log       Log       `ini:"log"`
	// Peers are host:port of other instances' links, by instance identifier, for
	// the time before the platform's list is known. Section [peers].
	Peers map[string]string `ini:"-"`
	// Regions are the regions of the availability zones, where the platform and not
	// the operators' text gives them. Section [regions].
	Regions map[string]string `ini:"-"`
}

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: time.Second, PollEvery: 250 * time.Millisecond, PollFactor: 20},
		Serving:  Serving{MaxRequests: 4096, LookupTTL: 2 * time.Second, Drain: 30 * time.Second},
		Ledger:   Ledger{WritesPerSecond: 60},
		Log:      Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks a settings file. The error joins every fault found.
func Load(name string) (Settings, error) {
	s := Default()
	file, err := ini.Load(name)
	if err != nil {
		return s, fmt.Errorf("read settings %s: %w", name, err)
	}
	if err := checkNames(name, file); err != nil {
		return s, err
	}
	if err := file.StrictMapTo(&s); err != nil {
		return s, fmt.Errorf("read settings %s: %w", name, err)
	}
	s.Peers = file.Section(peersSection).KeysHash()
	s.Regions = file.Section(regionsSection).KeysHash()
	s.Advertise.fillFrom(s.Listen)
	if err := errors.Join(checkDurations(name, file), s.check(name)); err != nil {
		return s, err
	}
	return s, nil
}

// fillFrom takes the addresses that are left out from those listened on.
func (a *Advertise) fillFrom(l Listen) {
	a.Callers = cmp.Or(a.Callers, l.Callers)
	a.Links = cmp.Or(a.Links, l.Links)
	a.Control = cmp.Or(a.Control, l.Control)
}

// checkDurations refuses durations of 0, which ini.v1 takes for an absent key.
func checkDurations(name string, file *ini.File) error {
	var faults []error
	for _, d := range []struct{ section, key string }{
		{"platform", "timeout"},
		{"platform", "poll every"},
		{"serving", "lookup ttl"},
		{"serving", "drain"},
	} {
		section := file.Section(d.section)
		if !section.HasKey(d.key) {
			continue
		}
		value, err := section.Key(d.key).Duration()
		if err != nil || value <= 0 {
			faults = append(faults, fmt.Errorf("%s: [%s] %s: %q is not a duration above 0, such as 2s", name, d.section, d.key, section.Key(d.key)))
		}
	}
	return errors.Join(faults...)
}

const (
	peersSection   = "peers"
	regionsSection = "regions"
)

// known lists the keys of each section; [peers] and [regions] take any key.
var known = map[string][]string{
	"instance":  {"id", "zone"},
	"listen":    {"callers", "links", "control"},
	"advertise": {"callers", "links", "control"},
	"platform":  {"address", "timeout", "poll every", "poll factor"},
	"serving":   {"max requests", "lookup ttl", "drain"},
	"ledger":    {"writes per second"},
	"direct":    {"lookups", "ready", "bounds", "naive"},
	"log":       {"level", "format"},
}

func checkNames(name string, file *ini.File) error {
	var faults []error
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 || section.Name() == peersSection || section.Name() == regionsSection {
			continue
		}
		keys, ok := known[section.Name()]
		if !ok {
			faults = append(faults, fmt.Errorf("%s: unknown section [%s]; known are %s", name, section.Name(), list(lo.Keys(known))))
			continue
		}
		for _, key := range section.KeyStrings() {
			if !lo.Contains(keys, key) {
				faults = append(faults, fmt.Errorf("%s: unknown key %q in [%s]; known are %s", name, key, section.Name(), list(keys)))
			}
		}
	}
	return errors.Join(faults...)
}

func list(names []string) string {
	names = append([]string(nil), names...)
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (s *Settings) check(name string) error {
	var faults []error
	fault := func(section, key, what string) {
		faults = append(faults, fmt.Errorf("%s: [%s] %s: %s", name, section, key, what))
	}
	if s.Instance.ID == "" {
		fault("instance", "id", "is missing; give each instance a name of its own")
	}
	if s.Instance.Zone == "" {
		fault("instance", "zone", "is missing; name a zone of the operators' text")
	}
	s.checkAddresses(fault)
	s.checkBounds(fault)
	return errors.Join(faults...)
}

func (s *Settings) checkAddresses(fault func(section, key, what string)) {
	addresses := []struct{ section, key, value string }{
		{"listen", "callers", s.Listen.Callers},
		{"listen", "links", s.Listen.Links},
		{"listen", "control", s.Listen.Control},
		{"platform", "address", s.Platform.Address},
	}
	for _, a := range []struct{ key, value, listen string }{
		{"callers", s.Advertise.Callers, s.Listen.Callers},
		{"links", s.Advertise.Links, s.Listen.Links},
		{"control", s.Advertise.Control, s.Listen.Control},
	} {
		if a.value != a.listen {
			addresses = append(addresses, struct{ section, key, value string }{"advertise", a.key, a.value})
		}
	}
	for id, addr := range s.Peers {
		addresses = append(addresses, struct{ section, key, value string }{peersSection, id, addr})
	}
	for _, a := range addresses {
		if what := addressFault(a.value); what != "" {
			fault(a.section, a.key, what)
		}
	}
}

// addressFault says what is wrong with a host:port, "" where nothing is.
func addressFault(value string) string {
	if value == "" {
		return "is missing; give IP:PORT"
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		return fmt.Sprintf("%q is not IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	return ""
}

func (s *Settings) checkBounds(fault func(section, key, what string)) {
	bounds := []struct {
		section, key string
		ok           bool
	}{
		{"platform", "poll factor", s.Platform.PollFactor > 0},
		{"serving", "max requests", s.Serving.MaxRequests > 0},
		{"ledger", "writes per second", s.Ledger.WritesPerSecond > 0},
	}
	for _, b := range bounds {
		if !b.ok {
			fault(b.section, b.key, "must be more than 0")
		}
	}
	if !lo.Contains([]string{"text", "json"}, s.Log.Format) {
		fault("log", "format", fmt.Sprintf("%q is neither text nor json", s.Log.Format))
	}
}
