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
	sampled    bool // the result counts for ReachesMajority
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
	out := n.startProbe(now, r.update.Incarnation, r.update.Address, true)
	n.probes[out.message.Sequence].sampled = true
	return []Outgoing{out}
}

func (n *Node) nextInRotation() *record {
	for range 2 {
		for len(n.rotation) > 0 {
			last := len(n.rotation) - 1
			r := n.rotation[last]
			n.rotation = n.rotation[:last]
			if r.live() {
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
	m.Joining = !n.settled
	m.Cursor = n.cursor
	m.Updates = n.updatesFor(target, MaxUpdates)
	return Outgoing{address: address, message: m}
}

// probeFailing pings every member again that this node itself found silent. A
// node adds at most one such member each period, so there are only a few.
func (n *Node) probeFailing(now time.Time) []Outgoing {
	var out []Outgoing
	for _, i := range n.failing() {
		if r := n.records[i]; r.live() {
			out = append(out, n.startProbe(now, i, r.update.Address, true))
		}
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
		m.Updates = n.updatesFor(p.target, MaxUpdates)
		out = append(out, Outgoing{address: helper.update.Address, message: m})
	}
	return out
}

// fail handles a probe that nobody answered.
func (n *Node) fail(now time.Time, p *probe) {
	if p.sampled {
		n.recordResult(now, false)
	}
	if !p.judged {
		return
	}
	r, ok := n.records[p.target]
	if !ok || !r.live() || n.Paused(now) {
		return
	}
	failures := r.failures + 1
	if failures >= suspectAfter && r.update.Status == StatusAlive {
		suspect := r.update
		suspect.Status = StatusSuspect
		n.change(now, suspect)
	}
	r.failures = failures
	if r.failedAt.IsZero() {
		r.failedAt = now
		n.failed[p.target] = struct{}{}
	}
}

// advanceSuspicions declares members dead that this node found silent for the
// whole suspicion time. Hearsay does not shorten that time: a member that still
// answers this node is never declared dead by it.
func (n *Node) advanceSuspicions(now time.Time) {
	if n.Paused(now) {
		return
	}
	wait := suspicionTime
	if now.Sub(n.lastAck) > isolatedAfter {
		wait = isolatedSuspicionTime
	}
	for _, i := range n.failing() {
		r := n.records[i]
		if r.update.Status != StatusSuspect || r.failures < suspectAfter || now.Sub(r.failedAt) < wait {
			continue
		}
		dead := r.update
		dead.Status = StatusDead
		n.change(now, dead)
	}
}

// join asks a member, or a seed while none is known, for the next page of the
// member table.
func (n *Node) join(now time.Time) []Outgoing {
	if n.joined && now.Sub(n.learnedAt) > settleTime || now.Sub(n.startedAt) > maxJoinTime {
		n.settled = true
		return nil
	}
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
	var absent []Update
	for _, r := range n.order {
		if r.update.Status == StatusDead {
			absent = append(absent, r.update)
		}
	}
	for _, address := range n.seeds {
		if _, live := n.byAddress[address]; !live {
			absent = append(absent, Update{Address: address})
		}
	}
	if len(absent) == 0 {
		return nil
	}
	chosen := absent[n.random.IntN(len(absent))]
	return []Outgoing{n.startProbe(now, chosen.Incarnation, chosen.Address, false)}
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
