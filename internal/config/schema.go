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

// schema lists the keys of each kind of section. [limits] also accepts keys with
// linkPrefix.
var schema = map[sectionKind][]string{
	kindZone:    {keyRegion},
	kindService: {keyDependsOn, keyTarget},
	kindRoute:   {keyService, keyMatch, keyRank, keyKind, keyDeadline},
	kindBackend: {keyService, keyZone, keyAddress, keySlots},
	kindCallers: {keyBlocks, keyHome},
	kindLimits:  {keyShiftCap, floorKeys[0], floorKeys[1], floorKeys[2]},
}

// schemaKinds returns the kinds of sections, sorted.
func schemaKinds() []string {
	kinds := make([]string, 0, len(schema))
	for kind := range schema {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

// knownKey reports whether a kind of section defines a key.
func knownKey(kind sectionKind, key string) bool {
	if slices.Contains(schema[kind], key) {
		return true
	}
	return kind == kindLimits && strings.HasPrefix(key, linkPrefix)
}

// nearest returns the candidate with the smallest edit distance from name, or "" if
// none is close enough for name to be a misspelling of it.
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

// editDistance returns the Levenshtein distance between a and b. If the distance is
// limit or more, the result may be any value of at least limit.
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

// suggest returns the advice for an unknown name: the most similar candidate, else
// a list of the candidates. It returns fallback if there are no candidates or too
// many to list.
func suggest(name string, candidates []string, fallback string) string {
	if n := nearest(name, candidates); n != "" {
		return "did you mean " + n + "?"
	}
	if len(candidates) == 0 {
		return fallback
	}
	sorted := slices.SortedFunc(slices.Values(candidates), cmp.Compare[string])
	const maxListed = 8
	if len(sorted) > maxListed {
		return fallback
	}
	return "use one of " + strings.Join(sorted, ", ")
}
