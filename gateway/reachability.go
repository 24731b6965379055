package gateway

import "time"

const (
	// doubtfulEndpoints is the number of endpoints without a connection in between at which
	// this member tries verifiedEndpoints others: several endpoints may fail together.
	doubtfulEndpoints = 2
	verifiedEndpoints = 2
	// unreachedEndpoints is the number at which it counts as cut from all.
	unreachedEndpoints = doubtfulEndpoints + verifiedEndpoints
	// unreachedWindow is the time in which these failures count together. A member
	// connects to endpoints a few times a second.
	unreachedWindow = 3 * time.Second
)

// reachability judges from direct connections whether this member reaches the endpoints.
// When a member loses its links to all endpoints, each connection fails, to whatever
// endpoint; when endpoints fail, connections to the others succeed in between. It does no
// I/O and is not safe for concurrent use.
type reachability struct {
	failures map[string]instant // by address, since the last connection
	cut      bool
	changed  instant // when cut changed last, or 0
}

func newReachability() *reachability { return &reachability{failures: map[string]instant{}} }

// connected records a direct connection and reports whether the judgement changed.
func (r *reachability) connected(now instant) bool {
	clear(r.failures)
	return r.set(now, false)
}

// failed records a direct connection to the address that could not be opened, and reports
// whether the judgement changed.
func (r *reachability) failed(now instant, address string) bool {
	r.failures[address] = now
	for a, at := range r.failures {
		if now.since(at) > unreachedWindow {
			delete(r.failures, a)
		}
	}
	return len(r.failures) >= unreachedEndpoints && r.set(now, true)
}

// doubtful reports whether other endpoints have to be tried before this member can tell
// failing endpoints from lost links.
func (r *reachability) doubtful() bool { return !r.cut && len(r.failures) >= doubtfulEndpoints }

// unreachable reports whether the last connection to the address failed.
func (r *reachability) unreachable(address string) bool {
	_, found := r.failures[address]
	return found
}

// declareCut records that there is no other endpoint to try.
func (r *reachability) declareCut(now instant) bool { return r.set(now, true) }

func (r *reachability) set(now instant, cut bool) bool {
	if r.cut == cut {
		return false
	}
	r.cut, r.changed = cut, now
	return true
}

// cutSince reports whether the member was cut from the endpoints at any time since then.
func (r *reachability) cutSince(then instant) bool {
	return r.cut || r.changed > then
}
