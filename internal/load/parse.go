package load

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"gopkg.in/ini.v1"
)

// Upper limits of the settings of an experiment.
const (
	maxLength      = 10 * time.Minute
	maxRate        = 100_000 // arrivals per second and class, including the factor of the phase
	maxBodyBytes   = 64 << 20
	maxAnswerBytes = 64 << 20
	maxInFlight    = 100_000
	maxRetries     = 10
	maxFactor      = 1000
)

// Parse reads and validates an experiment in INI format. It returns all errors
// joined, not just the first.
func Parse(text []byte) (*Experiment, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	e := &Experiment{Timeout: DefaultTimeout, MaxInFlight: DefaultMaxInFlight}
	var errs []error
	for _, section := range file.Sections() {
		s := newSection(section)
		e.readSection(s)
		errs = append(errs, s.finish())
	}
	errs = append(errs, e.validate())
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) readSection(s *section) {
	kind, name, _ := strings.Cut(s.ini.Name(), " ")
	switch kind {
	case ini.DefaultSection:
	case "experiment":
		e.readExperiment(s)
	case "phase":
		e.Phases = append(e.Phases, readPhase(s, name))
	case "class":
		e.Classes = append(e.Classes, readClass(s, name))
	default:
		s.fail("", errors.New("is not a known section, must be experiment, phase NAME or class NAME"))
	}
}

func (e *Experiment) readExperiment(s *section) {
	e.Seed = uint64(s.number("seed", 0, 0, 1<<53))
	e.Entries = s.list("entries")
	e.Timeout = s.duration("timeout", DefaultTimeout)
	e.MaxInFlight = int(s.number("max in flight", DefaultMaxInFlight, 1, maxInFlight))
	e.Retries = int(s.number("retries", 0, 0, maxRetries))
}

func readPhase(s *section, name string) Phase {
	p := Phase{Name: name, Length: s.duration("length", 0)}
	all := s.number("factor", 1, 0, maxFactor)
	for rank := range p.Factors {
		p.Factors[rank] = s.number("factor "+model.Rank(rank).String(), all, 0, maxFactor)
	}
	return p
}

func readClass(s *section, name string) Class {
	c := Class{
		Name:        name,
		Method:      s.text("method", "GET"),
		Path:        s.text("path", ""),
		Rate:        s.number("rate", 0, 0, maxRate),
		BodyBytes:   int(s.number("body bytes", 0, 0, maxBodyBytes)),
		AnswerBytes: int(s.number("answer bytes", 0, 0, maxAnswerBytes)),
		Repeat:      s.number("repeat", 0, 0, 1),
		Deadline:    s.duration("deadline", 0),
	}
	s.fail("rank", c.Rank.UnmarshalText([]byte(s.text("rank", "normal"))))
	s.fail("kind", c.Kind.UnmarshalText([]byte(s.text("kind", "read"))))
	prefix, err := netip.ParsePrefix(s.text("callers", "127.0.0.1/32"))
	s.fail("callers", err)
	c.Callers = prefix.Masked()
	return c
}

func (e *Experiment) validate() error {
	var errs []error
	if len(e.Entries) == 0 {
		errs = append(errs, errors.New("[experiment]: entries must not be empty"))
	}
	for _, address := range e.Entries {
		if _, err := netip.ParseAddrPort(address); err != nil {
			errs = append(errs, fmt.Errorf("[experiment]: entries: %w", err))
		}
	}
	if total := e.Length(); total <= 0 || total > maxLength {
		errs = append(errs, fmt.Errorf("total length of the phases is %v, must be positive and at most %v", total, maxLength))
	}
	if len(e.Classes) == 0 {
		errs = append(errs, errors.New("no class is defined"))
	}
	for i := range e.Classes {
		errs = append(errs, e.validateClass(&e.Classes[i]))
	}
	return errors.Join(errs...)
}

func (e *Experiment) validateClass(c *Class) error {
	switch {
	case !strings.HasPrefix(c.Path, "/"):
		return fmt.Errorf("[class %s]: path %q does not start with a slash", c.Name, c.Path)
	case !c.Callers.IsValid() || !c.Callers.Addr().Is4():
		return fmt.Errorf("[class %s]: callers must be an IPv4 block", c.Name)
	case c.Repeat > 0 && c.Kind != model.Once:
		return fmt.Errorf("[class %s]: repeat requires kind = once", c.Name)
	case c.BodyBytes > 0 && c.Method == "GET":
		return fmt.Errorf("[class %s]: body bytes must be 0 for method GET", c.Name)
	}
	for _, p := range e.Phases {
		if rate := c.Rate * p.Factors[c.Rank]; rate > maxRate {
			return fmt.Errorf("[class %s]: rate is %v per second in phase %q, must be at most %d", c.Name, rate, p.Name, maxRate)
		}
	}
	return nil
}
