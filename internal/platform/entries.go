package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// InvalidEntriesError reports the entries of the instance list that cannot be decoded. The
// other entries are returned with it.
type InvalidEntriesError struct{ Errs []error }

// Error implements error.
func (e *InvalidEntriesError) Error() string {
	return fmt.Sprintf("%d entries of the instance list are ignored: %v", len(e.Errs), errors.Join(e.Errs...))
}

// maxInvalidEntries bounds the errors in an InvalidEntriesError.
const maxInvalidEntries = 4

var errNoList = errors.New(`no array "instances" in the answer`)

// decodeInstances decodes each entry of an instance list by itself, so that an odd entry of
// one writer does not hide those of the others. It fails if there is no list.
func decodeInstances(body []byte) ([]wire.Instance, []error, error) {
	entries, err := splitList(body)
	if err != nil {
		return nil, nil, err
	}
	var list []wire.Instance
	var invalid []error
	for i, entry := range entries {
		var instance wire.Instance
		if err := json.Unmarshal(entry, &instance); err != nil {
			if len(invalid) < maxInvalidEntries {
				invalid = append(invalid, fmt.Errorf("entry %d: %w", i, err))
			}
			continue
		}
		list = append(list, instance)
	}
	return list, invalid, nil
}

// splitList returns the elements of the array "instances" of a JSON object, without decoding
// them: encoding/json refuses a whole document for one element that is nested too deeply.
func splitList(body []byte) ([][]byte, error) {
	_, rest, found := bytes.Cut(body, []byte(`"instances"`))
	rest = bytes.TrimLeft(rest, " \t\r\n:")
	switch {
	case !found:
		return nil, errNoList
	case bytes.HasPrefix(rest, []byte("null")):
		return nil, nil
	case !bytes.HasPrefix(rest, []byte("[")):
		return nil, errNoList
	}
	var elements [][]byte
	for rest = rest[1:]; ; {
		rest = bytes.TrimLeft(rest, " \t\r\n,")
		if bytes.HasPrefix(rest, []byte("]")) {
			return elements, nil
		}
		n := valueLength(rest)
		if n == 0 {
			return nil, errNoList
		}
		elements = append(elements, rest[:n])
		rest = rest[n:]
	}
}

// valueLength returns the length of the JSON value at the start of data, 0 if it has no end.
func valueLength(data []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case (c == ']' || c == '}') && depth > 0:
			depth--
			if depth == 0 {
				return i + 1
			}
		case depth == 0 && (c == ',' || c == ']' || c == '}'):
			return i
		}
	}
	return 0
}
