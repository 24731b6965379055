package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// byRank returns the members in the order in which they become hubs. The order is computed
// on demand, because many members are added at the start. The mutex must be held.
func (f *fleet) byRank() []Member {
	if f.rankStale {
		f.rank()
		f.rankStale = false
	}
	return f.ranked
}

// rank orders the members by capacity class; within a class zones alternate, and within a
// zone the order follows weighted rendezvous hashing. Capacity comes first because the
// messages of a hub to a hundred members fill a link of 10 Mbit/s, which delays its replies
// to placement requests too long. Zones alternate so that the loss of a zone does not
// take all hubs.
func (f *fleet) rank() {
	f.ranked = f.ranked[:0]
	weights := make(map[string]float64, len(f.members))
	for _, m := range f.members {
		f.ranked = append(f.ranked, m)
		weights[m.Address] = weight("hub", m)
	}
	byWeight := func(a, b Member) int {
		return cmp.Or(cmp.Compare(capacityClass(b), capacityClass(a)), cmp.Compare(weights[b.Address], weights[a.Address]))
	}
	slices.SortFunc(f.ranked, byWeight)
	type class struct {
		capacity int
		zone     string
	}
	zoneCounts := map[class]int{}
	zoneIndex := make(map[string]int, len(f.ranked))
	for _, m := range f.ranked {
		c := class{capacity: capacityClass(m), zone: m.Zone}
		zoneIndex[m.Address] = zoneCounts[c]
		zoneCounts[c]++
	}
	slices.SortStableFunc(f.ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(capacityClass(b), capacityClass(a)),
			cmp.Compare(zoneIndex[a.Address], zoneIndex[b.Address]), byWeight(a, b))
	})
	f.position = make(map[string]int, len(f.ranked))
	for i, m := range f.ranked {
		f.position[m.Address] = i
	}
}

// ownRank returns the number of members of higher rank than this one.
func (f *fleet) ownRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byRank()
	return f.position[f.self.Address]
}

// defaultLinkMbit is the link rate in Mbit/s of members that declare none.
const defaultLinkMbit = 100

// capacityClass is the binary logarithm of CPU share times link rate in Mbit/s, rounded down.
func capacityClass(m Member) int {
	link := m.LinkMbit
	if link <= 0 {
		link = defaultLinkMbit
	}
	return int(math.Floor(math.Log2(max(m.CPUShare, 0.01) * link)))
}

// weight is the weighted rendezvous hashing score of a member for a key. The square of the
// CPU share is the weight, so that strong machines are chosen more often.
func weight(key string, m Member) float64 {
	const scale = 1 << 53
	h := float64(xxh3.HashString(key+"|"+m.Address)>>11) + 0.5
	share := max(m.CPUShare, 0.01)
	return -share * share / math.Log(h/scale)
}
