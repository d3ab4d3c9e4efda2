package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// section is a section of the source with the line numbers of its keys, which ini.v1
// does not report.
type section struct {
	kind   sectionKind
	name   string
	line   int
	keys   []sourceKey
	values *ini.Section
}

// sourceKey is a key of a section with its line number.
type sourceKey struct {
	name   string
	line   int
	faulty bool // the scan has reported its line; the key has no value
}

// title returns the section header without brackets.
func (s *section) title() string {
	if s.name == "" {
		return string(s.kind)
	}
	return string(s.kind) + " " + s.name
}

// lineOf returns the line of a key, or the line of the header if the section does
// not have the key.
func (s *section) lineOf(key string) int {
	for _, k := range s.keys {
		if k.name == key {
			return k.line
		}
	}
	return s.line
}

func (s *section) has(key string) bool {
	return slices.ContainsFunc(s.keys, func(k sourceKey) bool { return k.name == key })
}

// faulty reports whether the scan has reported the line of a key.
func (s *section) faulty(key string) bool {
	return slices.ContainsFunc(s.keys, func(k sourceKey) bool { return k.name == key && k.faulty })
}

// scanner records the line numbers of sections and keys and writes a source that
// ini.v1 accepts: it leaves out lines that it reports as problems, and replaces each
// section header by a name made from the position of the section.
type scanner struct {
	file      string
	problems  *Problems
	sections  []*section
	iniSource bytes.Buffer
	line      int
}

var utf8BOM = []byte("\xef\xbb\xbf")

// scan splits the source into sections and reads their values with ini.v1.
func scan(file string, source []byte, problems *Problems) []*section {
	s := &scanner{file: file, problems: problems}
	source = bytes.TrimPrefix(source, utf8BOM)
	s.iniSource.Grow(len(source))
	for line := range bytes.SplitSeq(source, []byte("\n")) {
		s.line++
		s.scanLine(string(bytes.TrimSpace(line)))
		s.iniSource.WriteByte('\n')
	}
	s.readValues()
	return s.sections
}

func (s *scanner) scanLine(line string) {
	switch {
	case line == "" || line[0] == ';' || line[0] == '#':
	case line[0] == '[':
		s.scanHeader(line)
	default:
		s.scanKey(line)
	}
}

func (s *scanner) scanHeader(line string) {
	sec := &section{line: s.line}
	s.sections = append(s.sections, sec)
	fmt.Fprintf(&s.iniSource, "[%s]", placeholderName(len(s.sections)-1))
	title, rest, closed := strings.Cut(line[1:], "]")
	words := strings.Fields(title)
	if len(words) > 0 {
		sec.kind = sectionKind(words[0])
		sec.name = strings.Join(words[1:], " ")
	}
	rest = strings.TrimSpace(rest)
	switch {
	case !closed:
		s.report("", "the section header has no closing bracket", "write it as [kind name]")
	case len(words) == 0:
		s.report("", "the section header is empty", "write it as [kind name], such as [zone munich-a]")
	case rest != "" && rest[0] != ';' && rest[0] != '#':
		s.report("", fmt.Sprintf("unexpected %q after the section header", rest), "move it to a separate line")
	}
}

func (s *scanner) scanKey(line string) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !found {
		s.report("", fmt.Sprintf("the line %q is neither a section header nor a key", truncate(line)), "write it as key = value, or begin it with ; to make it a comment")
		return
	}
	if name == "" {
		s.report("", "the line has no key before =", "write it as key = value")
		return
	}
	if len(s.sections) == 0 {
		s.report(name, "the key precedes the first section", "move it into a section")
		return
	}
	if strings.ContainsAny(name, "\"`'#;[]") {
		s.report(name, "the key contains a quote, bracket or comment character", "remove that character from the key")
		return
	}
	current := s.sections[len(s.sections)-1]
	if current.has(name) {
		s.report(name, fmt.Sprintf("duplicate key, first set on line %d", current.lineOf(name)), "remove one of the two")
		return
	}
	faulty := strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
	current.keys = append(current.keys, sourceKey{name: name, line: s.line, faulty: faulty})
	if faulty {
		s.report(name, "multi-line quoted values are not supported", "write the value on one line without quotes")
		return
	}
	s.iniSource.WriteString(line)
}

func (s *scanner) report(key, what, fix string) {
	problem := Problem{File: s.file, Line: s.line, Key: key, What: what, Fix: fix}
	if len(s.sections) > 0 {
		problem.Section = s.sections[len(s.sections)-1].title()
	}
	s.problems.add(problem)
}

// readValues parses the prepared source and assigns each section its values.
func (s *scanner) readValues() {
	options := ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, s.iniSource.Bytes())
	if err != nil {
		s.problems.add(Problem{File: s.file, Line: 1, What: err.Error(), Fix: "correct the INI syntax"})
		file = ini.Empty()
	}
	for i, sec := range s.sections {
		sec.values = file.Section(placeholderName(i))
	}
}

// placeholderName returns the name that replaces the header of section i in the
// prepared source.
func placeholderName(i int) string { return fmt.Sprintf("section-%d", i) }

// maxQuotedLength is the maximum number of bytes of a faulty line or value that a
// problem quotes.
const maxQuotedLength = 60

func truncate(line string) string {
	if len(line) <= maxQuotedLength {
		return line
	}
	return line[:maxQuotedLength] + "..."
}
