package backend

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Spec is the specification of a backend server on the command line.
type Spec struct {
	Config Config
	Addr   string // host:port to listen on
}

// ParseSpec parses NAME=HOST:PORT[,KEY=VALUE]...; a key that is absent keeps its value from
// defaults. The keys are slots, queue, answer (bytes), retry-after, crash-downtime,
// cancellable, seed, limit (requests a second), draining, refuse (seconds of Retry-After), cold
// (duration), cold-factor, cold-requests, time, and time/PREFIX for paths that start with /PREFIX. The value of time is DURATION, exponential:MEAN or
// lognormal:MEAN:SIGMA.
func ParseSpec(text string, defaults Config) (Spec, error) {
	fields := strings.Split(text, ",")
	name, addr, ok := strings.Cut(fields[0], "=")
	if !ok || name == "" || addr == "" {
		return Spec{}, fmt.Errorf("backend server %q does not start with NAME=HOST:PORT", text)
	}
	spec := Spec{Config: defaults, Addr: addr}
	spec.Config.Name = name
	spec.Config.PathTimes = append([]PathTime(nil), defaults.PathTimes...)
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		if err := setKey(&spec.Config, key, value); err != nil {
			return Spec{}, fmt.Errorf("backend server %s: key %q: %w", name, key, err)
		}
	}
	return spec, nil
}

// setKey parses value and sets the field of c for key.
func setKey(c *Config, key, value string) (err error) {
	if prefix, ok := strings.CutPrefix(key, "time/"); ok {
		return addPathTime(c, "/"+prefix, value)
	}
	switch key {
	case "slots":
		c.Slots, err = strconv.Atoi(value)
	case "queue":
		c.Queue, err = strconv.Atoi(value)
	case "answer":
		c.AnswerBytes, err = strconv.Atoi(value)
	case "retry-after":
		c.RetryAfter, err = time.ParseDuration(value)
	case "limit":
		c.Faults.Limit, err = strconv.ParseFloat(value, 64)
	case "draining":
		c.Faults.Draining, err = strconv.ParseBool(value)
	case "refuse":
		c.Faults.RetryAfterSeconds, err = strconv.ParseInt(value, 10, 64)
	case "crash-downtime":
		c.CrashDowntime, err = time.ParseDuration(value)
	case "cancellable":
		c.Cancellable, err = strconv.ParseBool(value)
	case "seed":
		c.Seed, err = strconv.ParseUint(value, 10, 64)
	case "cold":
		c.Cold.Duration, err = time.ParseDuration(value)
	case "cold-factor":
		c.Cold.Factor, err = strconv.ParseFloat(value, 64)
	case "cold-requests":
		c.Cold.Requests, err = strconv.Atoi(value)
	case "time":
		c.Time, err = ParseServiceTime(value)
	default:
		err = fmt.Errorf("unknown key")
	}
	return err
}

func addPathTime(c *Config, prefix, value string) error {
	parsed, err := ParseServiceTime(value)
	if err != nil {
		return err
	}
	c.PathTimes = append(c.PathTimes, PathTime{Prefix: prefix, Time: parsed})
	return nil
}

// ParseServiceTime parses DURATION, exponential:MEAN or lognormal:MEAN:SIGMA.
func ParseServiceTime(text string) (ServiceTime, error) {
	parts := strings.Split(text, ":")
	parsed := ServiceTime{Distribution: Fixed}
	if len(parts) > 1 {
		parsed.Distribution = Distribution(parts[0])
		parts = parts[1:]
	}
	var err error
	if parsed.Mean, err = time.ParseDuration(parts[0]); err != nil {
		return ServiceTime{}, fmt.Errorf("service time %q: %w", text, err)
	}
	switch {
	case parsed.Distribution == Lognormal && len(parts) == 2:
		if parsed.Sigma, err = strconv.ParseFloat(parts[1], 64); err != nil {
			return ServiceTime{}, fmt.Errorf("service time %q: %w", text, err)
		}
	case len(parts) == 1 && (parsed.Distribution == Fixed || parsed.Distribution == Exponential):
	default:
		return ServiceTime{}, fmt.Errorf("service time %q is not DURATION, exponential:MEAN or lognormal:MEAN:SIGMA", text)
	}
	return parsed, nil
}
