package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// byRank returns the members in the order in which they become hubs. Members come in
// large numbers at the start, so that they are ordered when the order is needed.
func (f *fleet) byRank() []Member {
	if f.unranked {
		f.rank()
		f.unranked = false
	}
	return f.ranked
}

// rank orders the members by their strength, those that are alike so that zones take
// turns, and within a zone by weighted rendezvous hashing. It answers machines with
// slow links, because a hub's messages to a hundred members fill a link of 10 Mbit/s
// and asks are answered too late, and the loss of a zone with all hubs in it.
func (f *fleet) rank() {
	f.ranked = f.ranked[:0]
	weights := make(map[string]float64, len(f.members))
	for _, m := range f.members {
		f.ranked = append(f.ranked, m)
		weights[m.Address] = weight("hub", m)
	}
	byWeight := func(a, b Member) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), cmp.Compare(weights[b.Address], weights[a.Address]))
	}
	slices.SortFunc(f.ranked, byWeight)
	type class struct {
		strength int
		zone     string
	}
	seen := map[class]int{}
	turns := make(map[string]int, len(f.ranked))
	for _, m := range f.ranked {
		c := class{strength: strength(m), zone: m.Zone}
		turns[m.Address] = seen[c]
		seen[c]++
	}
	slices.SortStableFunc(f.ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)),
			cmp.Compare(turns[a.Address], turns[b.Address]), byWeight(a, b))
	})
	f.position = make(map[string]int, len(f.ranked))
	for i, m := range f.ranked {
		f.position[m.Address] = i
	}
}

// ownRank returns the number of members before this one.
func (f *fleet) ownRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byRank()
	return f.position[f.self.Address]
}

// linkDefault applies to members that do not state their link, in Mbit/s.
const linkDefault = 100

// strength is the binary order of magnitude of what a member can carry.
func strength(m Member) int {
	link := m.LinkMbit
	if link <= 0 {
		link = linkDefault
	}
	return int(math.Floor(math.Log2(max(m.CPUShare, 0.01) * link)))
}

// weight is the weighted rendezvous score of a member for a duty.
func weight(duty string, m Member) float64 {
	const scale = 1 << 53
	h := float64(xxh3.HashString(duty+"|"+m.Address)>>11) + 0.5
	share := max(m.CPUShare, 0.01)
	return -share * share / math.Log(h/scale)
}
