package control

import (
	"cmp"
	"context"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"golang.org/x/sync/errgroup"
)

// maxConcurrentCalls is above the number of instances of a region, so that a lost
// region takes one call's time-out rather than many.
const maxConcurrentCalls = 256

// Member is one entry instance that is to be asked.
type Member struct {
	Instance model.InstanceID `json:"instance,omitempty"` // empty until it has answered or a peer named it
	Address  string           `json:"address"`            // host:port of its control API
}

// Answer is what one member answered, or why it did not.
type Answer[T any] struct {
	Member Member
	Value  *T
	Err    error
}

// Fleet asks every entry instance that it can discover.
type Fleet struct {
	client  *Client
	entries []string
}

// NewFleet returns a fleet that is discovered from the control addresses of
// some instances.
func NewFleet(client *Client, entries []string) *Fleet {
	return &Fleet{client: client, entries: entries}
}

// Members asks the given instances and returns them with all their peers, by
// address. A given instance that does not answer stays a member.
func (f *Fleet) Members(ctx context.Context) []Member {
	given := make([]Member, len(f.entries))
	for i, address := range f.entries {
		given[i] = Member{Address: address}
	}
	answers := askAll(ctx, given, f.client.Status)
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

// memberSet holds each instance once, also where it is known under several
// addresses.
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

const stateLeft = "left"

func (s *memberSet) addPeers(peers []Peer) {
	for _, peer := range peers {
		if peer.ControlAddr != "" && peer.State != stateLeft {
			s.add(Member{Instance: peer.Instance, Address: peer.ControlAddr})
		}
	}
}

// Status asks every member for its status, in the order of Members.
func (f *Fleet) Status(ctx context.Context) []Answer[Status] {
	return askAll(ctx, f.Members(ctx), f.client.Status)
}

// Explain asks every member for the journal entries of each query, in the order
// of Members.
func (f *Fleet) Explain(ctx context.Context, queries ...ExplainQuery) []Answer[Explanation] {
	return askAll(ctx, f.Members(ctx), func(ctx context.Context, address string) (*Explanation, error) {
		var all Explanation
		for _, query := range queries {
			one, err := f.client.Explain(ctx, address, query)
			if err != nil {
				return nil, err
			}
			all.Instance, all.Since = one.Instance, one.Since
			all.Entries = append(all.Entries, one.Entries...)
		}
		return &all, nil
	})
}

// Report asks every member for its buckets, in the order of Members.
func (f *Fleet) Report(ctx context.Context, query ReportQuery) []Answer[Report] {
	return askAll(ctx, f.Members(ctx), func(ctx context.Context, address string) (*Report, error) {
		return f.client.Report(ctx, address, query)
	})
}

// askAll calls every member concurrently and waits for all of them.
func askAll[T any](ctx context.Context, members []Member, call func(context.Context, string) (*T, error)) []Answer[T] {
	answers := make([]Answer[T], len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, member := range members {
		group.Go(func() error {
			value, err := call(ctx, member.Address)
			answers[i] = Answer[T]{Member: member, Value: value, Err: err}
			return nil
		})
	}
	_ = group.Wait() // errors are part of the answers
	return answers
}
