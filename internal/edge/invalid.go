package edge

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// invalidInputs counts values from outside that cannot be parsed, and logs the first of
// each source. A source is a header field or a table, so that there are only a few.
type invalidInputs struct {
	counter *prometheus.CounterVec // by source
	log     *logrus.Entry
	logged  sync.Map // sources that have been logged

	mu          sync.Mutex
	loggedParts map[string]bool // parts of rows that have been logged
}

// maxLoggedParts bounds the parts of rows that are logged one by one.
const maxLoggedParts = 1000

func newInvalidInputs(log *logrus.Entry, counter *prometheus.CounterVec) *invalidInputs {
	return &invalidInputs{counter: counter, log: log, loggedParts: map[string]bool{}}
}

func (i *invalidInputs) note(source string, fields logrus.Fields, err error) {
	i.counter.WithLabelValues(source).Inc()
	if _, known := i.logged.LoadOrStore(source, true); known {
		return
	}
	i.log.WithFields(fields).WithField("source", source).WithError(err).
		Warn("ignored a value that cannot be parsed; later ones of this source are only counted")
}

// field notes a header field of a backend server's response.
func (i *invalidInputs) field(server model.BackendName, err *httpheader.FieldError) {
	i.note(err.Name, logrus.Fields{"server": server}, err)
}

// row notes a row of the platform's store.
func (i *invalidInputs) row(table, key string, err error) {
	i.note(table, logrus.Fields{"key": key}, err)
}

// part notes a part of a row of the platform's store that is invalid, while the rest is used.
// Each part is logged once.
func (i *invalidInputs) part(table, key string, err error) {
	i.counter.WithLabelValues(table).Inc()
	id := table + "\x00" + key + "\x00" + err.Error()
	i.mu.Lock()
	logged := i.loggedParts[id] || len(i.loggedParts) >= maxLoggedParts
	if !logged {
		i.loggedParts[id] = true
	}
	i.mu.Unlock()
	if !logged {
		i.log.WithFields(logrus.Fields{"source": table, "key": key}).WithError(err).Warn("gave an invalid part of a row the strictest reading")
	}
}
