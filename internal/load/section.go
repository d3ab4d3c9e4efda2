package load

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section reads the keys of one INI section and collects the errors found.
type section struct {
	ini   *ini.Section
	known map[string]bool // keys that were read, whether present or not
	errs  []error
}

func newSection(s *ini.Section) *section {
	return &section{ini: s, known: make(map[string]bool)}
}

// fail records a non-nil error of a key, or of the whole section if key is empty.
func (s *section) fail(key string, err error) {
	switch {
	case err == nil:
	case key == "":
		s.errs = append(s.errs, fmt.Errorf("[%s] %w", s.ini.Name(), err))
	default:
		s.errs = append(s.errs, fmt.Errorf("[%s]: %s: %w", s.ini.Name(), key, err))
	}
}

// finish returns the recorded errors, plus one for each key that was never read.
func (s *section) finish() error {
	for _, key := range s.ini.KeyStrings() {
		if !s.known[key] {
			s.fail(key, errors.New("unknown key"))
		}
	}
	return errors.Join(s.errs...)
}

func (s *section) text(key, fallback string) string {
	s.known[key] = true
	if !s.ini.HasKey(key) {
		return fallback
	}
	return s.ini.Key(key).String()
}

func (s *section) list(key string) []string {
	var list []string
	for item := range strings.SplitSeq(s.text(key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// number reads a number or a percentage between lowest and highest.
func (s *section) number(key string, fallback, lowest, highest float64) float64 {
	text := s.text(key, "")
	if text == "" {
		return fallback
	}
	digits, percent := strings.CutSuffix(text, "%")
	v, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if err != nil {
		s.fail(key, fmt.Errorf("%q is not a number", text))
		return fallback
	}
	if percent {
		v /= 100
	}
	if !(v >= lowest && v <= highest) {
		s.fail(key, fmt.Errorf("%s is not between %v and %v", text, lowest, highest))
		return fallback
	}
	return v
}

func (s *section) duration(key string, fallback time.Duration) time.Duration {
	text := s.text(key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err == nil && d <= 0 {
		err = fmt.Errorf("%q is not positive", text)
	}
	if err != nil {
		s.fail(key, err)
		return fallback
	}
	return d
}
