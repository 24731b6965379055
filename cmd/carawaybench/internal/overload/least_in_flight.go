package overload

import (
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/placement"
)

// leastInFlight places each request at once at the endpoint with the fewest attempts, without
// evidence, priorities or a queue.
type leastInFlight struct {
	endpoints []placement.Endpoint
	inFlight  map[string]int
	grants    map[uint64]string
}

func newLeastInFlight() *leastInFlight {
	return &leastInFlight{inFlight: map[string]int{}, grants: map[uint64]string{}}
}

func (l *leastInFlight) SetEndpoints(_ time.Time, endpoints []placement.Endpoint) []placement.Decision {
	l.endpoints = endpoints
	return nil
}

func (l *leastInFlight) Place(_ time.Time, request placement.Request) placement.Decision {
	best := -1
	for i, e := range l.endpoints {
		if !slices.Contains(request.Avoid, e.ID()) && (best < 0 || l.inFlight[e.ID()] < l.inFlight[l.endpoints[best].ID()]) {
			best = i
		}
	}
	if best < 0 {
		return placement.Decision{Token: request.Token, Verdict: placement.Refused, Reason: placement.ReasonNoEndpoint}
	}
	e := l.endpoints[best]
	l.inFlight[e.ID()]++
	l.grants[request.Token] = e.ID()
	return placement.Decision{Token: request.Token, Verdict: placement.Granted, Endpoint: e}
}

func (l *leastInFlight) End(_ time.Time, token uint64, _ placement.Outcome, _ time.Duration) []placement.Decision {
	l.inFlight[l.grants[token]]--
	delete(l.grants, token)
	return nil
}

func (l *leastInFlight) Advance(time.Time) []placement.Decision { return nil }

func (l *leastInFlight) NextDue() (time.Time, bool) { return time.Time{}, false }
