package config

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	maxDuration       = 24 * time.Hour
	maxSlots          = 1_000_000
	maxBytesPerSecond = 1e15
	bitsPerByte       = 8
)

// Errors of the parse functions. Their text is the Fix of the Problem, so it says how to
// correct the value.
var (
	errDuration  = errors.New("write a positive duration up to 24h, such as 800ms or 2s")
	errPercent   = errors.New("write a percentage from 0% to 100%, such as 25%")
	errShiftCap  = errors.New("write it as 10% of capacity per 30s, with a percentage above 0% and up to 100% and a window up to 24h")
	errTarget    = errors.New("write it as 99.9% in 300ms, with a percentage between 0% and 100%, both excluded, and a latency up to 24h")
	errBandwidth = errors.New("write a bandwidth in bit, kbit, Mbit or Gbit, from 8bit to 8000000Gbit, such as 4Gbit or 500Mbit")
	errMatch     = errors.New("write it as METHOD /path, METHOD /prefix/* or * /path, with the method in capital letters and without query or quotes")
)

// parseDuration parses a duration above 0 and up to maxDuration.
func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > maxDuration {
		return 0, errDuration
	}
	return d, nil
}

// parsePercent parses a percentage from 0% to 100% and returns it as a fraction.
func parsePercent(s string) (float64, error) {
	digits, found := strings.CutSuffix(s, "%")
	digits = strings.TrimSpace(digits)
	if !found || strings.Trim(digits, "0123456789.") != "" {
		return 0, errPercent
	}
	fraction, err := strconv.ParseFloat(digits+"e-2", 64) // rounds once, unlike a division
	if err != nil || fraction > 1 {
		return 0, errPercent
	}
	return fraction, nil
}

func parseShiftCap(s string) (ShiftCap, error) {
	words := strings.Fields(s)
	if len(words) != 5 || words[1] != "of" || words[2] != "capacity" || words[3] != "per" {
		return ShiftCap{}, errShiftCap
	}
	fraction, err := parsePercent(words[0])
	if err != nil || fraction == 0 {
		return ShiftCap{}, errShiftCap
	}
	window, err := parseDuration(words[4])
	if err != nil {
		return ShiftCap{}, errShiftCap
	}
	return ShiftCap{Fraction: fraction, Window: window}, nil
}

func parseTarget(s string) (Target, error) {
	words := strings.Fields(s)
	if len(words) != 3 || words[1] != "in" {
		return Target{}, errTarget
	}
	ratio, err := parsePercent(words[0])
	if err != nil || ratio == 0 || ratio == 1 {
		return Target{}, errTarget
	}
	latency, err := parseDuration(words[2])
	if err != nil {
		return Target{}, errTarget
	}
	return Target{Ratio: ratio, Latency: latency}, nil
}

// bandwidthUnits maps unit suffixes to bits per second. Longer suffixes come first,
// since "bit" is a suffix of the others.
var bandwidthUnits = []struct {
	suffix string
	bits   float64
}{
	{"Gbit", 1e9},
	{"Mbit", 1e6},
	{"kbit", 1e3},
	{"bit", 1},
}

// parseBandwidth parses a bandwidth with a bit unit and returns it in bytes per
// second.
func parseBandwidth(s string) (int64, error) {
	for _, unit := range bandwidthUnits {
		digits, found := strings.CutSuffix(s, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		bytes := value * unit.bits / bitsPerByte
		if err != nil || math.IsNaN(bytes) || bytes < 1 || bytes > maxBytesPerSecond {
			return 0, errBandwidth
		}
		return int64(math.Round(bytes)), nil
	}
	return 0, errBandwidth
}

func parseSlots(s string) (int, error) {
	slots, err := strconv.Atoi(s)
	if err != nil || slots < 1 || slots > maxSlots {
		return 0, fmt.Errorf("write the maximum number of concurrent requests of the server, from 1 to %d", maxSlots)
	}
	return slots, nil
}

// anyMethod is the method of a route that matches every method.
const anyMethod = "*"

// parseMatch splits "METHOD /path" and checks both parts.
func parseMatch(s string) (method, path string, err error) {
	words := strings.Fields(s)
	if len(words) != 2 {
		return "", "", errMatch
	}
	method, path = words[0], words[1]
	if method != anyMethod && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return "", "", errMatch
	}
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?\"'`") {
		return "", "", errMatch
	}
	if star := strings.IndexByte(path, '*'); star >= 0 && star != len(path)-1 {
		return "", "", errMatch
	}
	return method, path, nil
}

// splitList splits a comma-separated list. It trims the items and drops empty ones.
func splitList(s string) []string {
	items := make([]string, 0, strings.Count(s, ",")+1)
	for item := range strings.SplitSeq(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// validName reports whether a name consists of ASCII letters, digits, "-", "_" and
// "." only and is not empty.
func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
