package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// section is one section of the source with the lines of its keys, which
// ini.v1 does not report.
type section struct {
	kind   sectionKind
	name   string
	line   int
	keys   []sourceKey
	values *ini.Section
}

type sourceKey struct {
	name   string
	line   int
	faulty bool // its line was reported and has no value
}

// title is the section's header without brackets.
func (s *section) title() string {
	if s.name == "" {
		return string(s.kind)
	}
	return string(s.kind) + " " + s.name
}

// lineOf returns the line of a key, or that of the header where it is absent.
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

// faulty reports whether the line of a key was reported by the scan.
func (s *section) faulty(key string) bool {
	return slices.ContainsFunc(s.keys, func(k sourceKey) bool { return k.name == key && k.faulty })
}

// scanner finds the lines of sections and keys and prepares a source that
// ini.v1 accepts: lines that are reported as problems are left out, and each
// header is replaced by the section's position.
type scanner struct {
	file     string
	problems *Problems
	sections []*section
	clean    bytes.Buffer
	line     int
}

var utf8BOM = []byte("\xef\xbb\xbf")

// scan splits the source into sections and lets ini.v1 read their values.
func scan(file string, source []byte, problems *Problems) []*section {
	s := &scanner{file: file, problems: problems}
	source = bytes.TrimPrefix(source, utf8BOM)
	s.clean.Grow(len(source))
	for line := range bytes.SplitSeq(source, []byte("\n")) {
		s.line++
		s.scanLine(string(bytes.TrimSpace(line)))
		s.clean.WriteByte('\n')
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
	fmt.Fprintf(&s.clean, "[%s]", sectionPosition(len(s.sections)-1))
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
		s.report("", fmt.Sprintf("unexpected %q after the section header", rest), "put it on a line of its own")
	}
}

func (s *scanner) scanKey(line string) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !found {
		s.report("", fmt.Sprintf("the line %q is neither a section header nor a key", shorten(line)), "write it as key = value, or begin it with ; to make it a comment")
		return
	}
	if name == "" {
		s.report("", "the line has no key before =", "write it as key = value")
		return
	}
	if len(s.sections) == 0 {
		s.report(name, "the key stands before the first section", "move it into a section")
		return
	}
	if strings.ContainsAny(name, "\"`'#;[]") {
		s.report(name, "the key holds a quote, bracket or comment sign", "write the key without it")
		return
	}
	current := s.sections[len(s.sections)-1]
	if current.has(name) {
		s.report(name, fmt.Sprintf("the key was given before on line %d", current.lineOf(name)), "keep one of the two")
		return
	}
	faulty := strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
	current.keys = append(current.keys, sourceKey{name: name, line: s.line, faulty: faulty})
	if faulty {
		s.report(name, "quoted values over several lines are not supported", "write the value on one line without quotes")
		return
	}
	s.clean.WriteString(line)
}

func (s *scanner) report(key, what, fix string) {
	problem := Problem{File: s.file, Line: s.line, Key: key, What: what, Fix: fix}
	if len(s.sections) > 0 {
		problem.Section = s.sections[len(s.sections)-1].title()
	}
	s.problems.add(problem)
}

func (s *scanner) readValues() {
	options := ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, s.clean.Bytes())
	if err != nil {
		s.problems.add(Problem{File: s.file, Line: 1, What: err.Error(), Fix: "correct the INI syntax"})
		file = ini.Empty()
	}
	for i, sec := range s.sections {
		sec.values = file.Section(sectionPosition(i))
	}
}

func sectionPosition(i int) string { return fmt.Sprintf("section-%d", i) }

const maxQuotedLength = 60 // characters of a faulty line that a problem repeats

func shorten(line string) string {
	if len(line) <= maxQuotedLength {
		return line
	}
	return line[:maxQuotedLength] + "..."
}
