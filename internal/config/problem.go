package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of an operators' text.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`    // 1 for the first line
	Section string `json:"section"` // as written, without brackets; empty before the first section
	Key     string `json:"key"`     // empty where the fault is not about one key
	What    string `json:"what"`    // what is wrong
	Fix     string `json:"fix"`     // what to do about it
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

// Problems is the error that Parse returns: every fault of the text, by line.
type Problems struct {
	List []Problem
}

// Error implements error; it holds one line for each problem.
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
