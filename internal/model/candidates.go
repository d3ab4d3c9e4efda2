package model

// Candidates lists the zones that a service's requests may be sent to. A value is
// shared between requests and must not be modified.
type Candidates struct {
	Baseline []ZoneName // assigned by the active configuration
	Spill    []ZoneName // fallback zones outside the baseline, nearest first
}

// Rejected records why a routing decision skipped a zone or one owner in it.
type Rejected struct {
	Zone         ZoneName
	Owner        InstanceID // empty if the whole zone was skipped
	Spill        bool       // the zone was considered for spill, outside the baseline
	AlreadyTried bool       // the owner had already been tried for this request
	Cause        Cause
}
