package config

import (
	"cmp"
	"slices"
	"strings"
)

// sectionKind is the first word of a section header.
type sectionKind string

const (
	kindZone     sectionKind = "zone"
	kindService  sectionKind = "service"
	kindRoute    sectionKind = "route"
	kindBackend  sectionKind = "backend"
	kindCallers  sectionKind = "callers"
	kindLimits   sectionKind = "limits"
	linkPrefix               = "link "
	keyRegion                = "region"
	keyService               = "service"
	keyZone                  = "zone"
	keyAddress               = "address"
	keySlots                 = "slots"
	keyDependsOn             = "depends on"
	keyTarget                = "target"
	keyMatch                 = "match"
	keyRank                  = "rank"
	keyKind                  = "kind"
	keyDeadline              = "deadline"
	keyBlocks                = "blocks"
	keyHome                  = "home"
	keyShiftCap              = "shift cap"
)

// floorKeys is indexed by model.Rank.
var floorKeys = [...]string{"urgent floor", "normal floor", "background floor"}

// schema lists the keys of each kind of section; [limits] takes link lines too.
var schema = map[sectionKind][]string{
	kindZone:    {keyRegion},
	kindService: {keyDependsOn, keyTarget},
	kindRoute:   {keyService, keyMatch, keyRank, keyKind, keyDeadline},
	kindBackend: {keyService, keyZone, keyAddress, keySlots},
	kindCallers: {keyBlocks, keyHome},
	kindLimits:  {keyShiftCap, floorKeys[0], floorKeys[1], floorKeys[2]},
}

func schemaKinds() []string {
	kinds := make([]string, 0, len(schema))
	for kind := range schema {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

func knownKey(kind sectionKind, key string) bool {
	if slices.Contains(schema[kind], key) {
		return true
	}
	return kind == kindLimits && strings.HasPrefix(key, linkPrefix)
}

// nearest returns the candidate that is most like name, or "" where none is
// close enough to be a misspelling.
func nearest(name string, candidates []string) string {
	best := ""
	bestDistance := max(2, len(name)/3) + 1
	for _, candidate := range candidates {
		if d := editDistance(name, candidate, bestDistance); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance of a and b; it may return any value
// of at least limit where the distance is not below it.
func editDistance(a, b string, limit int) int {
	if difference := len(a) - len(b); difference >= limit || -difference >= limit {
		return limit
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// suggest builds the advice for an unknown name.
func suggest(name string, candidates []string, otherwise string) string {
	if n := nearest(name, candidates); n != "" {
		return "did you mean " + n + "?"
	}
	if len(candidates) == 0 {
		return otherwise
	}
	sorted := slices.SortedFunc(slices.Values(candidates), cmp.Compare[string])
	const shown = 8
	if len(sorted) > shown {
		return otherwise
	}
	return "use one of " + strings.Join(sorted, ", ")
}
