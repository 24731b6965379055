package membership

import (
	"slices"
	"time"
)

// probe is an unanswered ping of this node.
type probe struct {
	target           Incarnation // zero for a ping to a seed address
	address          string
	sentAt           time.Time
	indirectAt       time.Time
	deadline         time.Time
	indirectSent     bool // indirect pings were requested
	suspectOnFailure bool // a failure counts towards a suspicion
	sampled          bool // the result counts for ReachesMajority
}

// relay is an indirect ping that this node sends for another member.
type relay struct {
	address  string // of the requesting member
	sequence uint64 // as chosen by the requesting member
	target   Incarnation
	deadline time.Time
}

type probeResult struct {
	at       time.Time
	answered bool
}

// probeNext probes the next member of the current round. Each round covers all live
// members in a new random order, which bounds the time between two probes of a
// member.
func (n *Node) probeNext(now time.Time) []Outgoing {
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
		n.rotation = append(n.rotation, n.sortedRecords...)
		n.random.Shuffle(len(n.rotation), func(i, j int) {
			n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i]
		})
	}
	return nil
}

func (n *Node) startProbe(now time.Time, target Incarnation, address string, suspectOnFailure bool) Outgoing {
	n.sequence++
	n.probes[n.sequence] = &probe{
		target: target, address: address, sentAt: now,
		indirectAt: now.Add(indirectAfter), deadline: now.Add(pingPeriod), suspectOnFailure: suspectOnFailure,
	}
	m := n.message(now, KindPing)
	m.Sequence = n.sequence
	m.Target = target
	m.Joining = !n.settled
	m.Cursor = n.cursor
	m.Updates = n.updatesFor(target, MaxUpdates)
	return Outgoing{address: address, message: m}
}

// probeFailing pings again every member that did not answer the last probe of this
// node. A node adds at most one such member per period, so there are few.
func (n *Node) probeFailing(now time.Time) []Outgoing {
	var out []Outgoing
	for _, i := range n.failingMembers() {
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
		if p.suspectOnFailure && !p.indirectSent && !now.Before(p.indirectAt) {
			p.indirectSent = true
			out = append(out, n.sendPingRequests(now, sequence, p)...)
		}
		if !now.Before(p.deadline) {
			delete(n.probes, sequence)
			n.handleProbeTimeout(now, p)
		}
	}
	for sequence, r := range n.relays {
		if !now.Before(r.deadline) {
			delete(n.relays, sequence)
		}
	}
	return out
}

func (n *Node) sendPingRequests(now time.Time, sequence uint64, p *probe) []Outgoing {
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

// handleProbeTimeout handles a probe that was not answered by its deadline.
func (n *Node) handleProbeTimeout(now time.Time, p *probe) {
	if p.sampled {
		n.recordResult(now, false)
	}
	if !p.suspectOnFailure {
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
		n.applyAndBroadcast(now, suspect)
	}
	r.failures = failures
	if r.failedAt.IsZero() {
		r.failedAt = now
		n.failed[p.target] = struct{}{}
	}
}

// advanceSuspicions declares members dead that did not answer this node during the
// whole suspicion time. Reports of other nodes do not shorten that time: a node
// never declares a member dead that still answers its probes.
func (n *Node) advanceSuspicions(now time.Time) {
	if n.Paused(now) {
		return
	}
	wait := suspicionTime
	if now.Sub(n.lastAck) > isolatedAfter {
		wait = isolatedSuspicionTime
	}
	for _, i := range n.failingMembers() {
		r := n.records[i]
		if r.update.Status != StatusSuspect || r.failures < suspectAfter || now.Sub(r.failedAt) < wait {
			continue
		}
		dead := r.update
		dead.Status = StatusDead
		n.applyAndBroadcast(now, dead)
	}
}

// join requests the next page of the member table from a live member, or from a
// seed while no member is known.
func (n *Node) join(now time.Time) []Outgoing {
	if n.joined && now.Sub(n.lastNewMemberAt) > settleTime || now.Sub(n.startedAt) > maxJoinTime {
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

// rejoin pings one random address of a dead member or of a seed without a live member.
func (n *Node) rejoin(now time.Time) []Outgoing {
	var candidates []Update
	for _, r := range n.sortedRecords {
		if r.update.Status == StatusDead {
			candidates = append(candidates, r.update)
		}
	}
	for _, address := range n.seeds {
		if _, live := n.byAddress[address]; !live {
			candidates = append(candidates, Update{Address: address})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[n.random.IntN(len(candidates))]
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
