package control

import (
	"cmp"
	"context"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"golang.org/x/sync/errgroup"
)

// maxConcurrentCalls exceeds the expected number of instances in a region, so that an
// unreachable region delays a request to the fleet by one call timeout instead of
// several.
const maxConcurrentCalls = 256

// Member is one entry instance of a Fleet.
type Member struct {
	Instance model.InstanceID `json:"instance,omitempty"` // empty until the instance has responded or a peer has reported it
	Address  string           `json:"address"`            // host:port of its control API
}

// Result is the result of an API call to one member: a value or an error.
type Result[T any] struct {
	Member Member
	Value  *T
	Err    error
}

// Fleet calls the API of all entry instances that it can discover.
type Fleet struct {
	client *Client
	seeds  []string
}

// NewFleet returns a Fleet that discovers its members from the instances at the
// control addresses seeds (host:port).
func NewFleet(client *Client, seeds []string) *Fleet {
	return &Fleet{client: client, seeds: seeds}
}

// Members returns the seed instances and all their peers, sorted by address. Peers
// that have left or have no control address are omitted; a seed instance that cannot
// be reached is included.
func (f *Fleet) Members(ctx context.Context) []Member {
	seeds := make([]Member, len(f.seeds))
	for i, address := range f.seeds {
		seeds[i] = Member{Address: address}
	}
	answers := callAll(ctx, seeds, f.client.Status)
	found := &memberSet{instances: map[model.InstanceID]bool{}, addresses: map[string]bool{}}
	for _, answer := range answers {
		member := answer.Member
		if answer.Err == nil {
			member.Instance = answer.Value.Instance
		}
		found.add(member)
	}
	for _, answer := range answers {
		if answer.Err == nil {
			found.addPeers(answer.Value.Peers)
		}
	}
	slices.SortFunc(found.members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return found.members
}

// memberSet collects members and ignores an instance that is already known, even
// under another address.
type memberSet struct {
	members   []Member
	instances map[model.InstanceID]bool
	addresses map[string]bool
}

func (s *memberSet) add(member Member) {
	if s.addresses[member.Address] || member.Instance != "" && s.instances[member.Instance] {
		return
	}
	s.addresses[member.Address] = true
	s.instances[member.Instance] = true
	s.members = append(s.members, member)
}

// stateLeft is the state of a peer that has left the fleet.
const stateLeft = "left"

func (s *memberSet) addPeers(peers []Peer) {
	for _, peer := range peers {
		if peer.ControlAddr != "" && peer.State != stateLeft {
			s.add(Member{Instance: peer.Instance, Address: peer.ControlAddr})
		}
	}
}

// Status returns the status of every member, in the order of Members.
func (f *Fleet) Status(ctx context.Context) []Result[Status] {
	return callAll(ctx, f.Members(ctx), f.client.Status)
}

// Explain returns the journal entries of every member that match any of the
// queries, in the order of Members. A member's entries are in the order of the queries;
// one that matches several queries is returned for each.
func (f *Fleet) Explain(ctx context.Context, queries ...ExplainQuery) []Result[Explanation] {
	return callAll(ctx, f.Members(ctx), func(ctx context.Context, address string) (*Explanation, error) {
		var merged Explanation
		for _, query := range queries {
			part, err := f.client.Explain(ctx, address, query)
			if err != nil {
				return nil, err
			}
			merged.Instance, merged.Since = part.Instance, part.Since
			merged.Entries = append(merged.Entries, part.Entries...)
		}
		return &merged, nil
	})
}

// Report returns the request counts of every member, in the order of Members.
func (f *Fleet) Report(ctx context.Context, query ReportQuery) []Result[Report] {
	return callAll(ctx, f.Members(ctx), func(ctx context.Context, address string) (*Report, error) {
		return f.client.Report(ctx, address, query)
	})
}

// callAll calls every member concurrently and waits for all results, which are in the
// order of members.
func callAll[T any](ctx context.Context, members []Member, call func(context.Context, string) (*T, error)) []Result[T] {
	answers := make([]Result[T], len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, member := range members {
		group.Go(func() error {
			value, err := call(ctx, member.Address)
			answers[i] = Result[T]{Member: member, Value: value, Err: err}
			return nil
		})
	}
	_ = group.Wait() // errors are returned in answers
	return answers
}
