package gateway

import (
	"time"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// The messages between members are encoded as arrays: the order of the fields is the wire
// format. Members of other versions do not decode a message with another number of fields,
// and drop messages of unknown topics.

// hubState is sent by a hub to all members, periodically and on each change.
type hubState struct {
	Member  Member
	Version uint64 // of the active configuration
	Digest  uint64 // of the endpoint registry
	// StoreAgeMillis is the time since which the hub has not read the store.
	StoreAgeMillis int64
	// Leaving is set if the hub is stopping.
	Leaving bool
	// Changes are the endpoints that changed, Joined the new members.
	Changes []Endpoint
	Joined  []Member
	// Suspicions are the suspicions that changed since the last message of the hub, by
	// service, for the services that the hub owns.
	Suspicions map[string][]suspicion
}

// suspicion is the wire form of a placement.Suspicion.
type suspicion struct {
	ID              string
	FailurePerMille int
}

// syncRequest requests the state that the sender lacks.
type syncRequest struct {
	Member  Member
	Version uint64   // of its configuration
	Digest  uint64   // of its registry
	Since   Revision // the revision up to which its registry is complete
	Known   int      // number of members that it knows
}

type syncReply struct {
	Configuration *Configuration // if newer
	Endpoints     []Endpoint     // if the digests differ
	Members       []Member
	// StoreAgeMillis is the time since which the sender of the reply may lack changes.
	StoreAgeMillis int64
	// Complete is set if the sender of the reply has the endpoints and a configuration.
	Complete bool
}

// placeMessage is the wire form of a placement.Request. It holds the time left until a
// deadline, because the clocks of members differ.
type placeMessage struct {
	Service            string
	Token              uint64
	Zone               string
	Repeatable         bool
	Retry              bool
	Priority           int
	SoftDeadlineMillis int64
	DeadlineMillis     int64
	Avoid              []string
	Rerouted           bool
}

func (m *placeMessage) request(now time.Time, proxy string) placement.Request {
	return placement.Request{
		Token: m.Token, Proxy: proxy, Zone: m.Zone, Repeatable: m.Repeatable, Retry: m.Retry,
		Priority: m.Priority, Avoid: m.Avoid, Rerouted: m.Rerouted,
		SoftDeadline: now.Add(time.Duration(m.SoftDeadlineMillis) * time.Millisecond),
		Deadline:     now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
	}
}

func newPlaceMessage(service string, now time.Time, request placement.Request) *placeMessage {
	return &placeMessage{
		Service: service, Token: request.Token, Zone: request.Zone, Repeatable: request.Repeatable, Retry: request.Retry,
		Priority: request.Priority, Avoid: request.Avoid, Rerouted: request.Rerouted,
		SoftDeadlineMillis: request.SoftDeadline.Sub(now).Milliseconds(),
		DeadlineMillis:     request.Deadline.Sub(now).Milliseconds(),
	}
}

// decisionMessage is the wire form of a placement.Decision: the reply to a placement
// request, or sent later for a queued one.
type decisionMessage struct {
	Token            uint64
	Verdict          placement.Verdict
	Reason           placement.Reason
	ID               string
	Address          string
	Zone             string
	FailurePerMille  int
	RetryAfterMillis int64
}

func newDecisionMessage(d placement.Decision) *decisionMessage {
	return &decisionMessage{
		Token: d.Token, Verdict: d.Verdict, Reason: d.Reason,
		ID: d.Endpoint.ID(), Address: d.Endpoint.Address(), Zone: d.Endpoint.Zone(),
		FailurePerMille:  int(d.FailureProbability * 1000),
		RetryAfterMillis: d.RetryAfter.Milliseconds(),
	}
}

func (m *decisionMessage) decision(proxy string) placement.Decision {
	return placement.Decision{
		Token: m.Token, Proxy: proxy, Verdict: m.Verdict, Reason: m.Reason,
		Endpoint:           placement.NewEndpoint(m.ID, m.Address, m.Zone, 1, time.Time{}),
		FailureProbability: float64(m.FailurePerMille) / 1000,
		RetryAfter:         time.Duration(m.RetryAfterMillis) * time.Millisecond,
	}
}

// endMessage reports the end of an attempt.
type endMessage struct {
	Service       string
	Token         uint64
	Endpoint      string
	Outcome       placement.Outcome
	ElapsedMillis int64
	// WithoutHub is set for an attempt that the sender placed itself because it reached
	// no hub.
	WithoutHub bool
}

func encode(message any) []byte {
	b, err := peer.Encode(message)
	if err != nil {
		// All messages consist of types that msgpack can encode.
		panic(err)
	}
	return b
}

func decode(b []byte, message any) error { return peer.Decode(b, message) }
