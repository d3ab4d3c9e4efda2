package ingress

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// lookupAddress returns the address to look up: the address in the parameter, the
// first address of the prefix (CIDR) in it, or the remote address when it is empty.
func lookupAddress(parameter []byte, remote net.Addr) (netip.Addr, error) {
	if len(parameter) == 0 {
		return remoteAddr(remote), nil
	}
	text := string(parameter)
	if strings.Contains(text, "/") {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return netip.Addr{}, fmt.Errorf("parse caller address prefix: %w", err)
		}
		return prefix.Masked().Addr().Unmap(), nil
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("parse caller address: %w", err)
	}
	return address.Unmap(), nil
}

// appendEntries appends the JSON body of a lookup response.
func appendEntries(dst []byte, entries []Entry, ttl time.Duration) []byte {
	dst = append(dst, `{"entries":[`...)
	for i := range entries {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(dst, `{"instance":`...)
		dst = appendJSONString(dst, string(entries[i].Instance))
		dst = append(dst, `,"zone":`...)
		dst = appendJSONString(dst, string(entries[i].Zone))
		dst = append(dst, `,"address":`...)
		dst = appendJSONString(dst, entries[i].Address)
		dst = append(dst, '}')
	}
	dst = append(dst, `],"ttl_seconds":`...)
	dst = strconv.AppendInt(dst, int64(ttl/time.Second), 10)
	return append(dst, "}\n"...)
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends s as a JSON string.
func appendJSONString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	for _, r := range s {
		switch {
		case r == '"', r == '\\':
			dst = append(dst, '\\', byte(r))
		case r < ' ':
			dst = append(dst, '\\', 'u', '0', '0', hexDigits[r>>4], hexDigits[r&0xf])
		default:
			dst = utf8.AppendRune(dst, r)
		}
	}
	return append(dst, '"')
}
