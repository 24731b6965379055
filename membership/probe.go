package membership

import (
	"slices"
	"time"
)

// probe is an unanswered ping of this node.
type probe struct {
	target     Incarnation // zero for a ping to a seed address
	address    string
	sentAt     time.Time
	indirectAt time.Time
	deadline   time.Time
	indirect   bool // helpers were asked
	judged     bool // a failure leads to a suspicion
}

// relay is an indirect ping that this node runs for another member.
type relay struct {
	address  string // of the member that asked
	sequence uint64 // in the numbering of that member
	target   Incarnation
	deadline time.Time
}

type probeResult struct {
	at       time.Time
	answered bool
}

// ping probes the next member of the current round. Each round visits all live
// members in a new random order, which bounds the time between two probes.
func (n *Node) ping(now time.Time) []Outgoing {
	r := n.nextInRotation()
	if r == nil {
		return nil
	}
	return []Outgoing{n.startProbe(now, r.update.Incarnation, r.update.Address, true)}
}

func (n *Node) nextInRotation() *record {
	for range 2 {
		for len(n.rotation) > 0 {
			last := len(n.rotation) - 1
			r, ok := n.records[n.rotation[last]]
			n.rotation = n.rotation[:last]
			if ok && r.live() {
				return r
			}
		}
		n.rotation = append(n.rotation, n.order...)
		n.random.Shuffle(len(n.rotation), func(i, j int) {
			n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i]
		})
	}
	return nil
}

func (n *Node) startProbe(now time.Time, target Incarnation, address string, judged bool) Outgoing {
	n.sequence++
	n.probes[n.sequence] = &probe{
		target: target, address: address, sentAt: now,
		indirectAt: now.Add(indirectAfter), deadline: now.Add(pingPeriod), judged: judged,
	}
	m := n.message(now, KindPing)
	m.Sequence = n.sequence
	m.Target = target
	m.Joining = !n.joined
	m.Cursor = n.cursor
	m.Updates = n.updatesFor(target)
	return Outgoing{address: address, message: m}
}

// probeSuspects pings every member again that this node itself found silent. A
// node adds at most one such member each period, so there are only a few.
func (n *Node) probeSuspects(now time.Time) []Outgoing {
	var out []Outgoing
	for _, i := range n.order {
		r := n.records[i]
		if r.update.Status != StatusSuspect || r.failedAt.IsZero() {
			continue
		}
		out = append(out, n.startProbe(now, i, r.update.Address, true))
	}
	return out
}

func (n *Node) advanceProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for _, sequence := range sortedKeys(n.probes) {
		p := n.probes[sequence]
		if p.judged && !p.indirect && !now.Before(p.indirectAt) {
			p.indirect = true
			out = append(out, n.askHelpers(now, sequence, p)...)
		}
		if !now.Before(p.deadline) {
			delete(n.probes, sequence)
			n.fail(now, p)
		}
	}
	for sequence, r := range n.relays {
		if !now.Before(r.deadline) {
			delete(n.relays, sequence)
		}
	}
	return out
}

func (n *Node) askHelpers(now time.Time, sequence uint64, p *probe) []Outgoing {
	out := make([]Outgoing, 0, indirectHelpers)
	for _, helper := range n.pickLive(indirectHelpers, p.target) {
		m := n.message(now, KindPingRequest)
		m.Sequence = sequence
		m.Target = p.target
		m.TargetAddress = p.address
		m.Updates = n.updatesFor(p.target)
		out = append(out, Outgoing{address: helper.update.Address, message: m})
	}
	return out
}

// fail handles a probe that nobody answered.
func (n *Node) fail(now time.Time, p *probe) {
	if !p.judged {
		return
	}
	n.recordResult(now, false)
	r, ok := n.records[p.target]
	if !ok || !r.live() || n.Paused(now) {
		return
	}
	if r.update.Status == StatusAlive {
		suspect := r.update
		suspect.Status = StatusSuspect
		n.apply(now, suspect)
	}
	r.failedAt = now
}

// advanceSuspicions declares members dead that this node suspected long enough.
// Only a node whose own probes failed declares a death, so hearsay about a member
// that still answers this node has no effect.
func (n *Node) advanceSuspicions(now time.Time) {
	if n.Paused(now) {
		return
	}
	wait := suspicionTime
	if now.Sub(n.lastAck) > isolatedAfter {
		wait = isolatedSuspicionTime
	}
	for _, i := range n.order {
		r := n.records[i]
		if r.update.Status != StatusSuspect || r.failedAt.IsZero() || now.Sub(r.suspectedAt) < wait {
			continue
		}
		dead := r.update
		dead.Status = StatusDead
		n.apply(now, dead)
	}
}

// join asks a member, or a seed while none is known, for the next page of the
// member table.
func (n *Node) join(now time.Time) []Outgoing {
	if live := n.pickLive(1, Incarnation{}); len(live) > 0 {
		r := live[0]
		return []Outgoing{n.startProbe(now, r.update.Incarnation, r.update.Address, false)}
	}
	if len(n.seeds) == 0 {
		return nil
	}
	seed := n.seeds[n.random.IntN(len(n.seeds))]
	return []Outgoing{n.startProbe(now, Incarnation{}, seed, false)}
}

// rejoin pings one address that is a seed or belonged to a dead member.
func (n *Node) rejoin(now time.Time) []Outgoing {
	live := map[string]bool{}
	var addresses []string
	for _, i := range n.order {
		r := n.records[i]
		if r.live() {
			live[r.update.Address] = true
		} else if r.update.Status == StatusDead {
			addresses = append(addresses, r.update.Address)
		}
	}
	addresses = append(addresses, n.seeds...)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return live[a] })
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[n.random.IntN(len(addresses))]
	return []Outgoing{n.startProbe(now, Incarnation{}, address, false)}
}

func (n *Node) recordResult(now time.Time, answered bool) {
	n.results = slices.DeleteFunc(n.results, func(p probeResult) bool {
		return now.Sub(p.at) > reachWindow
	})
	n.results = append(n.results, probeResult{at: now, answered: answered})
}

func sortedKeys(probes map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for k := range probes {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
