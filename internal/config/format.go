package config

import (
	"fmt"
	"strconv"
	"strings"
)

// String returns the cap in the syntax of the text.
func (c ShiftCap) String() string {
	return fmt.Sprintf("%s of capacity per %s", formatPercent(c.Fraction), c.Window)
}

// String returns the target in the syntax of the text, "" if there is none.
func (t Target) String() string {
	if t.Latency == 0 {
		return ""
	}
	return fmt.Sprintf("%s in %s", formatPercent(t.Ratio), t.Latency)
}

// percentDecimals is the number of decimal places before trailing zeros are removed.
const percentDecimals = 10

func formatPercent(fraction float64) string {
	s := strconv.FormatFloat(fraction*100, 'f', percentDecimals, 64)
	return strings.TrimRight(strings.TrimRight(s, "0"), ".") + "%"
}

func formatBandwidth(bytesPerSecond int64) string {
	bits := float64(bytesPerSecond) * bitsPerByte
	for _, unit := range bandwidthUnits {
		if bits >= unit.bits {
			return strconv.FormatFloat(bits/unit.bits, 'f', -1, 64) + unit.suffix
		}
	}
	return "0bit"
}
