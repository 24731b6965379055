package membership

import (
	"cmp"
	"slices"
)

// Home returns the live member that owns key. All nodes with the same view of
// the fleet return the same member. A member's position depends on its address,
// so a restart at the same address moves no key.
func (n *Node) Home(key string) Member {
	best := n.self
	hash := hashString(key)
	bestScore := score(hash, n.placement)
	for _, r := range n.records {
		if !r.live() {
			continue
		}
		s := score(hash, r.placement)
		if s > bestScore || s == bestScore && r.update.Incarnation.Compare(best.Incarnation) > 0 {
			best, bestScore = r.update, s
		}
	}
	return Member{update: best}
}

// Evaluators returns the count live members with the highest rendezvous score
// for service, best first, or all members of a smaller fleet.
func (n *Node) Evaluators(service string, count int) []Member {
	type candidate struct {
		update Update
		score  uint64
	}
	hash := hashString(service)
	candidates := make([]candidate, 0, len(n.records)+1)
	candidates = append(candidates, candidate{update: n.self, score: score(hash, n.placement)})
	for _, r := range n.records {
		if r.live() {
			candidates = append(candidates, candidate{update: r.update, score: score(hash, r.placement)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return b.update.Incarnation.Compare(a.update.Incarnation)
	})
	count = min(count, len(candidates))
	members := make([]Member, 0, count)
	for _, c := range candidates[:count] {
		members = append(members, Member{update: c.update})
	}
	return members
}

// score mixes the hashes of a key and of a member. The finaliser is the one of
// splitmix64, which spreads single-bit differences over all bits.
func score(key, member uint64) uint64 {
	x := key ^ member
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
