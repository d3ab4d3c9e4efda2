// Package settings reads the INI settings file of an entry instance: its identifier,
// its addresses and its limits. Settings are fixed for the lifetime of the process,
// except [direct] bounds and [log] level, which primrosenotch-edge reloads. Everything
// that operators of primrosenotch-entry change at run time is in the operators' text.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// Instance is the [instance] section.
type Instance struct {
	ID   string `ini:"id"`   // unique across all zones
	Zone string `ini:"zone"` // availability zone, as the operators' text names it
	// BandwidthMbit and CPUs are what this instance has, for its share of the callers; 0 if
	// unknown.
	BandwidthMbit float64 `ini:"bandwidth mbit"`
	CPUs          float64 `ini:"cpus"`
	// MemoryMB is the memory that this process may use, in MB; 0 for what its container or
	// machine has.
	MemoryMB float64 `ini:"memory mb"`
}

// MemoryBytes returns MemoryMB in bytes.
func (i *Instance) MemoryBytes() int64 { return int64(i.MemoryMB * (1 << 20)) }

// Listen is the [listen] section; each value is host:port with an IP address.
type Listen struct {
	Callers string `ini:"callers"` // callers' HTTP and lookups
	Links   string `ini:"links"`   // links from other entry instances
	Control string `ini:"control"` // operators' API and metrics
}

// Advertise is the optional [advertise] section: the addresses that the instance
// announces, if it is not reachable at the addresses that it listens on. Each value is
// host:port with an IP address and defaults to the value in [listen].
type Advertise struct {
	Callers string `ini:"callers"`
	Links   string `ini:"links"`
	Control string `ini:"control"`
}

// Platform is the [platform] section.
type Platform struct {
	Address    string        `ini:"address"`     // host:port with an IP address, of the platform's service
	Timeout    time.Duration `ini:"timeout"`     // per call
	PollEvery  time.Duration `ini:"poll every"`  // poll period of the ready instance with the lowest identifier of each zone, and of instances without a configuration
	PollFactor int           `ini:"poll factor"` // multiplies PollEvery for all other instances
}

// Serving is the [serving] section.
type Serving struct {
	MaxRequests int           `ini:"max requests"` // maximum number of callers' requests in flight at this instance
	LookupTTL   time.Duration `ini:"lookup ttl"`   // time for which callers may cache lookup responses
	Drain       time.Duration `ini:"drain"`        // maximum wait for requests in flight at shutdown, and then again for open connections
}

// Ledger is the [ledger] section.
type Ledger struct {
	WritesPerSecond int `ini:"writes per second"` // maximum number of ledger transactions of this instance per second
}

// Direct is the [direct] section, used by primrosenotch-edge, whose instances send
// requests directly to the backend servers listed in the platform's store. The
// addresses are host:port with an IP address; they are not checked.
type Direct struct {
	Lookups string `ini:"lookups"` // callers' lookups
	Ready   string `ini:"ready"`   // the platform's readiness check
	Bounds  string `ini:"bounds"`  // limits set by the platform, comma-separated name=value pairs
	// RouteUrgency tells requests to a service that is short of room apart by the priority of
	// their routes. With organisations in the configuration they are told apart without it.
	RouteUrgency bool `ini:"route urgency"`
	Naive        bool `ini:"naive"` // pick random servers of the region, as a baseline for measurements
	// SpreadObjects balances the requests about an object over several servers by their load.
	SpreadObjects bool `ini:"spread objects"`
}

// Log is the [log] section.
type Log struct {
	Level  string `ini:"level"`  // logrus level
	Format string `ini:"format"` // text or json
}

// Settings holds all sections of the settings file.
type Settings struct {
	Instance  Instance  `ini:"instance"`
	Listen    Listen    `ini:"listen"`
	Advertise Advertise `ini:"advertise"`
	Platform  Platform  `ini:"platform"`
	Serving   Serving   `ini:"serving"`
	Ledger    Ledger    `ini:"ledger"`
	Direct    Direct    `ini:"direct"`
	Log       Log       `ini:"log"`
	// Peers is the [peers] section: link addresses (host:port with an IP address) of
	// other instances by instance identifier, used until the platform's list of
	// instances is known.
	Peers map[string]string `ini:"-"`
	// Regions is the [regions] section: the region of each availability zone, for
	// deployments where the platform defines them instead of the operators' text.
	Regions map[string]string `ini:"-"`
}

// Default returns the default values of the optional settings.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: time.Second, PollEvery: 250 * time.Millisecond, PollFactor: 20},
		Serving:  Serving{MaxRequests: 4096, LookupTTL: 2 * time.Second, Drain: 30 * time.Second},
		Ledger:   Ledger{WritesPerSecond: 60},
		Log:      Log{Level: "info", Format: "text"},
	}
}

// Load reads and validates a settings file. Unknown names and values of a wrong type
// are reported alone; otherwise the error joins all invalid values.
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

// fillFrom sets each missing address to the address in l.
func (a *Advertise) fillFrom(l Listen) {
	a.Callers = cmp.Or(a.Callers, l.Callers)
	a.Links = cmp.Or(a.Links, l.Links)
	a.Control = cmp.Or(a.Control, l.Control)
}

// checkDurations rejects durations that are not above 0. It reads them from the file
// because the mapping of ini.v1 ignores a duration of 0 or less.
func checkDurations(name string, file *ini.File) error {
	var errs []error
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
			errs = append(errs, fmt.Errorf("%s: [%s] %s: %q is not a duration above 0, such as 2s", name, d.section, d.key, section.Key(d.key)))
		}
	}
	return errors.Join(errs...)
}

const (
	peersSection   = "peers"
	regionsSection = "regions"
)

// knownKeys lists the keys of each section. [peers] and [regions] accept any key.
var knownKeys = map[string][]string{
	"instance":  {"id", "zone", "bandwidth mbit", "cpus", "memory mb"},
	"listen":    {"callers", "links", "control"},
	"advertise": {"callers", "links", "control"},
	"platform":  {"address", "timeout", "poll every", "poll factor"},
	"serving":   {"max requests", "lookup ttl", "drain"},
	"ledger":    {"writes per second"},
	"direct":    {"lookups", "ready", "bounds", "route urgency", "naive", "spread objects"},
	"log":       {"level", "format"},
}

func checkNames(name string, file *ini.File) error {
	var errs []error
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 || section.Name() == peersSection || section.Name() == regionsSection {
			continue
		}
		keys, ok := knownKeys[section.Name()]
		if !ok {
			errs = append(errs, fmt.Errorf("%s: unknown section [%s]; known sections are %s", name, section.Name(), joinSorted(lo.Keys(knownKeys))))
			continue
		}
		for _, key := range section.KeyStrings() {
			if !lo.Contains(keys, key) {
				errs = append(errs, fmt.Errorf("%s: unknown key %q in [%s]; known keys are %s", name, key, section.Name(), joinSorted(keys)))
			}
		}
	}
	return errors.Join(errs...)
}

func joinSorted(names []string) string {
	names = append([]string(nil), names...)
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (s *Settings) check(name string) error {
	var errs []error
	report := func(section, key, problem string) {
		errs = append(errs, fmt.Errorf("%s: [%s] %s: %s", name, section, key, problem))
	}
	if s.Instance.ID == "" {
		report("instance", "id", "is missing; each instance needs a unique identifier")
	}
	s.checkCapacity(report)
	if s.Instance.Zone == "" {
		report("instance", "zone", "is missing; set a zone of the operators' text")
	}
	s.checkAddresses(report)
	s.checkLimits(report)
	return errors.Join(errs...)
}

func (s *Settings) checkCapacity(report func(section, key, problem string)) {
	for _, c := range []struct {
		key   string
		value float64
	}{{"bandwidth mbit", s.Instance.BandwidthMbit}, {"cpus", s.Instance.CPUs}, {"memory mb", s.Instance.MemoryMB}} {
		if !(c.value >= 0 && c.value <= math.MaxInt32) {
			report("instance", c.key, fmt.Sprintf("%v is not a number from 0 to %d", c.value, math.MaxInt32))
		}
	}
}

func (s *Settings) checkAddresses(report func(section, key, problem string)) {
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
		if problem := addressProblem(a.value); problem != "" {
			report(a.section, a.key, problem)
		}
	}
}

// addressProblem describes why value is not an IP address and a port, or returns "". It
// does not check that the port is a number.
func addressProblem(value string) string {
	if value == "" {
		return "is missing; set IP:PORT"
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

func (s *Settings) checkLimits(report func(section, key, problem string)) {
	limits := []struct {
		section, key string
		ok           bool
	}{
		{"platform", "poll factor", s.Platform.PollFactor > 0},
		{"serving", "max requests", s.Serving.MaxRequests > 0},
		{"ledger", "writes per second", s.Ledger.WritesPerSecond > 0},
	}
	for _, l := range limits {
		if !l.ok {
			report(l.section, l.key, "must be greater than 0")
		}
	}
	if !lo.Contains([]string{"text", "json"}, s.Log.Format) {
		report("log", "format", fmt.Sprintf("%q is neither text nor json", s.Log.Format))
	}
}
