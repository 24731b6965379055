package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// confirmedKinds is the number of kinds of objects whose changes have to be in force in time.
const confirmedKinds = 2

var confirmedKindList = [confirmedKinds]Kind{KindEndpoints, KindConfiguration}

// confirmation states how recent the state of one kind is that a member has: it includes all
// changes that the store confirmed before an instant, and all up to a revision.
type confirmation struct {
	at       instant  // or 0
	revision Revision // or 0 if unknown
}

func (c *confirmation) extend(other confirmation) {
	c.at = max(c.at, other.at)
	c.revision = max(c.revision, other.revision)
}

// confirmations holds the confirmations of a member, by kind. It is safe for concurrent use.
type confirmations struct {
	start    instant
	patience time.Duration // age of the last confirmation by a hub after which this member reads the store

	mu    sync.Mutex
	any   [confirmedKinds]confirmation // from any source
	byHub [confirmedKinds]confirmation // from messages of hubs
}

func newConfirmations(patience time.Duration) *confirmations {
	return &confirmations{start: bootTime(), patience: patience}
}

// read records what a call of this member to the store confirms.
func (c *confirmations) read(kind Kind, confirmed confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind < confirmedKinds {
		c.any[kind].extend(confirmed)
	}
}

// told records what the message of a hub, which has the same state, confirms.
func (c *confirmations) told(kind Kind, confirmed confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.any[kind].extend(confirmed)
	c.byHub[kind].extend(confirmed)
}

// hubsTimeOutIn returns the time after which this member has to read the kind itself, because no
// hub has confirmed its state in time. It is negative if that has passed. A member that no hub has
// told anything yet waits for the first message from its own first call on.
func (c *confirmations) hubsTimeOutIn(kind Kind, now instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.byHub[kind].at
	if at == 0 {
		at = c.any[kind].at
	}
	return c.patience - now.since(max(c.start, at))
}

// revision returns the revision up to which the state is complete, or 0 if unknown.
func (c *confirmations) revision(kind Kind) Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.any[kind].revision
}

// age returns the time since which changes of the kind may be missing.
func (c *confirmations) age(kind Kind, now instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.since(max(c.start, c.any[kind].at))
}

// oldest returns the longest age of all kinds.
func (c *confirmations) oldest(now instant) time.Duration {
	var oldest time.Duration
	for _, kind := range confirmedKindList {
		oldest = max(oldest, c.age(kind, now))
	}
	return oldest
}

// countOutdated counts and logs a request that is handled although the state of a kind may lack
// changes that should be in force.
func (g *Gateway) countOutdated(kind Kind, request string) {
	age := g.confirmations.age(kind, bootTime())
	if age < g.changeBound {
		return
	}
	if g.counts.outdatedRequest(kind)%outdatedLogInterval == 1 {
		g.logger.Warn("request: handled by state that may be outdated", zap.String("request", request),
			zap.Stringer("kind", kind), zap.Duration("age", age), zap.Duration("bound", g.changeBound))
	}
}

// outdatedLogInterval is the number of requests handled by outdated state of which one is
// logged, because an outage of the store affects all.
const outdatedLogInterval = 100
