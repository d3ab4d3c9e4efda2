package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a fault in an operators' text.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`    // starts at 1
	Section string `json:"section"` // header as written, without brackets; empty before the first section
	Key     string `json:"key"`     // empty if the fault does not concern a single key
	What    string `json:"what"`    // description of the fault
	Fix     string `json:"fix"`     // how to correct it
}

// Error implements error.
func (p *Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.What)
	if p.Fix != "" {
		fmt.Fprintf(&b, "; %s", p.Fix)
	}
	return b.String()
}

// Problems is the error type of Parse. It lists every fault of a text, sorted by
// line.
type Problems struct {
	List []Problem
}

// Error implements error. The result has one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i := range p.List {
		lines[i] = p.List[i].Error()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(problem Problem) {
	p.List = append(p.List, problem)
}

func (p *Problems) sort() {
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.What, b.What),
		)
	})
}
