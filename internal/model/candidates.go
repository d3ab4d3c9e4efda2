package model

// Candidates are the zones that a service's requests may be sent to. The value
// is shared and never changed.
type Candidates struct {
	Baseline []ZoneName // what the text in force assigns
	Spill    []ZoneName // tried where the baseline cannot serve, nearest first
}

// Rejected is one zone, or one owner in it, that a decision passed over.
type Rejected struct {
	Zone  ZoneName
	Owner InstanceID // empty where the whole zone was passed over
	Spill bool       // it was considered as a zone outside the baseline
	Asked bool       // the owner had the request before
	Cause Cause
}
