package httpheader

import "strconv"

// ServerLoad is a backend server's own count of running and waiting requests and of its
// slots.
type ServerLoad struct {
	Running, Waiting, Slots int
	// TimeFactor is how long work takes at the server at the moment, as a multiple of the
	// usual time; 0 if not reported.
	TimeFactor float64
}

// FieldError reports a header field whose value cannot be parsed.
type FieldError struct {
	Name  string
	Value string // at most maxReportedValue bytes
	Err   error
}

// maxReportedValue bounds the part of a value that a FieldError repeats.
const maxReportedValue = 64

// NewFieldError returns the error of parsing a field.
func NewFieldError(name, value string, err error) *FieldError {
	return &FieldError{Name: name, Value: value[:min(len(value), maxReportedValue)], Err: err}
}

// Error implements error.
func (e *FieldError) Error() string {
	return "header field " + e.Name + ": value " + strconv.Quote(e.Value) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }
