package catalog

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// MaxKeyBytes is the length of the longest key. A longer one identifies no organisation.
const MaxKeyBytes = 4 << 10

// LeastUrgent is the priority of organisations whose priority is not understood, and the
// maximum of all others.
const LeastUrgent = math.MaxInt32

// KeyDigest is the SHA-256 of a key. Keys themselves are kept only in the rows of the
// platform's store, so that no log, message or state contains one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key, and false if a text of this length is not a key.
func DigestKey(key string) (KeyDigest, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyDigest{}, false
	}
	return sha256.Sum256([]byte(key)), true
}

// Organisation is a group of callers that share keys, a priority and a limit.
type Organisation struct {
	Name model.OrganisationName
	Keys []KeyDigest
	// Priority replaces the route's if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// HomeRegions lists the only regions that may serve the organisation; empty means any.
	HomeRegions []model.RegionName
	// Rate is the limit on requests per second, and Burst the number of requests beyond it
	// at once. They apply only if HasLimit is set; both are 0 if nothing is allowed.
	Rate     float64
	Burst    float64
	HasLimit bool
}

// AllowsNothing reports whether the organisation may send no request.
func (o *Organisation) AllowsNothing() bool { return o.HasLimit && o.Rate == 0 && o.Burst == 0 }

// indexOrganisations builds the lookup table from keys to organisations and removes those
// without a name or with the name of an earlier one, whose keys identify none. A key that two
// organisations hold identifies none either.
func (c *Configuration) indexOrganisations() {
	if c.Organisations == nil {
		return
	}
	kept := make([]Organisation, 0, len(c.Organisations))
	c.byKey = make(map[KeyDigest]*Organisation)
	names := make(map[model.OrganisationName]bool, len(c.Organisations))
	for _, o := range c.Organisations {
		if o.Name != "" && !names[o.Name] {
			names[o.Name] = true
			kept = append(kept, o)
			continue
		}
		if o.Name != "" {
			c.Unknown = append(c.Unknown, fmt.Errorf("organisation %q: an earlier one has the same name, the keys of the later one identify none", o.Name))
		}
		for _, key := range o.Keys {
			c.byKey[key] = nil
		}
	}
	c.Organisations = kept
	c.organisations = make(map[model.OrganisationName]*Organisation, len(kept))
	for i := range kept {
		o := &kept[i]
		c.organisations[o.Name] = o
		for _, key := range o.Keys {
			c.addKey(key, o)
		}
	}
}

func (c *Configuration) addKey(key KeyDigest, o *Organisation) {
	holder, held := c.byKey[key]
	switch {
	case !held:
		c.byKey[key] = o
	case holder != o:
		c.Unknown = append(c.Unknown, fmt.Errorf("organisation %q: holds a key of another organisation, which identifies none", o.Name))
		c.byKey[key] = nil
	}
}

// Identify returns the organisation that holds a key, or nil if there is none. It takes
// the same time with any number of keys, and its duration depends only on the digest,
// which reveals nothing about keys that resemble it.
func (c *Configuration) Identify(key KeyDigest) *Organisation { return c.byKey[key] }

// Organisation returns the organisation with the given name, or nil if there is none. The
// configuration may be nil.
func (c *Configuration) Organisation(name model.OrganisationName) *Organisation {
	if c == nil {
		return nil
	}
	return c.organisations[name]
}

// InHomeRegions reports whether a region may serve what has the given home regions. The
// name of an unknown region is empty and matches no home region.
func InHomeRegions(home []model.RegionName, region model.RegionName) bool {
	return len(home) == 0 || (region != "" && slices.Contains(home, region))
}
