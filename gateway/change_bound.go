package gateway

import (
	"math/rand/v2"
	"time"
)

// The time until a change is in force at a member is the sum of three parts, whatever happens to
// the other members: the age that the last confirmation by a hub may reach, the spread of the first
// calls of all members, and a call to the store, which has the rest.
const (
	// defaultChangeBound applies without [Settings.ChangeBound].
	defaultChangeBound = 2 * time.Second
	// watchShare is the share of the bound for which a watch without changes waits at most.
	watchShare = 0.5
	// hubPatienceShare is the share of the bound after which a member reads the store itself.
	// The state that a hub confirms is as old as a watch, and a message that is lost or late
	// must not cause a call.
	hubPatienceShare = 0.625
	// patienceSpreadShare is the share of the bound over which members spread their first calls
	// when they lose their hubs at the same moment.
	patienceSpreadShare = 0.05
)

func share(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }

// hubPatience returns the age of the last confirmation by a hub after which this member reads the
// store itself.
func (g *Gateway) hubPatience() time.Duration {
	return share(g.changeBound, hubPatienceShare) + rand.N(max(1, share(g.changeBound, patienceSpreadShare)))
}

const (
	// confirmationLead is the time before a state message at which a watch ends, so that the
	// message confirms what the watch returned. The store answers within some milliseconds.
	confirmationLead = 30 * time.Millisecond
	// urgencyMargin covers the time that a state message takes to all members.
	urgencyMargin = 100 * time.Millisecond
	// minAlignedWait is the shortest wait that is adjusted to the state messages.
	minAlignedWait = heartbeatInterval / 2
)

// untilConfirmation returns how long a watch of a hub may wait to end right before a state message.
// Endpoints and configuration take turns.
func (g *Gateway) untilConfirmation(kind Kind, now instant) time.Duration {
	const turns = confirmedKinds * heartbeatInterval
	due := instant(g.firstTurn.Load()) + instant(time.Duration(kind)*heartbeatInterval-confirmationLead)
	left := due.since(now) % turns
	for left < minAlignedWait {
		left += turns
	}
	return left
}

// confirmationIsUrgent reports whether other members would read the store before the next regular
// state message of this hub confirms their state.
func (g *Gateway) confirmationIsUrgent(now instant) bool {
	untilMessage := heartbeatInterval - now.since(instant(g.firstTurn.Load()))%heartbeatInterval
	return now.since(instant(g.toldAt.Load()))+untilMessage > share(g.changeBound, hubPatienceShare)-urgencyMargin
}

// readsStore reports whether this member has to read a kind from the store: it is a hub, it has no
// state and no other member sent it in time, or no hub has confirmed its state in time.
func (g *Gateway) readsStore(kind Kind) bool {
	return g.fleet.isHub() || g.peersTimedOut() || g.hubsTimedOut(kind)
}

func (g *Gateway) hubsTimedOut(kind Kind) bool {
	return kind < confirmedKinds && g.Ready() && g.confirmations.hubsTimeOutIn(kind, bootTime()) <= 0
}
